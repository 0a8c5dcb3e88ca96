package io.mustardusher.entry;

import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Timers that run on the calling thread when a test advances the time. */
public final class ManualTimers extends AbstractExecutorService implements ScheduledExecutorService {

    private final PriorityQueue<Task<?>> tasks = new PriorityQueue<>();
    private long nowNanos;

    /**
     * Advances the time and runs the tasks that become due, in order.
     *
     * @param nanos time to advance, in nanoseconds
     */
    public void advance(long nanos) {
        long end = nowNanos + nanos;
        while (!tasks.isEmpty() && tasks.peek().dueNanos <= end) {
            Task<?> task = tasks.remove();
            nowNanos = task.dueNanos;
            task.run();
        }
        nowNanos = end;
    }

    /**
     * Returns the number of tasks that are scheduled.
     *
     * @return number of tasks that have neither run nor been cancelled
     */
    public int scheduled() {
        return (int) tasks.stream().filter(task -> !task.isDone()).count();
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        return schedule(
                () -> {
                    command.run();
                    return null;
                },
                delay,
                unit);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        Task<V> task = new Task<>(callable, nowNanos + unit.toNanos(delay));
        tasks.add(task);
        return task;
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long delay, long period, TimeUnit unit) {
        throw new UnsupportedOperationException("periodic tasks are not simulated");
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long delay, long period, TimeUnit unit) {
        throw new UnsupportedOperationException("periodic tasks are not simulated");
    }

    @Override
    public void execute(Runnable command) {
        command.run();
    }

    @Override
    public void shutdown() {
        tasks.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        tasks.clear();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }

    private final class Task<V> extends FutureTask<V> implements ScheduledFuture<V> {

        private final long dueNanos;

        Task(Callable<V> callable, long dueNanos) {
            super(callable);
            this.dueNanos = dueNanos;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(dueNanos - nowNanos, TimeUnit.NANOSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(getDelay(TimeUnit.NANOSECONDS), other.getDelay(TimeUnit.NANOSECONDS));
        }
    }
}
