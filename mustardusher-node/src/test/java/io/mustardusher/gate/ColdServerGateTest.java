package io.mustardusher.gate;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.admission.Admission;
import io.mustardusher.admission.ColdPolicy;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.generated.Announcement;
import io.mustardusher.result.Outcome;
import io.mustardusher.server.ServerLink;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: a server becomes cold, or its gate restarts beside it, while many calls arrive. */
class ColdServerGateTest {

    private static final int SLOTS = 8;
    private static final int BOUND = 23;
    private static final long SECOND_NANOS = 1_000 * Clock.NANOS_PER_MILLI;
    private static final ColdPolicy POLICY = new ColdPolicy(10, 3 * SECOND_NANOS, BOUND);

    private final Clock.Manual clock = new Clock.Manual();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final List<CompletableFuture<AggregatedHttpResponse>> running = new ArrayList<>();
    private final List<Probe> probes = new ArrayList<>();
    private final Admission admission = Admission.withLatencyTargets(clock, 1);
    private Gate gate;
    private int sent;
    private int probesSent;
    private long coldMillis;

    @AfterEach
    void close() {
        timers.shutdownNow();
    }

    @Test
    void firstCallWaitsForAnswerToProbe() {
        start("i-1");
        call(1);
        assertThat(sent).isEqualTo(0);
        assertThat(probes).hasSize(1);
        answerProbes();
        assertThat(sent).isEqualTo(1);
    }

    @Test
    void warmServerGetsAllCalls() {
        start("i-1");
        answerProbes();
        play(2_000);
        assertThat(sent).isAtLeast(390);
        assertThat(probesSent).isAtMost(2 * 30 + 8);
    }

    @Test
    void serverThatBecomesColdUnnoticedGetsNoMoreThanBound() {
        start("i-1");
        answerProbes();
        play(2_000);
        int before = sent;
        coldMillis = 3_000;
        play(1_000);
        assertThat(sent - before).isAtMost(BOUND);
        assertThat(admission.isCold()).isTrue();
    }

    // Guards against a server that restarts under its name and is taken for the one that was warm.
    @Test
    void newStartUnderSameNameCountsAsNewServer() {
        start("i-1");
        answerProbes();
        call(1);
        assertThat(sent).isEqualTo(1);
        gate.applyAnnouncement(announcement("i-1").withStart(200L));
        call(1);
        assertThat(sent).isEqualTo(1);
        answerProbes();
        assertThat(sent).isEqualTo(2);
    }

    @Test
    void announcementStatesColdness() {
        start("i-1");
        gate.applyAnnouncement(announcement("i-1").withColdMillis(500));
        assertThat(admission.isCold()).isTrue();
        clock.advanceMillis(500);
        assertThat(admission.isCold()).isFalse();
    }

    // Guards against refusals at a cold server that operators cannot tell from those at a full one.
    @Test
    void countsCallsRefusedOnlyWhileServerIsCold() {
        start("i-1");
        answerProbes();
        long before = ColdState.of(gate, GateFixture.METRICS).refused();
        play(2_000);
        assertThat(ColdState.of(gate, GateFixture.METRICS)).isEqualTo(new ColdState(false, before));
        coldMillis = 3_000;
        play(1_000);
        assertThat(ColdState.of(gate, GateFixture.METRICS).cold()).isTrue();
        assertThat(ColdState.of(gate, GateFixture.METRICS).refused() - before).isAtLeast(100);
    }

    private void start(String instance) {
        gate = GateFixture.of(clock, timers, admission, instance, SLOTS, new Link());
        gate.enableProbes(service -> "/health", 30);
        clock.advanceMillis(100);
        gate.configureColdStart(ColdPolicy.UNKNOWN);
        gate.applyAnnouncement(announcement(instance));
        gate.configureColdStart(POLICY);
    }

    private static Announcement announcement(String instance) {
        return new Announcement()
                .withService(GateFixture.SERVICE)
                .withHost("127.0.0.1")
                .withPort(1L)
                .withInstance(instance)
                .withStart(100L)
                .withSlots((long) SLOTS)
                .withState(Announcement.State.SERVING);
    }

    /** Makes 200 calls per second, each of which takes 5 ms. */
    private void play(int millis) {
        for (int elapsed = 0; elapsed < millis; elapsed += 5) {
            call(1);
            clock.advanceMillis(2);
            answerProbes();
            if (elapsed % 20 == 0) {
                gate.poll();
            }
            clock.advanceMillis(3);
            answerCalls();
        }
    }

    private void call(int count) {
        for (int i = 0; i < count; i++) {
            gate.handle(
                            HttpRequest.of(RequestHeaders.builder(HttpMethod.GET, "/")
                                    .set(CallHeaders.SERVICE, GateFixture.SERVICE)
                                    .set(CallHeaders.OWNER, "route")
                                    .set(CallHeaders.TIMEOUT, "1200m")
                                    .build()),
                            new CompletableFuture<>())
                    .aggregate();
        }
    }

    private void answerCalls() {
        for (CompletableFuture<AggregatedHttpResponse> call : List.copyOf(running)) {
            running.remove(call);
            call.complete(AggregatedHttpResponse.of(ResponseHeaders.builder(HttpStatus.OK)
                    .set(CallHeaders.OUTCOME, Outcome.RAN.token())
                    .build()));
        }
    }

    private void answerProbes() {
        for (Probe probe : List.copyOf(probes)) {
            probes.remove(probe);
            gate.recordHealth(coldMillis, probe.sentNanos);
            probe.answer.complete(null);
        }
    }

    private final class Link implements ServerLink {

        @Override
        public Exchange send(HttpRequest call, long remainingNanos) {
            sent++;
            CompletableFuture<AggregatedHttpResponse> response = new CompletableFuture<>();
            running.add(response);
            return Exchange.ofAggregated(response, () -> {});
        }

        @Override
        public CompletableFuture<Void> probe(String path) {
            probesSent++;
            Probe probe = new Probe(clock.nanoTime(), new CompletableFuture<>());
            probes.add(probe);
            return probe.answer;
        }

        @Override
        public void close() {
            // There are no connections.
        }
    }

    private record Probe(long sentNanos, CompletableFuture<Void> answer) {}
}
