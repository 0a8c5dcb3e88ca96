package io.mustardusher.admission;

import java.util.random.RandomGenerator;

import io.mustardusher.time.Clock;

/** Time after which a caller whose call was refused is asked to return. */
public final class RetryDelay {

    /** Shortest time if there is room already or nothing is known, in milliseconds. */
    public static final long DEFAULT_MILLIS = 150;

    /**
     * Shortest time after a refusal by a server with free slots, in milliseconds. Such refusals do not depend on the
     * load, so the caller has the same chance at once, and a later answer would miss its target.
     */
    public static final long IMMEDIATE_MILLIS = 20;

    /** Longest time, in milliseconds, exclusive. */
    private static final long MAX_MILLIS = 1_500;

    /** Longest random part, in milliseconds, so that callers who were refused together return one by one. */
    private static final long MAX_JITTER_MILLIS = 300;

    /** Longest random part as a multiple of the shortest time. */
    private static final long JITTER_FACTOR = 2;

    private RetryDelay() {}

    /**
     * Returns the shortest time after a refusal for lack of room.
     *
     * @param roomNanos time until there is expected to be room, in nanoseconds
     * @return time in milliseconds, at least {@value #DEFAULT_MILLIS}
     */
    public static long untilRoom(long roomNanos) {
        long millis = Math.max(DEFAULT_MILLIS, roomNanos / Clock.NANOS_PER_MILLI);
        return Math.min(MAX_MILLIS - MAX_JITTER_MILLIS, millis);
    }

    /**
     * Returns the time for one caller.
     *
     * @param shortestMillis shortest time, in milliseconds
     * @param random         source of randomness
     * @return time in milliseconds
     */
    public static long withJitter(long shortestMillis, RandomGenerator random) {
        return shortestMillis + random.nextLong(Math.min(MAX_JITTER_MILLIS, JITTER_FACTOR * shortestMillis));
    }
}
