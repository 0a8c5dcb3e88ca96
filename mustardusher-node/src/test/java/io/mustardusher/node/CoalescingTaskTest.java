package io.mustardusher.node;

import io.mustardusher.entry.ManualTimers;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CoalescingTaskTest {

    private static final long DELAY_MILLIS = 20;

    private final ManualTimers timers = new ManualTimers();
    private int runs;

    @Test
    void combinesRequestsUntilRun() {
        CoalescingTask task = new CoalescingTask(timers, DELAY_MILLIS, () -> runs++);
        task.request();
        task.request();
        advanceMillis(DELAY_MILLIS - 1);
        assertThat(runs).isEqualTo(0);
        advanceMillis(1);
        assertThat(runs).isEqualTo(1);
        advanceMillis(1_000);
        assertThat(runs).isEqualTo(1);
    }

    @Test
    void runsAgainForRequestDuringRun() {
        CoalescingTask[] task = new CoalescingTask[1];
        task[0] = new CoalescingTask(timers, DELAY_MILLIS, () -> {
            runs++;
            if (runs < 3) {
                task[0].request();
            }
        });
        task[0].request();
        advanceMillis(10 * DELAY_MILLIS);
        assertThat(runs).isEqualTo(3);
    }

    @Test
    void runsAgainAfterFailure() {
        CoalescingTask task = new CoalescingTask(timers, DELAY_MILLIS, () -> {
            runs++;
            throw new IllegalStateException("expected by the test");
        });
        task.request();
        advanceMillis(DELAY_MILLIS);
        task.request();
        advanceMillis(DELAY_MILLIS);
        assertThat(runs).isEqualTo(2);
    }

    private void advanceMillis(long millis) {
        timers.advance(millis * Clock.NANOS_PER_MILLI);
    }
}
