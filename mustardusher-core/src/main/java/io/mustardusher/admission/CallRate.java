package io.mustardusher.admission;

import io.mustardusher.budget.TokenBucket;
import io.mustardusher.time.Clock;

/** Paces calls to a server that accepts a maximum rate of them or is cold. Not thread-safe. */
final class CallRate {

    /** Time whose calls may be dispatched at once after a pause, in seconds. */
    private static final double BURST_SECONDS = 0.25;

    private static final double NANOS_PER_SECOND = 1e9;

    private final TokenBucket tokens;

    private final ColdServerRate cold;

    private double maxPerSecond = Double.POSITIVE_INFINITY;

    CallRate(Clock clock) {
        tokens = new TokenBucket(clock, 0, 0);
        cold = new ColdServerRate(clock);
    }

    /**
     * Sets the maximum rate.
     *
     * @param perSecond calls per second; infinite for no limit
     */
    void limit(double perSecond) {
        maxPerSecond = perSecond;
        if (isLimited()) {
            tokens.resize(perSecond, Math.max(1, perSecond * BURST_SECONDS));
        }
    }

    /**
     * Returns the pacing of calls to a cold server.
     *
     * @return the rate for a cold server
     */
    ColdServerRate cold() {
        return cold;
    }

    boolean isLimited() {
        return maxPerSecond < Double.POSITIVE_INFINITY;
    }

    /**
     * Returns the time until a call may be dispatched.
     *
     * @param ahead number of calls to be dispatched before it
     * @return time in nanoseconds; 0 if it may be dispatched now
     */
    double delayNanos(int ahead) {
        return Math.max(isLimited() ? tokens.nanosUntil(ahead + 1.0) : 0, cold.delayNanos(ahead));
    }

    /** Records that a call is dispatched, which has to be permitted now. */
    void recordDispatch() {
        if (isLimited()) {
            tokens.tryTake();
        }
        cold.recordDispatch();
    }

    /**
     * Returns the number of calls that run concurrently on average at the maximum rate.
     *
     * @param serviceNanos service time of a call, in nanoseconds
     * @return number of calls, at least 1
     */
    int concurrency(double serviceNanos) {
        double calls = Math.ceil(maxPerSecond * serviceNanos / NANOS_PER_SECOND);
        return Math.min(isLimited() ? (int) Math.max(1, calls) : Integer.MAX_VALUE, cold.concurrency(serviceNanos));
    }
}
