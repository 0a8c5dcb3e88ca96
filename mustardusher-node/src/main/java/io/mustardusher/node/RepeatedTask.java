package io.mustardusher.node;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.mustardusher.log.NodeLog;

/**
 * A task that is repeated until it has nothing left to do. A failed run is logged and repeated.
 *
 * @param timers         runs the task
 * @param intervalMillis delay between two runs, in milliseconds
 * @param task           the task; returns whether it has to run again
 */
record RepeatedTask(ScheduledExecutorService timers, long intervalMillis, BooleanSupplier task) implements Runnable {

    @Override
    public void run() {
        if (isIncomplete()) {
            timers.schedule(this, intervalMillis, TimeUnit.MILLISECONDS);
        }
    }

    private boolean isIncomplete() {
        try {
            return task.getAsBoolean();
        } catch (RuntimeException | Error e) {
            NodeLog.LOG.warn("repeated task failed", e);
            return true;
        }
    }
}
