package io.mustardusher.admission;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EventLoopDelayTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final EventLoopDelay eventLoopDelay = new EventLoopDelay(clock);

    @Test
    void rejectsNoCallsAtSmallDelay() {
        sample(EventLoopDelay.SAMPLE_INTERVAL_MILLIS + 20);
        assertThat(eventLoopDelay.rejects(ServiceClass.BACKGROUND)).isFalse();
    }

    @Test
    void rejectsOnlyBackgroundCallsAtModerateDelay() {
        sample(EventLoopDelay.SAMPLE_INTERVAL_MILLIS + 150);
        assertThat(eventLoopDelay.rejects(ServiceClass.BACKGROUND)).isTrue();
        assertThat(eventLoopDelay.rejects(ServiceClass.STANDARD)).isFalse();
    }

    @Test
    void rejectsAllCallsAtLongDelay() {
        sample(EventLoopDelay.SAMPLE_INTERVAL_MILLIS + 400);
        assertThat(eventLoopDelay.rejects(ServiceClass.CRITICAL)).isTrue();
    }

    @Test
    void acceptsCallsAgainAfterDelayHasEnded() {
        sample(EventLoopDelay.SAMPLE_INTERVAL_MILLIS + 400);
        for (int i = 0; i < 3; i++) {
            sample(EventLoopDelay.SAMPLE_INTERVAL_MILLIS);
        }
        assertThat(eventLoopDelay.rejects(ServiceClass.BACKGROUND)).isFalse();
    }

    private void sample(long elapsedMillis) {
        clock.advanceMillis(elapsedMillis);
        eventLoopDelay.sample();
    }
}
