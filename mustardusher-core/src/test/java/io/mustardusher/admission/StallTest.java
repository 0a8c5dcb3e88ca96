package io.mustardusher.admission;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StallTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final Stall stall = new Stall(clock);

    @Test
    void nodeThatKeepsUpRefusesNothing() {
        beat(Stall.BEAT_MILLIS + 20);
        assertThat(stall.refuses(ServiceClass.BACKGROUND)).isFalse();
    }

    @Test
    void leastUrgentCallsAreRefusedFirst() {
        beat(Stall.BEAT_MILLIS + 150);
        assertThat(stall.refuses(ServiceClass.BACKGROUND)).isTrue();
        assertThat(stall.refuses(ServiceClass.STANDARD)).isFalse();
    }

    @Test
    void allCallsAreRefusedFarBehind() {
        beat(Stall.BEAT_MILLIS + 400);
        assertThat(stall.refuses(ServiceClass.CRITICAL)).isTrue();
    }

    @Test
    void nodeThatHasCaughtUpTakesCallsAgain() {
        beat(Stall.BEAT_MILLIS + 400);
        for (int i = 0; i < 3; i++) {
            beat(Stall.BEAT_MILLIS);
        }
        assertThat(stall.refuses(ServiceClass.BACKGROUND)).isFalse();
    }

    private void beat(long afterMillis) {
        clock.advanceMillis(afterMillis);
        stall.beat();
    }
}
