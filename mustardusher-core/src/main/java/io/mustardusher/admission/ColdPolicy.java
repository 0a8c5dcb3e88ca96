package io.mustardusher.admission;

import java.util.Objects;

/**
 * How calls to a cold server are paced. A server is cold for a while after it started, and may become cold at any other
 * time; it crashes if it receives far more calls than it tolerates meanwhile.
 *
 * @param callsPerSecond    rate of calls that a cold server tolerates; 0 if servers do not become cold
 * @param durationNanos     time for which a server is cold after its start, in nanoseconds
 * @param maxCallsPerSecond maximum number of calls that a cold server may receive within any second
 */
public record ColdPolicy(double callsPerSecond, long durationNanos, double maxCallsPerSecond) {

    /** Policy for servers that do not become cold. */
    public static final ColdPolicy NONE = new ColdPolicy(0, 0, Double.POSITIVE_INFINITY);

    /** It is not known yet whether servers become cold; no calls are dispatched until it is. */
    public static final ColdPolicy UNKNOWN = new ColdPolicy(0, 0, 0);

    /** Fraction of the maximum that a gate uses, so that the rest is left to one that restarts. */
    private static final double USED_FRACTION = 0.8;

    boolean paces() {
        return callsPerSecond > 0;
    }

    /**
     * Returns the number of calls that a gate dispatches within a second to a server that may be cold.
     *
     * @return number of calls, at least 1
     */
    int maxCalls() {
        return (int) Math.max(1, maxCallsPerSecond * USED_FRACTION);
    }

    /**
     * Returns the number of calls that a gate which has just started dispatches to a server that may be cold, because
     * the previous process of the node may have dispatched {@link #maxCalls()} within the same second.
     *
     * @return number of calls, which may be 0
     */
    int maxCallsAfterStart() {
        return (int) (maxCallsPerSecond * (1 - USED_FRACTION));
    }

    // The methods that a record would have are created at run time, which takes 5% of the processor time of a start.
    @Override
    public boolean equals(Object other) {
        return other instanceof ColdPolicy policy
                && Double.compare(callsPerSecond, policy.callsPerSecond) == 0
                && durationNanos == policy.durationNanos
                && Double.compare(maxCallsPerSecond, policy.maxCallsPerSecond) == 0;
    }

    @Override
    public int hashCode() {
        return Objects.hash(callsPerSecond, durationNanos, maxCallsPerSecond);
    }
}
