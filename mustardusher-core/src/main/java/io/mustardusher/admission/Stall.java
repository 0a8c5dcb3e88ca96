package io.mustardusher.admission;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.time.Clock;

/**
 * How far a node is behind with its own work, from tasks that run later than they are due. A node that is behind would
 * read calls whose callers have left; it refuses the least urgent first, which costs little, until it has caught up.
 */
public final class Stall {

    /** Time between two tasks that measure, in milliseconds. */
    public static final long BEAT_MILLIS = 50;

    /** Delay from which the least urgent calls are refused, in nanoseconds: a quarter of what a caller notices. */
    private static final long SOME_NANOS = 120 * Clock.NANOS_PER_MILLI;

    /** Delay from which all calls are refused, in nanoseconds: half a second for entry and gate together. */
    private static final long ALL_NANOS = 250 * Clock.NANOS_PER_MILLI;

    private final Clock clock;
    private volatile long delayNanos;
    private volatile long beatNanos;

    /**
     * Creates a measure of a node that is not behind.
     *
     * @param clock source of time
     */
    public Stall(Clock clock) {
        this.clock = clock;
        this.beatNanos = clock.nanoTime();
    }

    /** Notes that the task that measures has run. */
    public void beat() {
        long now = clock.nanoTime();
        long late = Math.max(0, now - beatNanos - BEAT_MILLIS * Clock.NANOS_PER_MILLI);
        delayNanos = Math.max(late, delayNanos / 2);
        beatNanos = now;
    }

    /**
     * Tells whether a call is refused.
     *
     * @param serviceClass class of the call
     * @return {@code true} if the node is too far behind for it
     */
    public boolean refuses(ServiceClass serviceClass) {
        long delay = delayNanos;
        return delay >= ALL_NANOS || delay >= SOME_NANOS && serviceClass == ServiceClass.BACKGROUND;
    }
}
