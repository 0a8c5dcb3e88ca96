package io.mustardusher.health;

import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EjectionTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final Ejection ejection = new Ejection();

    @Test
    void failureRateDecaysWithoutCalls() {
        ejection.recordCall(false, clock.nanoTime());
        double before = ejection.failureRate(clock.nanoTime());
        clock.advanceMillis(1_000);
        assertThat(ejection.failureRate(clock.nanoTime())).isWithin(1e-9).of(before / 2);
    }

    @Test
    void unreachableServerIsEjectedImmediatelyAndReturnsAfterTrial() {
        ejection.recordUnreachable(clock.nanoTime());
        assertThat(ejection.isEjected(clock.nanoTime())).isTrue();
        clock.advanceMillis(1_000);
        assertThat(ejection.requiresTrial(clock.nanoTime())).isTrue();
        ejection.startTrial();
        ejection.recordCall(true, clock.nanoTime());
        assertThat(ejection.requiresTrial(clock.nanoTime())).isFalse();
    }

    @Test
    void unreachableServerDoesNotExtendCurrentEjection() {
        ejection.recordUnreachable(clock.nanoTime());
        ejection.recordUnreachable(clock.nanoTime());
        clock.advanceMillis(1_000);
        assertThat(ejection.requiresTrial(clock.nanoTime())).isTrue();
    }
}
