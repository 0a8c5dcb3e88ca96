package io.mustardusher.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.mustardusher.time.Clock;
import io.netty.util.concurrent.EventExecutor;

/**
 * Lets connections that send much, or many small pieces, read one after the other, so that they leave half of the event
 * loop's time to all others. Confined to the event loop.
 */
final class ReadTurns {

    /** Time between two turns, in nanoseconds, in which the loop handles what else has arrived. */
    private static final long MIN_PAUSE_NANOS = 100_000;

    private final EventExecutor loop;
    private final Clock clock;
    private final Deque<Runnable> waiting = new ArrayDeque<>();

    /** Time before which there is no turn, in nanoseconds. */
    private long pauseEndNanos;

    private boolean scheduled;

    /**
     * Creates a queue in which nobody waits.
     *
     * @param loop  event loop of the connections
     * @param clock source of time
     */
    ReadTurns(EventExecutor loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
        this.pauseEndNanos = clock.nanoTime();
    }

    /**
     * Waits for a turn.
     *
     * @param read reads once from a connection
     */
    void await(Runnable read) {
        waiting.addLast(read);
        schedule();
    }

    /**
     * Delays the next turn by the time that one took.
     *
     * @param nanos time for which the event loop handled what was read, in nanoseconds
     */
    void charge(long nanos) {
        pauseEndNanos = Math.max(pauseEndNanos, clock.nanoTime()) + nanos;
    }

    private void schedule() {
        if (scheduled || waiting.isEmpty()) {
            return;
        }
        scheduled = true;
        long pauseNanos = Math.max(MIN_PAUSE_NANOS, pauseEndNanos - clock.nanoTime());
        loop.schedule(this::grant, pauseNanos, TimeUnit.NANOSECONDS);
    }

    private void grant() {
        scheduled = false;
        if (clock.nanoTime() - pauseEndNanos >= 0) {
            waiting.removeFirst().run();
        }
        schedule();
    }
}
