package io.mustardusher.health;

import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EjectionTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final Ejection ejection = new Ejection();

    @Test
    void failureRateFadesWithoutCalls() {
        ejection.ended(false, clock.nanoTime());
        double before = ejection.failureRate(clock.nanoTime());
        clock.advanceMillis(1_000);
        assertThat(ejection.failureRate(clock.nanoTime())).isWithin(1e-9).of(before / 2);
    }

    @Test
    void unreachableServerIsOutAtOnceAndComesBackOnTrial() {
        ejection.unreachable(clock.nanoTime());
        assertThat(ejection.isEjected(clock.nanoTime())).isTrue();
        clock.advanceMillis(1_000);
        assertThat(ejection.isOnTrial(clock.nanoTime())).isTrue();
        ejection.trialSent();
        ejection.ended(true, clock.nanoTime());
        assertThat(ejection.isOnTrial(clock.nanoTime())).isFalse();
    }

    @Test
    void unreachableServerThatIsOutAlreadyIsNotPunishedTwice() {
        ejection.unreachable(clock.nanoTime());
        ejection.unreachable(clock.nanoTime());
        clock.advanceMillis(1_000);
        assertThat(ejection.isOnTrial(clock.nanoTime())).isTrue();
    }
}
