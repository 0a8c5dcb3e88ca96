package io.mustardusher.node;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.mustardusher.log.LoggedTask;

/**
 * A task that runs some time after it was requested. Requests made until it runs are served by the same run, so that
 * nothing wakes up while there are none.
 */
final class CoalescingTask {

    private final ScheduledExecutorService timers;
    private final long delayMillis;
    private final Runnable task;
    private final AtomicBoolean requested = new AtomicBoolean();

    /**
     * Creates a task that is not requested.
     *
     * @param timers      runs the task
     * @param delayMillis delay from the first request to the run, in milliseconds
     * @param task        the task; a failed run is logged
     */
    CoalescingTask(ScheduledExecutorService timers, long delayMillis, Runnable task) {
        this.timers = timers;
        this.delayMillis = delayMillis;
        this.task = new LoggedTask("requested task", task);
    }

    /** Requests a run. Neither blocks nor runs the task in the calling thread. */
    void request() {
        if (!timers.isShutdown() && requested.compareAndSet(false, true)) {
            timers.schedule(this::run, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void run() {
        // Reset before the run, because a request made during the run may not be covered by it.
        requested.set(false);
        task.run();
    }
}
