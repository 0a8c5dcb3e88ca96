package io.mustardusher.allowance;

/**
 * Tokens of one account at its coordinator, refilled in proportion to the shares that the coordinator holds. Shares
 * that it has held for the whole time that a window can see are not limited by what was granted before that time.
 */
final class AccountBucket {

    /** Tolerance for rounding errors in numbers of tokens. */
    private static final double EPSILON = 1e-9;

    private static final double MICROS_PER_SECOND = 1e6;

    private AllowanceBounds.Plan plan;

    /** Version of the configuration that the plan is for. */
    private long version;

    private double tokens;

    /** Sum of shares over time at the last refill, in seconds. */
    private double refilledAt;

    /** Tokens of the advance that were taken since the last time without an advance. */
    private double advanceTaken;

    private final GrantHistory history;

    /** Sum of the shares held for the whole time of the history. */
    private double agedShare;

    /** Time of the last update, in nanoseconds of the clock that does not count suspensions. */
    private long updatedNanos;

    AccountBucket(AllowanceBounds.Plan plan, long version, double shareSeconds, GrantHistory history) {
        this.plan = plan;
        this.version = version;
        this.refilledAt = shareSeconds;
        this.history = history;
    }

    AllowanceBounds.Plan plan() {
        return plan;
    }

    long version() {
        return version;
    }

    void setPlan(AllowanceBounds.Plan newPlan, long newVersion) {
        plan = newPlan;
        version = newVersion;
    }

    /**
     * Adds the tokens that are due, and discards those above the capacity.
     *
     * @param shareSeconds sum of shares over time until now, in seconds
     * @param share        sum of the shares held now
     */
    void refill(double shareSeconds, double share) {
        tokens += plan.refillPerSecond() * (shareSeconds - refilledAt);
        refilledAt = shareSeconds;
        tokens = Math.min(tokens, plan.capacity() * share);
    }

    /**
     * Returns the tokens that were granted longer ago than any window can see. The bucket must be refilled.
     *
     * @param aged sum of the shares held for the whole time of the history
     * @param now  current time, in nanoseconds of the clock that does not count suspensions
     */
    void restore(double aged, long now) {
        agedShare = aged;
        updatedNanos = now;
        if (tokens < plan.capacity() * aged) {
            tokens = Math.max(tokens, history.tokensLeft(plan, aged, now));
        }
    }

    /**
     * Adds the tokens of a share that no coordinator held for some time.
     *
     * @param share       the share
     * @param idleSeconds time for which it was not held, in seconds
     */
    void addIdle(double share, double idleSeconds) {
        tokens += share * refillWithin(idleSeconds);
    }

    /**
     * Returns the tokens of all shares together after some time without calls.
     *
     * @param seconds the time
     * @return number of tokens, at most the capacity
     */
    private double refillWithin(double seconds) {
        return Math.min(plan.capacity(), plan.refillPerSecond() * seconds);
    }

    /**
     * Takes tokens for calls that wait.
     *
     * @param count        maximum number of tokens
     * @param advanceShare sum of the shares of the advance that may be granted now
     * @return number of tokens taken
     */
    int take(long count, double advanceShare) {
        if (advanceShare == 0) {
            advanceTaken = 0;
        }
        int taken = (int) Math.max(0, Math.min(count, Math.floor(available(advanceShare) + EPSILON)));
        double fromTokens = Math.min(tokens, taken);
        tokens -= fromTokens;
        history.record(fromTokens, updatedNanos);
        advanceTaken += taken - fromTokens;
        return taken;
    }

    /**
     * Takes tokens for calls that are expected. They are taken only from the upper half of the bucket, because some of
     * them expire unused.
     *
     * @param count maximum number of tokens
     * @param share sum of the shares held now
     * @return number of tokens taken
     */
    int takeExtra(long count, double share) {
        double spare = tokens - plan.capacity() * share / 2;
        int taken = (int) Math.max(0, Math.min(count, Math.floor(spare)));
        tokens -= taken;
        history.record(taken, updatedNanos);
        return taken;
    }

    /**
     * Returns the time until the next token.
     *
     * @param share        sum of the shares held now
     * @param advanceShare sum of the shares of the advance that may be granted now
     * @return time in microseconds; negative if the shares are too small for a token
     */
    long microsUntilNext(double share, double advanceShare) {
        if (plan.capacity() * share < 1 || plan.refillPerSecond() <= 0) {
            return -1;
        }
        double missing = Math.max(0, 1 - available(advanceShare));
        double seconds = missing / (plan.refillPerSecond() * share);
        if (missing > 0 && plan.capacity() * agedShare >= 1) {
            seconds = Math.min(seconds, history.secondsUntilToken(plan, agedShare, updatedNanos));
        }
        return (long) Math.ceil(seconds * MICROS_PER_SECOND);
    }

    // A new bucket in place of a full one has the same number of tokens.
    boolean isFull(double share) {
        return tokens >= plan.capacity() * share && advanceTaken == 0;
    }

    private double available(double advanceShare) {
        return tokens + Math.max(0, plan.advance() * advanceShare - advanceTaken);
    }
}
