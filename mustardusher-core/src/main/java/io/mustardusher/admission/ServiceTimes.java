package io.mustardusher.admission;

import java.util.HashMap;
import java.util.Map;

import io.mustardusher.time.Clock;

/**
 * Expected service times by kind of call, increased while the server reports that it is slow. Not thread-safe.
 */
final class ServiceTimes {

    /** Weight of a new sample in the exponentially smoothed service time. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Processing time from which a server counts as slow, as a percentage of the normal processing time. */
    private static final int SLOW_THRESHOLD_PERCENT = 150;

    /** Age from which a slowness report is ignored, in nanoseconds; noisy neighbours are active for 150 ms. */
    private static final long SLOWNESS_EXPIRY_NANOS = 100 * Clock.NANOS_PER_MILLI;

    /** Age from which a slowness report is to be refreshed, in nanoseconds. */
    private static final long SLOWNESS_REFRESH_NANOS = 40 * Clock.NANOS_PER_MILLI;

    /** Length of a slow spell that is assumed before the first one has ended, in nanoseconds. */
    private static final double INITIAL_SPELL_NANOS = 150.0 * Clock.NANOS_PER_MILLI;

    /** Number of average spells after which a server counts as slow for good, so that no call waits for it. */
    private static final double MAX_SPELLS = 4;

    private static final double BASELINE_PERCENT = 100;

    private final Map<String, Double> baselines = new HashMap<>();
    private double smoothedNanos;
    private double slownessPercent = BASELINE_PERCENT;
    private long slownessUpdatedNanos = Long.MIN_VALUE / 2;

    /** Start of the current or latest slow spell. */
    private long slowSinceNanos;

    private double averageSpellNanos = INITIAL_SPELL_NANOS;

    /**
     * Records the slowness that the server reports.
     *
     * @param percent current processing time as a percentage of the normal processing time
     * @param now     current time, in nanoseconds
     */
    void updateSlowness(int percent, long now) {
        boolean wasSlow = slownessPercent >= SLOW_THRESHOLD_PERCENT;
        boolean slow = percent >= SLOW_THRESHOLD_PERCENT;
        if (slow && !wasSlow) {
            slowSinceNanos = now;
        } else if (wasSlow && !slow) {
            averageSpellNanos += SMOOTHING_FACTOR * (now - slowSinceNanos - averageSpellNanos);
        }
        slownessPercent = percent;
        slownessUpdatedNanos = now;
    }

    /**
     * Returns whether the server is slow according to a report that has not expired.
     *
     * @param now current time, in nanoseconds
     * @return {@code true} if it is
     */
    boolean isSlow(long now) {
        return slownessPercent >= SLOW_THRESHOLD_PERCENT && now - slownessUpdatedNanos < SLOWNESS_EXPIRY_NANOS;
    }

    /**
     * Returns whether the last slowness report is due for a refresh.
     *
     * @param now current time, in nanoseconds
     * @return {@code true} if it is
     */
    boolean isSlownessStale(long now) {
        return now - slownessUpdatedNanos >= SLOWNESS_REFRESH_NANOS;
    }

    /**
     * Records the service time of a call. Calls on a slow server do not change the baseline of a kind that has one.
     *
     * @param kind  kind of call
     * @param nanos service time, in nanoseconds
     * @param slow  whether the server was slow when the call was dispatched
     */
    void recordServiceTime(String kind, double nanos, boolean slow) {
        smoothedNanos = smoothedNanos == 0 ? nanos : smoothedNanos + SMOOTHING_FACTOR * (nanos - smoothedNanos);
        if (!slow || !baselines.containsKey(kind)) {
            baselines.merge(kind, nanos, (previous, took) -> previous + SMOOTHING_FACTOR * (took - previous));
        }
    }

    /** Discards the smoothed service time of all calls, because it is out of date. */
    void forgetSmoothed() {
        smoothedNanos = 0;
    }

    /**
     * Returns the smoothed service time of all calls.
     *
     * @return time in nanoseconds; 0 before the first answer
     */
    double smoothedNanos() {
        return smoothedNanos;
    }

    /**
     * Returns for how long a call may be deferred while the server is slow: at most the time that it would lose by
     * starting immediately, or until the end of the spell if that is unknown. No call waits for a server that has been
     * slow for much longer than usual.
     *
     * @param kind kind of call
     * @param now  current time, in nanoseconds
     * @return time in nanoseconds
     */
    long maxDeferralNanos(String kind, long now) {
        double longestSpellNanos = MAX_SPELLS * averageSpellNanos;
        if (now - slowSinceNanos > longestSpellNanos) {
            return 0;
        }
        double baseline = baselineNanos(kind);
        return (long) (baseline == 0 ? longestSpellNanos : expectedNanos(kind, now) - baseline);
    }

    /**
     * Returns the expected time to the completion of a call that is deferred while the server is slow and then started.
     *
     * @param kind kind of call
     * @param now  current time, in nanoseconds
     * @return time in nanoseconds; 0 before the first answer
     */
    double completionNanos(String kind, long now) {
        boolean deferred = isSlow(now) && maxDeferralNanos(kind, now) > 0;
        double expected = expectedNanos(kind, now);
        return deferred ? Math.min(expected, averageSpellNanos + baselineNanos(kind)) : expected;
    }

    /**
     * Returns the smoothed service time of calls of a kind on a server that is not slow.
     *
     * @param kind kind of call
     * @return time in nanoseconds; 0 before the first answer
     */
    double baselineNanos(String kind) {
        return baselines.getOrDefault(kind, 0.0);
    }

    /**
     * Returns the expected service time of a call that starts now.
     *
     * @param kind kind of call
     * @param now  current time, in nanoseconds
     * @return time in nanoseconds; 0 before the first answer
     */
    double expectedNanos(String kind, long now) {
        double baseline = baselineNanos(kind);
        return isSlow(now) ? baseline * slownessPercent / BASELINE_PERCENT : baseline;
    }
}
