package io.mustardusher.health;

import io.mustardusher.time.Clock;

/**
 * Failure rate of one backend server as one entry sees it, and its ejection: a server that keeps failing gets no calls
 * for a while, then single trial calls, and is ejected for twice as long when a trial fails.
 */
public final class Ejection {

    /** Time in which the share of failed calls halves by itself, in nanoseconds. */
    private static final double FADE_NANOS = 1e9;

    /** Weight of the latest call in the failure rate. */
    private static final double WEIGHT = 0.2;

    /** Failure rate that ejects. */
    private static final double EJECT_RATE = 0.5;

    /** Length of the first ejection, in nanoseconds. */
    private static final long FIRST_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Most doublings of the length. */
    private static final int MAX_DOUBLINGS = 5;

    /** Smoothed share of failed calls. */
    private volatile double failureRate;

    private volatile long ratedNanos;

    /** Present phase. */
    private volatile Phase phase = Phase.IN_SERVICE;

    /** End of the ejection, in nanoseconds. */
    private volatile long untilNanos;

    /** Ejections in a row. */
    private int ejections;

    /**
     * Notes the end of a call.
     *
     * @param success whether the server answered without failing
     * @param now     present time, in nanoseconds
     */
    public synchronized void ended(boolean success, long now) {
        failureRate = failureRate(now);
        failureRate += WEIGHT * ((success ? 0 : 1) - failureRate);
        ratedNanos = now;
        if (phase == Phase.TRIAL) {
            endTrial(success, now);
        } else if (phase == Phase.IN_SERVICE && failureRate > EJECT_RATE) {
            eject(now);
        }
    }

    /**
     * Takes the server out at once, because it could not be reached.
     *
     * @param now present time, in nanoseconds
     */
    public synchronized void unreachable(long now) {
        if (phase != Phase.EJECTED || now - untilNanos >= 0) {
            eject(now);
        }
    }

    /**
     * Returns the smoothed share of failed calls, which fades without calls: a server that is left alone after a
     * failure would never show that it has recovered.
     *
     * @param now present time, in nanoseconds
     * @return share between 0 and 1
     */
    public double failureRate(long now) {
        double rate = failureRate;
        return rate == 0 ? 0 : rate * Math.pow(0.5, (now - ratedNanos) / FADE_NANOS);
    }

    /**
     * Tells whether the server gets no calls.
     *
     * @param now present time, in nanoseconds
     * @return {@code true} during the ejection
     */
    public boolean isEjected(long now) {
        return phase == Phase.EJECTED && now - untilNanos < 0;
    }

    /**
     * Tells whether the server gets single trial calls only.
     *
     * @param now present time, in nanoseconds
     * @return {@code true} after an ejection until a trial succeeds
     */
    public boolean isOnTrial(long now) {
        return phase == Phase.TRIAL || phase == Phase.EJECTED && now - untilNanos >= 0;
    }

    /** Notes that a trial call is sent. */
    public synchronized void trialSent() {
        if (phase == Phase.EJECTED) {
            phase = Phase.TRIAL;
        }
    }

    /**
     * Ends a trial.
     *
     * @param success whether the trial succeeded
     * @param now     present time, in nanoseconds
     */
    private void endTrial(boolean success, long now) {
        if (!success) {
            eject(now);
            return;
        }
        phase = Phase.IN_SERVICE;
        failureRate = 0;
        ejections = 0;
    }

    /**
     * Ejects the server.
     *
     * @param now present time, in nanoseconds
     */
    private void eject(long now) {
        untilNanos = now + (FIRST_NANOS << Math.min(MAX_DOUBLINGS, ejections));
        ejections++;
        phase = Phase.EJECTED;
    }

    /** Phase of a server. */
    private enum Phase {
        /** Gets calls. */
        IN_SERVICE,

        /** Gets no calls until the ejection ends. */
        EJECTED,

        /** A trial call is under way. */
        TRIAL
    }
}
