package io.mustardusher.admission;

import java.util.random.RandomGenerator;

import io.mustardusher.time.Clock;

/** Time after which a caller whose call was refused is asked to return. */
public final class RetryDelay {

    /** Shortest time, in milliseconds. */
    private static final long MIN_MILLIS = 150;

    /** Longest time, in milliseconds, exclusive. */
    private static final long MAX_MILLIS = 1_500;

    /** Range of the random part, in milliseconds, so that callers who were refused together return one by one. */
    private static final int JITTER_MILLIS = 300;

    private RetryDelay() {}

    /**
     * Returns the time for one caller.
     *
     * @param roomNanos time until there is expected to be room, in nanoseconds; 0 if it is unknown
     * @param random    source of randomness
     * @return time in milliseconds, at least {@value #MIN_MILLIS} and less than {@value #MAX_MILLIS}
     */
    public static long millis(long roomNanos, RandomGenerator random) {
        long base = Math.max(MIN_MILLIS, Math.min(MAX_MILLIS - JITTER_MILLIS, roomNanos / Clock.NANOS_PER_MILLI));
        return base + random.nextInt(JITTER_MILLIS);
    }
}
