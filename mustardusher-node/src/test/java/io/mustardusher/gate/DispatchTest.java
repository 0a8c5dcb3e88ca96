package io.mustardusher.gate;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
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

    private ResultCode codeOfAnswer(Supplier<CompletableFuture<AggregatedHttpResponse>> server) {
        Gate gate = GateFixture.of(clock, timers, 1, server);
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/x")
                .set(CallHeaders.SERVICE, GateFixture.SERVICE)
                .set(CallHeaders.TIMEOUT, "1S")
                .build();
        AggregatedHttpResponse answer = gate.handle(HttpRequest.of(headers), new CompletableFuture<>())
                .aggregate()
                .join();
        assertThat(gate.inFlight()).isEqualTo(0);
        return ResultCode.of(answer.headers().get(CallHeaders.CODE)).orElseThrow();
    }
}
