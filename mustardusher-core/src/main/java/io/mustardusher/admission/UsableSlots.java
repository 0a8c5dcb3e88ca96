package io.mustardusher.admission;

import java.util.HashMap;
import java.util.Map;

import io.mustardusher.time.Clock;

/**
 * Determines how many slots of a server are worth using. Some servers take longer for each call when they are nearly
 * full. Whether a server does is learned by comparing calls that were dispatched to it when it was nearly full with
 * other calls of the same kind. Not thread-safe.
 */
final class UsableSlots {

    /**
     * Ratio of service times above which a nearly full server is not filled further. Beyond 1.25, the last fifth of the
     * slots adds no throughput.
     */
    private static final double MAX_SLOWDOWN = 1.2;

    /** Ratio of service times above which a few calls suffice to show that the server slows down. */
    private static final double CLEAR_SLOWDOWN = 1.35;

    /** Number of calls that a decision is based on. */
    private static final int MIN_SAMPLES = 16;

    /** Number of calls that a decision is based on if the slowdown is clear. */
    private static final int MIN_CLEAR_SAMPLES = 6;

    /** Number of calls after which a further slot is tried, so that a server that slows down slows only few calls. */
    private static final int SAMPLES_PER_TRIAL_SLOT = 8;

    /** Number of calls over which the slowdown is averaged. */
    private static final int MAX_SAMPLES = 64;

    /** Number of calls of a kind from which their service time serves for comparison. */
    private static final int MIN_SAMPLES_OF_KIND = 4;

    /** Time after which a server that slowed down is tried again, in nanoseconds; it doubles with each failure. */
    private static final long MIN_RETRY_NANOS = 20_000 * Clock.NANOS_PER_MILLI;

    private static final long MAX_RETRY_NANOS = 8 * MIN_RETRY_NANOS;

    /** Fraction of the slots up to which no server is expected to slow down. */
    private final double safeFraction;

    private final Map<String, Average> serviceTimes = new HashMap<>();

    private int announced = 1;

    private int safeSamples;

    /** Average logarithm of the slowdown of calls that were dispatched to the nearly full server. */
    private final Average slowdown = new Average();

    private long restrictedUntilNanos = Long.MIN_VALUE / 2;

    private long retryNanos = MIN_RETRY_NANOS;

    UsableSlots(double safeFraction) {
        this.safeFraction = safeFraction;
    }

    /**
     * Sets the number of slots that the server announced. A server that announces another number is learned anew.
     *
     * @param slots number of slots
     */
    void resize(int slots) {
        if (slots == announced) {
            return;
        }
        announced = slots;
        serviceTimes.clear();
        safeSamples = 0;
        slowdown.reset();
        restrictedUntilNanos = Long.MIN_VALUE / 2;
        retryNanos = MIN_RETRY_NANOS;
    }

    /**
     * Returns the number of slots to use.
     *
     * @param now current time, in nanoseconds
     * @return number of calls that may be dispatched concurrently, at least 1
     */
    int count(long now) {
        if (safeSamples < MIN_SAMPLES || now - restrictedUntilNanos < 0) {
            return safeCount();
        }
        if (slowdown.count >= MIN_SAMPLES) {
            return announced;
        }
        return Math.min(announced, safeCount() + 1 + slowdown.count / SAMPLES_PER_TRIAL_SLOT);
    }

    /**
     * Returns whether a server with a number of running calls is nearly full.
     *
     * @param running number of calls
     * @return {@code true} if some servers slow down with so many calls
     */
    boolean isNearlyFull(int running) {
        return running > safeCount();
    }

    /**
     * Records the service time of an answered call.
     *
     * @param kind       kind of call
     * @param nanos      service time, in nanoseconds
     * @param nearlyFull whether the server was nearly full when the call was dispatched
     * @param now        current time, in nanoseconds
     */
    void recordServiceTime(String kind, double nanos, boolean nearlyFull, long now) {
        double sample = Math.log(Math.max(1, nanos));
        Average usual = serviceTimes.computeIfAbsent(kind, name -> new Average());
        if (!nearlyFull) {
            usual.add(sample);
            safeSamples = Math.min(MIN_SAMPLES, safeSamples + 1);
            return;
        }
        if (usual.count < MIN_SAMPLES_OF_KIND || now - restrictedUntilNanos < 0) {
            return;
        }
        slowdown.add(sample - usual.mean);
        if (isSlowedDown()) {
            slowdown.reset();
            restrictedUntilNanos = now + retryNanos;
            retryNanos = Math.min(MAX_RETRY_NANOS, 2 * retryNanos);
        } else if (slowdown.count == MAX_SAMPLES) {
            retryNanos = MIN_RETRY_NANOS;
        }
    }

    private boolean isSlowedDown() {
        return slowdown.count >= MIN_SAMPLES && slowdown.mean > Math.log(MAX_SLOWDOWN)
                || slowdown.count >= MIN_CLEAR_SAMPLES && slowdown.mean > Math.log(CLEAR_SLOWDOWN);
    }

    private int safeCount() {
        return Math.max(1, (int) (announced * safeFraction));
    }

    /** Average of the first {@value #MAX_SAMPLES} samples, and an exponentially smoothed one from then on. */
    private static final class Average {

        private int count;
        private double mean;

        void add(double sample) {
            count = Math.min(MAX_SAMPLES, count + 1);
            mean += (sample - mean) / count;
        }

        void reset() {
            count = 0;
            mean = 0;
        }
    }
}
