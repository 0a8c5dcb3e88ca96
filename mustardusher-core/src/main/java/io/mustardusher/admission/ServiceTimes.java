package io.mustardusher.admission;

import java.util.HashMap;
import java.util.Map;

import io.mustardusher.time.Clock;

/**
 * Expected service times by kind of call, and how much longer they are while the server says that it is slow. Not safe for
 * threads.
 */
final class ServiceTimes {

    /** Weight of a new service time in the smoothed one. */
    private static final double WEIGHT = 0.1;

    /** Slowness above which a server counts as slow, as a percentage of its usual speed. */
    private static final int SLOW_PERCENT = 150;

    /** Time for which a server's word on its slowness is believed, in nanoseconds; neighbours come and go in 150 ms. */
    private static final long BELIEVED_NANOS = 100 * Clock.NANOS_PER_MILLI;

    /** Factor assumed of a slow server before one was measured. */
    private static final double INITIAL_SLOW_FACTOR = 3;

    private static final double USUAL_PERCENT = 100;

    private final Map<String, Double> usual = new HashMap<>();
    private double overall;
    private double slowFactor = INITIAL_SLOW_FACTOR;
    private int slownessPercent = (int) USUAL_PERCENT;
    private long saidNanos;

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
     * Learns from a call.
     *
     * @param kind  its kind
     * @param nanos its service time, in nanoseconds
     * @param slow  whether the server was slow on dispatch
     */
    void ended(String kind, double nanos, boolean slow) {
        overall = overall == 0 ? nanos : overall + WEIGHT * (nanos - overall);
        Double known = usual.get(kind);
        if (!slow || known == null) {
            usual.merge(kind, nanos, (before, took) -> before + WEIGHT * (took - before));
        } else {
            slowFactor += WEIGHT * (Math.max(1, nanos / known) - slowFactor);
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
     * Returns the expected service time of a call.
     *
     * @param kind its kind
     * @param now  present time, in nanoseconds
     * @return time in nanoseconds; 0 before the first answer
     */
    double expected(String kind, long now) {
        double known = usual.getOrDefault(kind, 0.0);
        return isSlow(now) ? known * slowFactor : known;
    }
}
