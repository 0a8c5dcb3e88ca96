package io.mustardusher.allowance;

import io.mustardusher.time.Clock;

/**
 * Times of the delegation of shares. The interval grows with the number of nodes, so that a coordinator receives at
 * most 200 delegations of a group per second.
 *
 * @param intervalNanos time between two messages that renew a delegation, in nanoseconds
 */
record DelegationTiming(long intervalNanos) {

    /** Interval of small deployments, in nanoseconds. */
    static final long MIN_INTERVAL_NANOS = 400 * Clock.NANOS_PER_MILLI;

    /** Longest time for which a coordinator accepts a delegation, in nanoseconds. */
    static final long MAX_VALIDITY_NANOS = 30_000 * Clock.NANOS_PER_MILLI;

    private static final long INTERVAL_NANOS_PER_MEMBER = 5 * Clock.NANOS_PER_MILLI;

    /** Intervals for which a delegation is valid. The stamp that it counts from is up to one interval old when sent. */
    private static final int INTERVALS_VALID = 3;

    static DelegationTiming forMembers(long members) {
        return new DelegationTiming(Math.max(MIN_INTERVAL_NANOS, INTERVAL_NANOS_PER_MEMBER * members));
    }

    /**
     * Returns the time for which a delegation is valid.
     *
     * @return time since the coordinator gave the stamp, in nanoseconds
     */
    long validityNanos() {
        return Math.min(MAX_VALIDITY_NANOS, INTERVALS_VALID * intervalNanos);
    }
}
