package io.mustardusher.admission;

import java.util.concurrent.atomic.AtomicInteger;

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

    @Test
    void measuresOnlyWhileThereAreCalls() {
        AtomicInteger starts = new AtomicInteger();
        eventLoopDelay.onStart(starts::incrementAndGet);
        eventLoopDelay.rejects(ServiceClass.STANDARD);
        eventLoopDelay.rejects(ServiceClass.STANDARD);
        assertThat(starts.get()).isEqualTo(1);
        assertThat(eventLoopDelay.sample()).isTrue();
        clock.advanceMillis(2_000);
        assertThat(eventLoopDelay.sample()).isFalse();
        eventLoopDelay.rejects(ServiceClass.STANDARD);
        assertThat(starts.get()).isEqualTo(2);
    }

    /** The time without a measurement must not be taken for a delay. */
    @Test
    void acceptsFirstCallAfterPauseOfMeasurement() {
        eventLoopDelay.rejects(ServiceClass.STANDARD);
        clock.advanceMillis(2_000);
        eventLoopDelay.sample();
        clock.advanceMillis(60_000);
        assertThat(eventLoopDelay.rejects(ServiceClass.BACKGROUND)).isFalse();
        clock.advanceMillis(EventLoopDelay.SAMPLE_INTERVAL_MILLIS);
        eventLoopDelay.sample();
        assertThat(eventLoopDelay.rejects(ServiceClass.BACKGROUND)).isFalse();
    }

    private void sample(long elapsedMillis) {
        clock.advanceMillis(elapsedMillis);
        eventLoopDelay.sample();
    }
}
