package io.mustardusher.admission;

import java.util.HashMap;
import java.util.Map;

import io.mustardusher.time.Clock;

/**
 * Expected service times by kind of call, longer while the server says that it is slow. Not safe for threads.
 */
final class ServiceTimes {

    /** Weight of a new service time in the smoothed one. */
    private static final double WEIGHT = 0.1;

    /** Slowness above which a server counts as slow, as a percentage of its usual speed. */
    private static final int SLOW_PERCENT = 150;

    /** Time for which a server's word on its slowness is believed, in nanoseconds; neighbours come and go in 150 ms. */
    private static final long BELIEVED_NANOS = 100 * Clock.NANOS_PER_MILLI;

    /**
     * Age from which a server's word is better asked for anew, in nanoseconds: a quarter of the time of a neighbour.
     */
    private static final long STALE_NANOS = 40 * Clock.NANOS_PER_MILLI;

    /** Factor by which a call takes longer that begins while its server is slow. */
    private static final double SLOW_FACTOR = 5;

    /** Longest wait for a slow server to be itself again, in nanoseconds: the time that a neighbour stays. */
    private static final long MAX_HOLD_NANOS = 150 * Clock.NANOS_PER_MILLI;

    private static final int USUAL_PERCENT = 100;

    private final Map<String, Double> usual = new HashMap<>();
    private double overall;
    private int slownessPercent = USUAL_PERCENT;
    private long saidNanos = Long.MIN_VALUE / 2;

    /**
     * Takes over how slow the server says it is.
     *
     * @param percent time that work takes, as a percentage of the usual time
     * @param now     present time, in nanoseconds
     */
    void said(int percent, long now) {
        slownessPercent = percent;
        saidNanos = now;
    }

    /**
     * Tells whether the server is believed to be slow.
     *
     * @param now present time, in nanoseconds
     * @return {@code true} if it is
     */
    boolean isSlow(long now) {
        return slownessPercent >= SLOW_PERCENT && now - saidNanos < BELIEVED_NANOS;
    }

    /**
     * Tells whether the server's word is too old to choose by.
     *
     * @param now present time, in nanoseconds
     * @return {@code true} if it is
     */
    boolean isStale(long now) {
        return now - saidNanos >= STALE_NANOS;
    }

    /**
     * Learns from a call.
     *
     * @param kind  its kind
     * @param nanos its service time, in nanoseconds
     * @param slow  whether the server was slow on dispatch
     */
    void ended(String kind, double nanos, boolean slow) {
        overall = overall == 0 ? nanos : overall + WEIGHT * (nanos - overall);
        if (!slow || !usual.containsKey(kind)) {
            usual.merge(kind, nanos, (before, took) -> before + WEIGHT * (took - before));
        }
    }

    /**
     * Returns the smoothed service time of all calls.
     *
     * @return time in nanoseconds; 0 before the first answer
     */
    double overall() {
        return overall;
    }

    /**
     * Returns how long a call may well wait for a slow server: as long as it would lose by beginning at once.
     *
     * @param kind its kind
     * @return time in nanoseconds
     */
    long holdNanos(String kind) {
        return (long) Math.min(MAX_HOLD_NANOS, usual(kind) * (SLOW_FACTOR - 1));
    }

    /**
     * Returns the service time of a call on a server that is not slow.
     *
     * @param kind its kind
     * @return time in nanoseconds; 0 before the first answer
     */
    double usual(String kind) {
        return usual.getOrDefault(kind, 0.0);
    }

    /**
     * Returns the expected service time of a call.
     *
     * @param kind its kind
     * @param now  present time, in nanoseconds
     * @return time in nanoseconds; 0 before the first answer
     */
    double expected(String kind, long now) {
        double known = usual(kind);
        return isSlow(now) ? known * SLOW_FACTOR : known;
    }
}
