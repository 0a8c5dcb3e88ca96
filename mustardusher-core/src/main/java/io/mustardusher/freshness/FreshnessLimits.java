package io.mustardusher.freshness;

import io.mustardusher.time.Clock;

/**
 * Intervals that keep the age of a configuration below the bound within which a revoked key has to be refused. They
 * are shortened in proportion for a bound below {@value #USUAL_BOUND_MILLIS} ms.
 *
 * @param validityNanos       age up to which keys are accepted, in nanoseconds
 * @param readIntervalNanos   time between two reads of the table service by a reader, in nanoseconds
 * @param askIntervalNanos    time between two requests of other members to a reader, in nanoseconds
 * @param ownReadAgeNanos     age from which a member that is no reader reads the table service itself, in nanoseconds
 * @param ownReadJitterNanos  maximum of the random time added to that age, so that the members do not read all at once,
 *                            in nanoseconds
 * @param minBackoffNanos     backoff after the first failed read, before jitter, in nanoseconds
 * @param maxBackoffNanos     maximum backoff, before jitter, in nanoseconds
 */
public record FreshnessLimits(
        long validityNanos,
        long readIntervalNanos,
        long askIntervalNanos,
        long ownReadAgeNanos,
        long ownReadJitterNanos,
        long minBackoffNanos,
        long maxBackoffNanos) {

    private static final long USUAL_BOUND_MILLIS = 5_000;

    /**
     * Part of the bound that is reserved, in milliseconds, for what an age does not contain: jumps of the wall clock
     * below the tolerance and the rounding of ages.
     */
    private static final long RESERVE_MILLIS = 300;

    /**
     * Returns the limits for a bound.
     *
     * @param boundNanos time after its removal from the configuration from which a key must be refused, in nanoseconds
     * @return the limits
     */
    public static FreshnessLimits of(long boundNanos) {
        double scale = Math.min(1, (double) boundNanos / (USUAL_BOUND_MILLIS * Clock.NANOS_PER_MILLI));
        return new FreshnessLimits(
                boundNanos - scaled(RESERVE_MILLIS, scale),
                scaled(1_200, scale),
                scaled(1_000, scale),
                scaled(2_800, scale),
                scaled(600, scale),
                scaled(200, scale),
                scaled(2_000, scale));
    }

    private static long scaled(long millis, double scale) {
        return (long) (millis * Clock.NANOS_PER_MILLI * scale);
    }
}
