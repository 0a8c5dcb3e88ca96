package io.mustardusher.gate;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.call.Timeout;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.server.ServerLink;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.ImmediateEventExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls that run twice, or that run after being reported to the entry as not run, when the connection
 * between entry and gate is lost and frames arrive twice, late or not at all.
 */
class FramedGateTest {

    private static final int MEMORY_BYTES = 1_000;

    private final Clock.Manual clock = new Clock.Manual();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final HeaderPacking packing = new HeaderPacking(List.of());
    private final CompletableFuture<AggregatedHttpResponse> serverResponse = new CompletableFuture<>();
    private final AtomicInteger runs = new AtomicInteger();
    private FramedGate framedGate;

    @BeforeEach
    void open() {
        Gate gate = GateFixture.of(clock, timers, 1, () -> {
            runs.incrementAndGet();
            return serverResponse;
        });
        framedGate =
                new FramedGate(gate, packing, 1, ImmediateEventExecutor.INSTANCE, new BodyMemory(MEMORY_BYTES), clock);
    }

    @AfterEach
    void close() {
        timers.shutdownNow();
    }

    @Test
    void duplicateCallRunsOnce() {
        CompletableFuture<CallMessage> first = framedGate.call(call(1));
        CompletableFuture<CallMessage> second = framedGate.call(call(1));
        completeServerResponse();
        assertThat(second.join()).isEqualTo(first.join());
        assertThat(runs.get()).isEqualTo(1);
    }

    @Test
    void resumedCallReturnsResponse() {
        framedGate.call(call(1));
        CompletableFuture<CallMessage> resumed = framedGate.resume(CallMessage.referringTo(1));
        assertThat(resumed.isDone()).isFalse();
        completeServerResponse();
        assertThat(packing.unpackResponse(resumed.join().head()).get(CallHeaders.OUTCOME))
                .isEqualTo(Outcome.RAN.token());
    }

    @Test
    void callResumedBeforeItsArrivalNeverRuns() {
        assertThat(framedGate.resume(CallMessage.referringTo(1)).join().head()).isNull();
        assertThat(framedGate.call(call(1)).join().head()).isNull();
        assertThat(runs.get()).isEqualTo(0);
    }

    @Test
    void queuedCallNeverRunsAfterCancellation() {
        framedGate.call(call(1));
        CompletableFuture<CallMessage> queued = framedGate.call(call(2));
        framedGate.cancel(CallMessage.referringTo(2));
        completeServerResponse();
        assertThat(packing.unpackResponse(queued.join().head()).get(CallHeaders.OUTCOME))
                .isEqualTo(Outcome.NOT_RUN.token());
        assertThat(runs.get()).isEqualTo(1);
    }

    /** Guards against a gate that holds the responses of all calls that it retains, through what would abort them. */
    @Test
    void endedCallHoldsNothingThatItsCancellationWouldAbort() {
        AtomicInteger aborts = new AtomicInteger();
        ServerLink link = new AbortedLink(serverResponse, aborts);
        FramedGate aborting = new FramedGate(
                GateFixture.of(clock, timers, 1, link),
                packing,
                1,
                ImmediateEventExecutor.INSTANCE,
                new BodyMemory(MEMORY_BYTES),
                clock);
        aborting.call(call(1));
        completeServerResponse();
        aborting.cancel(CallMessage.referringTo(1));
        assertThat(aborts.get()).isEqualTo(0);
    }

    /** Guards against a gate that runs out of memory because many nodes send it large bodies at once. */
    @Test
    void callsWhoseBodiesExceedMemoryAreRefusedAsNotRun() {
        framedGate.call(call(1, MEMORY_BYTES));
        CompletableFuture<CallMessage> refused = framedGate.call(call(2, 1));
        assertThat(packing.unpackResponse(refused.join().head()).get(CallHeaders.CODE))
                .isEqualTo(Integer.toString(ResultCode.BODY_MEMORY_EXHAUSTED.number()));
        completeServerResponse();
        framedGate.call(call(3, MEMORY_BYTES));
        assertThat(runs.get()).isEqualTo(2);
    }

    private void completeServerResponse() {
        ResponseHeaders headers = ResponseHeaders.of(HttpStatus.OK);
        serverResponse.complete(AggregatedHttpResponse.of(headers, HttpData.ofUtf8("done")));
    }

    private CallMessage call(long number) {
        return call(number, 0);
    }

    private CallMessage call(long number, int bodyBytes) {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.POST, "/")
                .set(CallHeaders.SERVICE, GateFixture.SERVICE)
                .set(CallHeaders.TIMEOUT, Timeout.format(60_000 * Clock.NANOS_PER_MILLI))
                .build();
        return new CallMessage(number, packing.pack(headers), new byte[bodyBytes]);
    }

    private record AbortedLink(CompletableFuture<AggregatedHttpResponse> response, AtomicInteger aborts)
            implements ServerLink {

        @Override
        public Exchange send(HttpRequest call, long remainingNanos) {
            return Exchange.ofAggregated(response, aborts::incrementAndGet);
        }

        @Override
        public CompletableFuture<Void> probe(String path) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void close() {
            // There are no connections.
        }
    }
}
