package io.mustardusher.allowance;

import io.mustardusher.time.Clock;

/**
 * Bound on the requests of an account over all nodes: in any window of the given length at most (rate x window + burst)
 * x (1 + overage) + slack of them are admitted.
 *
 * @param windowNanos length of the window, in nanoseconds
 * @param overage     fraction by which the bound exceeds the limit
 * @param slack       requests by which the bound exceeds the limit in addition
 */
public record AllowanceBounds(long windowNanos, double overage, double slack) {

    /** Bounds without settings: a window of five seconds and no overage. */
    public static final AllowanceBounds DEFAULT = new AllowanceBounds(5_000 * Clock.NANOS_PER_MILLI, 0, 0);

    /**
     * Time after which a token is discarded, in nanoseconds. It counts from the moment at which the entry asked for it,
     * which is before the grant, so that a slow reply cannot extend it.
     */
    public static final long TOKEN_LIFETIME_NANOS = 200 * Clock.NANOS_PER_MILLI;

    /**
     * Lowest refill rate as a fraction of the limit. If the bound has no room beyond the limit, a slightly lower rate
     * makes room for a bucket that holds more than one token.
     */
    private static final double MIN_REFILL = 0.97;

    /**
     * Lowest refill rate as a fraction of the limit if the bound has room. The limit itself is the refill of an account
     * whose capacity is ample nevertheless. Less refill leaves more capacity, with which a
     * caller whose load rises reaches its limit in the window; a coordinator that has held shares for a window admits
     * the limit in each window, whatever the refill. Accounts use 0.6 of their limit, also after the loss of a
     * coordinator, when the refill alone counts.
     */
    private static final double REFILL = 0.72;

    /**
     * Part of the bound above the limit that is the advance where the capacity is small. More of it puts the limit out
     * of reach of a caller that keeps sending.
     */
    private static final double ADVANCE_PART = 0.2;

    /** Largest part of the bound above the limit that is the advance. */
    private static final double MAX_ADVANCE_PART = 0.35;

    /**
     * Time of calls that the advance covers, in seconds: twice the longest time for which no coordinator has the
     * shares, because the calls of accounts with a small limit vary much.
     */
    private static final double ADVANCE_SECONDS = 2.4;

    /** Capacity with which an account that uses 0.63 of its rate reaches a burst of one second, in seconds. */
    private static final double AMPLE_CAPACITY_SECONDS = 3.2;

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Divides the bound on an account. A window may see the tokens that were granted within it or up to their lifetime
     * before it: a full bucket, the refill over both times, and the advance.
     *
     * @param ratePerSecond limit of the account, in requests per second
     * @param burst         requests that may be served in addition
     * @return refill rate, capacity and advance for the sum of all shares
     */
    Plan plan(double ratePerSecond, double burst) {
        double limit = ratePerSecond * windowNanos / NANOS_PER_SECOND + burst;
        double bound = limit * (1 + overage) + slack;
        double seconds = grantWindowNanos() / NANOS_PER_SECOND;
        double wanted = Math.max(1, burst);
        if (bound - ratePerSecond * seconds >= wanted) {
            double excess = bound - limit;
            double ampleCapacity = AMPLE_CAPACITY_SECONDS * ratePerSecond;
            double spareRefill = (bound - ampleCapacity - MAX_ADVANCE_PART * excess) / seconds;
            double refill = Math.min(ratePerSecond, Math.max(REFILL * ratePerSecond, spareRefill));
            double divided = bound - refill * seconds;
            double ample = Math.min(divided - ampleCapacity, MAX_ADVANCE_PART * excess);
            double advance = Math.min(ADVANCE_SECONDS * ratePerSecond, Math.max(ample, ADVANCE_PART * excess));
            return new Plan(refill, divided - advance, advance);
        }
        double spareAtLeast = bound - MIN_REFILL * ratePerSecond * seconds;
        double capacity = Math.min(bound, Math.max(1, Math.min(wanted, spareAtLeast)));
        return new Plan(Math.min(ratePerSecond, (bound - capacity) / seconds), capacity, 0);
    }

    /**
     * Returns the time within which tokens that are used in one window can have been granted.
     *
     * @return time in nanoseconds
     */
    long grantWindowNanos() {
        return windowNanos + TOKEN_LIFETIME_NANOS;
    }

    /**
     * How the bound on an account is used. All values are for the sum of all shares; a coordinator uses the part that
     * corresponds to the shares that it holds.
     *
     * @param refillPerSecond tokens by which the bucket is refilled per second
     * @param capacity        maximum number of tokens in the bucket
     * @param advance         tokens that may be granted while shares move from one coordinator to another
     */
    record Plan(double refillPerSecond, double capacity, double advance) {}
}
