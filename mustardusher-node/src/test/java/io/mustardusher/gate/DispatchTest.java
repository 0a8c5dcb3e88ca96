package io.mustardusher.gate;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.server.ServerLink;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** A call must leave the count of its gate however it ends; otherwise the gate would lose the slot for good. */
class DispatchTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);

    @AfterEach
    void close() {
        timers.shutdownNow();
    }

    @Test
    void releasesSlotWhenCrashCheckCannotRun() {
        timers.shutdownNow();
        assertThat(codeOfAnswer(() -> CompletableFuture.failedFuture(
                        new MustardusherException(ResultCode.CONNECTION_LOST, "the connection is lost"))))
                .isEqualTo(ResultCode.CONNECTION_LOST);
    }

    @Test
    void releasesSlotWhenLinkThrows() {
        assertThat(codeOfAnswer(() -> {
                    throw new IllegalStateException("the link is broken");
                }))
                .isEqualTo(ResultCode.CONNECTION_LOST);
    }

    /** A failure without a code counts as a lost connection, and nothing listens at the server's address. */
    @Test
    void releasesSlotWhenFailureHasNoCode() {
        assertThat(codeOfAnswer(() -> CompletableFuture.failedFuture(new IllegalStateException("no code"))))
                .isEqualTo(ResultCode.SERVER_CRASHED);
    }

    /** Guards against a server that makes up what its gate tells the entry about a run. */
    @Test
    void passesOnReportOfRunOnlyIfLinkHasMadeIt() {
        ResponseHeaders headers = ResponseHeaders.builder(200)
                .set(CallHeaders.RUN, "7.3.0.cbf43926")
                .build();
        ServerLink plain = new GateFixture.SimulatedLink(
                () -> CompletableFuture.completedFuture(AggregatedHttpResponse.of(headers)));
        assertThat(answer(GateFixture.of(clock, timers, 1, plain)).headers().contains(CallHeaders.RUN))
                .isFalse();
        ServerLink reporting = new ReportingLink(plain);
        assertThat(answer(GateFixture.of(clock, timers, 1, reporting)).headers().get(CallHeaders.RUN))
                .isEqualTo("7.3.0.cbf43926");
    }

    private ResultCode codeOfAnswer(Supplier<CompletableFuture<AggregatedHttpResponse>> server) {
        Gate gate = GateFixture.of(clock, timers, 1, server);
        AggregatedHttpResponse answer = answer(gate);
        assertThat(gate.inFlight()).isEqualTo(0);
        return ResultCode.of(answer.headers().get(CallHeaders.CODE)).orElseThrow();
    }

    private static AggregatedHttpResponse answer(Gate gate) {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/x")
                .set(CallHeaders.SERVICE, GateFixture.SERVICE)
                .set(CallHeaders.TIMEOUT, "1S")
                .build();
        return gate.handle(HttpRequest.of(headers), new CompletableFuture<>())
                .aggregate()
                .join();
    }

    private record ReportingLink(ServerLink link) implements ServerLink {

        @Override
        public Exchange send(HttpRequest call, long remainingNanos) {
            return link.send(call, remainingNanos);
        }

        @Override
        public CompletableFuture<Void> probe(String path) {
            return link.probe(path);
        }

        @Override
        public boolean reportsRuns() {
            return true;
        }

        @Override
        public void close() {
            link.close();
        }
    }
}
