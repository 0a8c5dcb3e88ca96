package io.mustardusher.gate;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.call.Timeout;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.result.Outcome;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.ImmediateEventExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Pattern of trouble: the connection between entry and gate breaks, and frames come twice, late or not at all. */
class FramedGateTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final HeaderPacking packing = new HeaderPacking(List.of());
    private final CompletableFuture<AggregatedHttpResponse> answer = new CompletableFuture<>();
    private final AtomicInteger runs = new AtomicInteger();
    private FramedGate framed;

    @BeforeEach
    void open() {
        Gate gate = OpenGate.of(clock, timers, 1, () -> {
            runs.incrementAndGet();
            return answer;
        });
        framed = new FramedGate(gate, packing, 1, ImmediateEventExecutor.INSTANCE, clock);
    }

    @AfterEach
    void close() {
        timers.shutdownNow();
    }

    @Test
    void callThatComesTwiceRunsOnce() {
        CompletableFuture<CallMessage> first = framed.call(call(1));
        CompletableFuture<CallMessage> second = framed.call(call(1));
        finish();
        assertThat(second.join()).isEqualTo(first.join());
        assertThat(runs.get()).isEqualTo(1);
    }

    @Test
    void entryGetsTheAnswerOverAnotherConnection() {
        framed.call(call(1));
        CompletableFuture<CallMessage> resumed = framed.resume(CallMessage.referringTo(1));
        assertThat(resumed.isDone()).isFalse();
        finish();
        assertThat(packing.unpackResponse(resumed.join().head()).get(CallHeaders.OUTCOME))
                .isEqualTo(Outcome.RAN.token());
    }

    @Test
    void callThatWasAskedForBeforeItCameNeverRuns() {
        assertThat(framed.resume(CallMessage.referringTo(1)).join().head()).isNull();
        assertThat(framed.call(call(1)).join().head()).isNull();
        assertThat(runs.get()).isEqualTo(0);
    }

    @Test
    void cancelledCallThatWaitsNeverRuns() {
        framed.call(call(1));
        CompletableFuture<CallMessage> waiting = framed.call(call(2));
        framed.cancel(CallMessage.referringTo(2));
        finish();
        assertThat(packing.unpackResponse(waiting.join().head()).get(CallHeaders.OUTCOME))
                .isEqualTo(Outcome.NOT_RUN.token());
        assertThat(runs.get()).isEqualTo(1);
    }

    private void finish() {
        ResponseHeaders headers = ResponseHeaders.of(HttpStatus.OK);
        answer.complete(AggregatedHttpResponse.of(headers, HttpData.ofUtf8("done")));
    }

    private CallMessage call(long number) {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.POST, "/")
                .set(CallHeaders.SERVICE, OpenGate.SERVICE)
                .set(CallHeaders.TIMEOUT, Timeout.format(60_000 * Clock.NANOS_PER_MILLI))
                .build();
        return new CallMessage(number, packing.pack(headers), new byte[0]);
    }
}
