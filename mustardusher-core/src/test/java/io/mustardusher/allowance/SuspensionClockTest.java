package io.mustardusher.allowance;

import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SuspensionClockTest {

    private long nanos;
    private long epochMillis = 1_000_000;

    private final SuspensionClock clock = new SuspensionClock(new Clock() {
        @Override
        public long nanoTime() {
            return nanos;
        }

        @Override
        public long epochMillis() {
            return epochMillis;
        }
    });

    @Test
    void countsSuspensionOnce() {
        epochMillis += 3_000;
        assertThat(clock.nanoTime()).isEqualTo(3_000 * Clock.NANOS_PER_MILLI);
        nanos += 5;
        assertThat(clock.nanoTime()).isEqualTo(3_000 * Clock.NANOS_PER_MILLI + 5);
    }

    @Test
    void ignoresCorrectionsAndStepsBack() {
        epochMillis += 20;
        assertThat(clock.nanoTime()).isEqualTo(0);
        epochMillis -= 60_000;
        assertThat(clock.nanoTime()).isEqualTo(0);
        nanos += 7;
        assertThat(clock.nanoTime()).isEqualTo(7);
    }
}
