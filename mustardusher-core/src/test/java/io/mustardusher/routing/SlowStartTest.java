package io.mustardusher.routing;

import io.mustardusher.membership.NodeId;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: nodes restart beside servers that are warm, and servers start that are not. */
class SlowStartTest {

    private static final long SECOND_NANOS = 1_000 * Clock.NANOS_PER_MILLI;
    private static final long NOW = 100 * SECOND_NANOS;
    private static final int USUAL_MICROS = 8_000;

    private final UsualServiceTime usual = new UsualServiceTime(true);
    private final ServerLoad old = new ServerLoad(NodeId.of("old"), 10, 0, 0, usual, new TransferRate());
    private final ServerLoad starting =
            new ServerLoad(NodeId.of("new"), 10, 0, NOW - SECOND_NANOS, usual, new TransferRate());

    @Test
    void serverThatReportsUsualServiceTimeIsNotSlow() {
        report(old, USUAL_MICROS);
        report(starting, USUAL_MICROS);
        assertThat(starting.estimatedNanos(NOW)).isEqualTo(old.estimatedNanos(NOW));
    }

    // Guards against calls to a cold server, which takes twice as long.
    @Test
    void serverThatTakesLongerStaysInSlowStart() {
        report(old, USUAL_MICROS);
        report(starting, 2 * USUAL_MICROS);
        assertThat(starting.estimatedNanos(NOW)).isGreaterThan(2.5 * old.estimatedNanos(NOW));
        report(starting, USUAL_MICROS);
        assertThat(starting.estimatedNanos(NOW)).isEqualTo(old.estimatedNanos(NOW));
    }

    @Test
    void slowStartDependsOnTimeBeforeServiceTimesAreKnown() {
        report(starting, USUAL_MICROS);
        assertThat(starting.estimatedNanos(NOW)).isGreaterThan(timedEstimate(5));
        assertThat(starting.estimatedNanos(NOW + 5 * SECOND_NANOS)).isLessThan(timedEstimate(5) * 1.001);
    }

    @Test
    void slowStartDependsOnTimeWhereServersDoNotBecomeCold() {
        UsualServiceTime disabled = new UsualServiceTime(false);
        ServerLoad other = new ServerLoad(NodeId.of("old"), 10, 0, 0, disabled, new TransferRate());
        ServerLoad timed = new ServerLoad(NodeId.of("new"), 10, 0, NOW - SECOND_NANOS, disabled, new TransferRate());
        report(other, USUAL_MICROS);
        report(timed, USUAL_MICROS);
        assertThat(timed.estimatedNanos(NOW)).isEqualTo(timedEstimate(1));
    }

    private static double timedEstimate(int ageSeconds) {
        ServerLoad timed = new ServerLoad(NodeId.of("t"), 10, 0, NOW - ageSeconds * SECOND_NANOS);
        report(timed, USUAL_MICROS);
        return timed.estimatedNanos(NOW);
    }

    private static void report(ServerLoad server, int serviceMicros) {
        server.update(new LoadReport(4, 0, 10, serviceMicros, false), NOW);
    }
}
