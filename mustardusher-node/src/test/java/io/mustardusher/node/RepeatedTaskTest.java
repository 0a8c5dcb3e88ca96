package io.mustardusher.node;

import io.mustardusher.entry.ManualTimers;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a node that gives up what it does until it succeeds, such as to find its peers. */
class RepeatedTaskTest {

    private static final long INTERVAL_MILLIS = 50;

    private final ManualTimers timers = new ManualTimers();
    private int runs;

    @Test
    void endsWhenNothingIsLeft() {
        new RepeatedTask(timers, INTERVAL_MILLIS, () -> ++runs < 3).run();
        advance(10);
        assertThat(runs).isEqualTo(3);
    }

    @Test
    void repeatsAfterException() {
        new RepeatedTask(timers, INTERVAL_MILLIS, () -> {
                    if (++runs == 1) {
                        throw new IllegalArgumentException("expected by the test");
                    }
                    return runs < 3;
                })
                .run();
        advance(10);
        assertThat(runs).isEqualTo(3);
    }

    @Test
    void repeatsAfterError() {
        new RepeatedTask(timers, INTERVAL_MILLIS, () -> {
                    if (++runs == 1) {
                        throw new StackOverflowError("expected by the test");
                    }
                    return runs < 3;
                })
                .run();
        advance(10);
        assertThat(runs).isEqualTo(3);
    }

    private void advance(int intervals) {
        timers.advance(intervals * INTERVAL_MILLIS * Clock.NANOS_PER_MILLI);
    }
}
