package io.mustardusher.freshness;

import java.util.Random;

import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ElapsedTimeTest {

    private static final long SECOND_NANOS = 1_000 * Clock.NANOS_PER_MILLI;
    private static final int SAMPLES = 100_000;

    private final SteppedClock clock = new SteppedClock();
    private final ElapsedTime time = new ElapsedTime(clock);
    private final long start = time.nanos();

    // Guards against a time that runs faster the more often it is sampled, by the rounding of the wall clock.
    @Test
    void followsMonotonicClockWhateverTheSamplingRate() {
        Random random = new Random(1);
        for (int i = 0; i < SAMPLES; i++) {
            clock.pass(random.nextInt(3_000_000));
            time.nanos();
        }
        assertThat(time.nanos() - start).isEqualTo(clock.monotonic);
    }

    @Test
    void countsSuspensionOnce() {
        clock.pass(SECOND_NANOS);
        time.nanos();
        clock.stepWall(3 * SECOND_NANOS);
        clock.pass(SECOND_NANOS);
        assertThat(time.nanos() - start).isEqualTo(5 * SECOND_NANOS);
        assertThat(time.nanos() - start).isEqualTo(5 * SECOND_NANOS);
    }

    @Test
    void countsSuspensionAfterBackwardStep() {
        clock.stepWall(-10 * SECOND_NANOS);
        assertThat(time.nanos() - start).isEqualTo(0);
        clock.stepWall(4 * SECOND_NANOS);
        assertThat(time.nanos() - start).isEqualTo(4 * SECOND_NANOS);
    }

    // Guards against many suspensions that are each too short to be counted.
    @Test
    void countsShortSuspensionsTogether() {
        for (int i = 0; i < 100; i++) {
            clock.pass(SECOND_NANOS / 10);
            clock.stepWall(10 * Clock.NANOS_PER_MILLI);
            time.nanos();
        }
        long counted = time.nanos() - start - clock.monotonic;
        assertThat(counted).isAtLeast(SECOND_NANOS - 30 * Clock.NANOS_PER_MILLI);
        assertThat(counted).isAtMost(SECOND_NANOS);
    }

    /** A clock whose two times pass together except where a test sets the wall clock. */
    private static final class SteppedClock implements Clock {

        private static final long START_NANOS = Clock.Manual.START_EPOCH_MILLIS * NANOS_PER_MILLI;

        private long monotonic;
        private long wallOffset = START_NANOS;

        void pass(long nanos) {
            monotonic += nanos;
        }

        void stepWall(long nanos) {
            wallOffset += nanos;
        }

        @Override
        public long nanoTime() {
            return monotonic;
        }

        @Override
        public long epochMillis() {
            return (monotonic + wallOffset) / NANOS_PER_MILLI;
        }
    }
}
