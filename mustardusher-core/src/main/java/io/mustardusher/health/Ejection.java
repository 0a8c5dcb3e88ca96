package io.mustardusher.health;

import io.mustardusher.time.Clock;

/**
 * Outlier ejection of one backend server, based on the failure rate that one entry observes. A server whose failure
 * rate exceeds a threshold receives no calls for some time and then single trial calls. If a trial fails, the server is
 * ejected again for twice as long.
 */
public final class Ejection {

    /** Time in which the failure rate halves when no calls are made, in nanoseconds. */
    private static final double FAILURE_RATE_HALF_LIFE_NANOS = 1e9;

    /** Weight of a new call in the exponentially smoothed failure rate. */
    private static final double SMOOTHING_FACTOR = 0.2;

    /** Failure rate above which a server is ejected. */
    private static final double EJECTION_THRESHOLD = 0.5;

    /** Duration of the first ejection, in nanoseconds. */
    private static final long BASE_EJECTION_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Maximum number of times that the duration is doubled. */
    private static final int MAX_DOUBLINGS = 5;

    /** Smoothed fraction of failed calls as of {@link #failureRateUpdatedNanos}. */
    private volatile double failureRate;

    private volatile long failureRateUpdatedNanos;

    private volatile Phase phase = Phase.IN_SERVICE;

    /** End of the last ejection, in nanoseconds. */
    private volatile long ejectedUntilNanos;

    /** Ejections since the last successful trial. */
    private int consecutiveEjections;

    /**
     * Records the result of a call, and ejects the server if a trial failed or the failure rate exceeds its threshold.
     *
     * @param success whether the server answered without a failure
     * @param now     current time, in nanoseconds
     */
    public synchronized void recordCall(boolean success, long now) {
        failureRate = failureRate(now);
        failureRate += SMOOTHING_FACTOR * ((success ? 0 : 1) - failureRate);
        failureRateUpdatedNanos = now;
        if (phase == Phase.TRIAL) {
            endTrial(success, now);
        } else if (phase == Phase.IN_SERVICE && failureRate > EJECTION_THRESHOLD) {
            eject(now);
        }
    }

    /**
     * Ejects the server immediately because it could not be reached; does not extend an ejection that is in force.
     *
     * @param now current time, in nanoseconds
     */
    public synchronized void recordUnreachable(long now) {
        if (phase != Phase.EJECTED || now - ejectedUntilNanos >= 0) {
            eject(now);
        }
    }

    /**
     * Returns the smoothed fraction of failed calls. It decays while no calls are made, as a server that is avoided
     * because of a failure would otherwise have no opportunity to show that it has recovered.
     *
     * @param now current time, in nanoseconds
     * @return fraction between 0 and 1
     */
    public double failureRate(long now) {
        double rate = failureRate;
        return rate == 0 ? 0 : rate * Math.pow(0.5, (now - failureRateUpdatedNanos) / FAILURE_RATE_HALF_LIFE_NANOS);
    }

    /**
     * Returns whether the server is ejected and receives no calls.
     *
     * @param now current time, in nanoseconds
     * @return {@code true} during the ejection
     */
    public boolean isEjected(long now) {
        return phase == Phase.EJECTED && now - ejectedUntilNanos < 0;
    }

    /**
     * Returns whether the server receives only single trial calls.
     *
     * @param now current time, in nanoseconds
     * @return {@code true} after an ejection until a trial succeeds
     */
    public boolean requiresTrial(long now) {
        return phase == Phase.TRIAL || phase == Phase.EJECTED && now - ejectedUntilNanos >= 0;
    }

    /** Records that a trial call is sent. */
    public synchronized void startTrial() {
        if (phase == Phase.EJECTED) {
            phase = Phase.TRIAL;
        }
    }

    /**
     * Returns the server to service after a successful trial, or ejects it again.
     *
     * @param success whether the trial succeeded
     * @param now     current time, in nanoseconds
     */
    private void endTrial(boolean success, long now) {
        if (!success) {
            eject(now);
            return;
        }
        phase = Phase.IN_SERVICE;
        failureRate = 0;
        consecutiveEjections = 0;
    }

    private void eject(long now) {
        ejectedUntilNanos = now + (BASE_EJECTION_NANOS << Math.min(MAX_DOUBLINGS, consecutiveEjections));
        consecutiveEjections++;
        phase = Phase.EJECTED;
    }

    /** Phase of a server. */
    private enum Phase {
        /** Receives calls. */
        IN_SERVICE,

        /** Receives no calls until the ejection ends, and then a trial call. */
        EJECTED,

        /** A trial call is in flight. */
        TRIAL
    }
}
