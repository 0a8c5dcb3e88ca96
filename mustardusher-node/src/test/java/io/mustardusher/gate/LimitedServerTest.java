package io.mustardusher.gate;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.admission.Admission;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.instance.InstanceConditions;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.result.Outcome;
import io.mustardusher.server.ServerLink;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: a server states a maximum rate of calls in its answers while many more calls are made. */
class LimitedServerTest {

    private static final String INSTANCE = "i-1";
    private static final int STEP_MILLIS = 5;
    private static final int CALL_INTERVAL_MILLIS = 10;
    private static final int POLL_MILLIS = 20;
    private static final int SERVICE_MILLIS = 100;

    /** Time after the first statement of a limit from which it binds. */
    private static final int GRACE_MILLIS = 3_000;

    private static final int WINDOW_MILLIS = 4_000;

    private final Clock.Manual clock = new Clock.Manual();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final List<Long> arrivalsMillis = new ArrayList<>();
    private final List<RunningCall> running = new ArrayList<>();
    private ServerConditions stated = ServerConditions.NONE;

    /** Conditions that entries send with their calls. */
    private Optional<InstanceConditions> hint = Optional.empty();

    private int probes;
    private Gate gate = startGate();

    @AfterEach
    void close() {
        timers.shutdownNow();
    }

    // Guards against a server that receives more calls than it states to accept, from all nodes together.
    @ParameterizedTest
    @ValueSource(doubles = {2, 13.5, 17.9, 40})
    void serverReceivesNoMoreCallsThanItAccepts(double callsPerSecond) {
        call(1_000);
        state(callsPerSecond);
        call(12_000);
        assertThat(mostCallsInWindow(1_000 + GRACE_MILLIS)).isAtMost((int) (1.5 * callsPerSecond * 4 + 5));
        assertThat(callsSince(clockMillis() - WINDOW_MILLIS)).isAtLeast((int) (0.85 * callsPerSecond * 4));
    }

    // Guards against a gate that forgets the limit of its server each time its node restarts.
    @ParameterizedTest
    @ValueSource(doubles = {2, 13.5, 17.9, 40})
    void keepsLimitThatEntriesReceivedBeforeRestartsOfGate(double callsPerSecond) {
        state(callsPerSecond);
        call(GRACE_MILLIS);
        hint = Optional.of(new InstanceConditions(INSTANCE, stated));
        for (int restart = 0; restart < 12; restart++) {
            restartGate();
            call(500);
        }
        assertThat(mostCallsInWindow(GRACE_MILLIS)).isAtMost((int) (1.5 * callsPerSecond * 4 + 5));
    }

    // Guards against a node that makes up for a pause, after which many calls wait for it.
    @ParameterizedTest
    @ValueSource(doubles = {2, 13.5, 17.9, 40})
    void doesNotMakeUpForPauseOfNode(double callsPerSecond) {
        state(callsPerSecond);
        call(GRACE_MILLIS);
        for (int pause = 0; pause < 4; pause++) {
            clock.advanceMillis(WINDOW_MILLIS / 2);
            for (int i = 0; i < 200; i++) {
                gate.handle(HttpRequest.of(callHeaders()), new CompletableFuture<>())
                        .aggregate();
            }
            call(WINDOW_MILLIS / 4);
        }
        assertThat(mostCallsInWindow(GRACE_MILLIS)).isAtMost((int) (1.5 * callsPerSecond * 4 + 5));
    }

    @Test
    void limitEndsWhenServerNoLongerStatesIt() {
        state(13.5);
        call(GRACE_MILLIS);
        stated = ServerConditions.NONE;
        call(WINDOW_MILLIS);
        assertThat(callsSince(clockMillis() - 1_000)).isAtLeast(95);
    }

    @Test
    void hintOfOtherInstanceHasNoEffect() {
        hint = Optional.of(new InstanceConditions("i-0", new ServerConditions(2, false)));
        call(1_000);
        assertThat(arrivalsMillis.size()).isAtLeast(95);
    }

    @Test
    void serverIsNotProbedWhileItLimitsCalls() {
        gate.enableProbes(service -> "/health", 30);
        state(13.5);
        call(GRACE_MILLIS);
        int before = probes;
        call(WINDOW_MILLIS);
        assertThat(before).isGreaterThan(0);
        assertThat(probes).isEqualTo(before);
    }

    @Test
    void answersStateLimitToEntries() {
        state(13.5);
        call(GRACE_MILLIS);
        assertThat(gate.statedConditions()).hasValue(new InstanceConditions(INSTANCE, stated));
    }

    private void state(double callsPerSecond) {
        stated = new ServerConditions(callsPerSecond, false);
    }

    /** Makes 100 calls per second for some time. */
    private void call(int millis) {
        for (int elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            if (elapsed % CALL_INTERVAL_MILLIS == 0) {
                gate.handle(HttpRequest.of(callHeaders()), new CompletableFuture<>())
                        .aggregate();
            }
            if (elapsed % POLL_MILLIS == 0) {
                gate.poll();
            }
            clock.advanceMillis(STEP_MILLIS);
            answerFinishedCalls();
        }
    }

    private RequestHeaders callHeaders() {
        RequestHeadersBuilder headers = RequestHeaders.builder(HttpMethod.GET, "/clip")
                .set(CallHeaders.SERVICE, GateFixture.SERVICE)
                .set(CallHeaders.OWNER, "clips")
                .set(CallHeaders.TIMEOUT, "1200m")
                .set(CallHeaders.TARGET, "300m");
        hint.ifPresent(conditions -> headers.set(CallHeaders.CONDITIONS, conditions.toHeader()));
        return headers.build();
    }

    private void answerFinishedCalls() {
        for (RunningCall call : List.copyOf(running)) {
            if (clockMillis() - call.sentMillis >= SERVICE_MILLIS) {
                running.remove(call);
                gate.recordConditions(INSTANCE, stated, call.sentMillis * Clock.NANOS_PER_MILLI);
                call.response.complete(AggregatedHttpResponse.of(ResponseHeaders.builder(HttpStatus.OK)
                        .set(CallHeaders.OUTCOME, Outcome.RAN.token())
                        .build()));
            }
        }
    }

    private CompletableFuture<AggregatedHttpResponse> arrive() {
        arrivalsMillis.add(clockMillis());
        RunningCall call = new RunningCall(clockMillis(), new CompletableFuture<>());
        running.add(call);
        return call.response;
    }

    private Gate startGate() {
        Admission admission = Admission.withLatencyTargets(clock, 1);
        return GateFixture.of(clock, timers, admission, INSTANCE, 17, new LimitedLink());
    }

    // The server drops the calls of a gate that ends.
    private void restartGate() {
        running.clear();
        gate = startGate();
    }

    private int mostCallsInWindow(long fromMillis) {
        int most = 0;
        for (long start : arrivalsMillis) {
            if (start >= fromMillis) {
                most = Math.max(most, (int) arrivalsMillis.stream()
                        .filter(arrival -> arrival >= start && arrival < start + WINDOW_MILLIS)
                        .count());
            }
        }
        return most;
    }

    private int callsSince(long fromMillis) {
        return (int)
                arrivalsMillis.stream().filter(arrival -> arrival >= fromMillis).count();
    }

    private long clockMillis() {
        return clock.nanoTime() / Clock.NANOS_PER_MILLI;
    }

    private final class LimitedLink implements ServerLink {

        @Override
        public Exchange send(HttpRequest call, long remainingNanos) {
            return Exchange.ofAggregated(arrive(), () -> {});
        }

        @Override
        public CompletableFuture<Void> probe(String path) {
            probes++;
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void close() {
            // There are no connections.
        }
    }

    private record RunningCall(long sentMillis, CompletableFuture<AggregatedHttpResponse> response) {}
}
