package io.mustardusher.gate;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.admission.Admission;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.generated.Announcement;
import io.mustardusher.instance.InstanceConditions;
import io.mustardusher.instance.InstanceState;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.node.ServerTracker;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against calls to a server that has stated in an answer that it is leaving. */
class LeavingServerTest {

    private static final ServerConditions LEAVING = new ServerConditions(Double.POSITIVE_INFINITY, true);
    private static final Optional<InstanceConditions> NO_HINT = Optional.empty();

    private final Clock.Manual clock = new Clock.Manual();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final AtomicLong sequence = new AtomicLong();
    private Gate gate;
    private ServerTracker tracker;

    @BeforeEach
    void start() {
        gate = GateFixture.of(
                clock,
                timers,
                new Admission(clock),
                "i-1",
                4,
                new GateFixture.SimulatedLink(
                        () -> CompletableFuture.completedFuture(AggregatedHttpResponse.of(ResponseHeaders.of(200)))));
        tracker = new ServerTracker(clock, gate::applyAnnouncement);
        gate.onServerLeaving(tracker::recordLeaving);
        announce("i-1", InstanceState.Phase.SERVING);
    }

    @AfterEach
    void close() {
        timers.shutdownNow();
    }

    @Test
    void gateRejectsCallsWhateverServerAnnouncesAfterwards() {
        assertThat(call(NO_HINT)).isEqualTo(Outcome.RAN.token());
        gate.recordConditions("i-1", LEAVING, 0);
        assertThat(call(NO_HINT)).isEqualTo(ResultCode.DRAINING.label());
        announce("i-1", InstanceState.Phase.SERVING);
        assertThat(call(NO_HINT)).isEqualTo(ResultCode.DRAINING.label());
        assertThat(gate.load().draining()).isTrue();
    }

    @Test
    void gateThatRestartedLearnsOfItFromEntry() {
        gate.recordConditions("i-1", LEAVING, 0);
        Optional<InstanceConditions> received = gate.statedConditions();
        start();
        assertThat(call(received)).isEqualTo(ResultCode.DRAINING.label());
        assertThat(call(NO_HINT)).isEqualTo(ResultCode.DRAINING.label());
    }

    @Test
    void nextInstanceReceivesCallsDespiteHintsOfEarlierOne() {
        gate.recordConditions("i-1", LEAVING, 0);
        Optional<InstanceConditions> received = gate.statedConditions();
        clock.advanceMillis(5_000);
        announce("i-2", InstanceState.Phase.SERVING);
        assertThat(call(received)).isEqualTo(Outcome.RAN.token());
        assertThat(gate.statedConditions()).isEmpty();
    }

    private void announce(String instance, InstanceState.Phase phase) {
        tracker.recordAnnouncement(
                new InstanceState(instance, 0, sequence.incrementAndGet(), phase),
                new Announcement()
                        .withService(GateFixture.SERVICE)
                        .withHost("127.0.0.1")
                        .withPort(1L)
                        .withSlots(4L)
                        .withInstance(instance));
        gate.configureLimits(1, 0);
    }

    /** Returns the outcome of a call, or the reason for its rejection. */
    private String call(Optional<InstanceConditions> hint) {
        RequestHeadersBuilder headers = RequestHeaders.builder(HttpMethod.GET, "/x")
                .set(CallHeaders.SERVICE, GateFixture.SERVICE)
                .set(CallHeaders.TIMEOUT, "1S");
        hint.ifPresent(conditions -> headers.set(CallHeaders.CONDITIONS, conditions.toHeader()));
        ResponseHeaders answer = gate.handle(HttpRequest.of(headers.build()), new CompletableFuture<>())
                .aggregate()
                .join()
                .headers();
        return ResultCode.of(answer.get(CallHeaders.CODE))
                .map(ResultCode::label)
                .orElseGet(() -> answer.get(CallHeaders.OUTCOME));
    }
}
