package io.mustardusher.health;

import io.mustardusher.time.Clock;

/**
 * Finds out whether a connection carries no more bytes, from when requests were sent on it and when bytes arrived. A
 * request that was given up still counts as unanswered, so that short time limits do not hide the silence. While
 * nothing is unanswered there is nothing to check. Not thread-safe.
 */
public final class ConnectionSilence {

    /** Time without a byte after which the other side is pinged, in nanoseconds. */
    public static final long PING_AFTER_NANOS = 200 * Clock.NANOS_PER_MILLI;

    /** Shortest time without a byte after the ping until the connection is silent, in nanoseconds. */
    public static final long MIN_PATIENCE_NANOS = 100 * Clock.NANOS_PER_MILLI;

    /** Longest time without a byte after the ping until the connection is silent, in nanoseconds. */
    public static final long MAX_PATIENCE_NANOS = 400 * Clock.NANOS_PER_MILLI;

    /** Size from which the transmission time of a request counts, in bytes. */
    private static final long LARGE_REQUEST_BYTES = 16 << 10;

    /** Rate at which a large request is assumed to be sent on a slow link that it shares, in bytes per millisecond. */
    private static final long MIN_BYTES_PER_MILLI = 400;

    /** Longest time that is allowed for the transmission of large requests, in nanoseconds. */
    private static final long MAX_TRANSMISSION_NANOS = 1_500 * Clock.NANOS_PER_MILLI;

    private static final long NEVER = Long.MIN_VALUE;

    /** Time since which a request is unanswered and no byte has arrived, in nanoseconds; {@link #NEVER} if none is. */
    private long unansweredSinceNanos = NEVER;

    /** Time at which the ping was sent after that, in nanoseconds; {@link #NEVER} if it was not. */
    private long pingedNanos = NEVER;

    /** Time allowed for the transmission of large requests, in nanoseconds. */
    private long transmissionNanos;

    /**
     * Records that a request was sent.
     *
     * @param now current time, in nanoseconds
     */
    public void recordRequest(long now) {
        if (unansweredSinceNanos == NEVER) {
            unansweredSinceNanos = now;
        }
    }

    /**
     * Records the size of a frame that was sent. Only large ones count, so that many small requests in a row do not
     * defer the discovery of the silence that swallows them.
     *
     * @param bytes size of the frame, in bytes
     */
    public void recordSent(long bytes) {
        if (bytes >= LARGE_REQUEST_BYTES) {
            long nanos = bytes / MIN_BYTES_PER_MILLI * Clock.NANOS_PER_MILLI;
            transmissionNanos = Math.min(MAX_TRANSMISSION_NANOS, transmissionNanos + nanos);
        }
    }

    /**
     * Records that bytes arrived.
     *
     * @param outstanding whether any request waits for its reply
     * @param now         current time, in nanoseconds
     */
    public void recordReceived(boolean outstanding, long now) {
        unansweredSinceNanos = outstanding ? now : NEVER;
        pingedNanos = NEVER;
        transmissionNanos = 0;
    }

    /**
     * Returns what to do now. A ping that is due is taken as sent.
     *
     * @param patienceNanos time without a byte after the ping until the connection is silent, in nanoseconds
     * @param now           current time, in nanoseconds
     * @return the next step
     */
    public Step next(long patienceNanos, long now) {
        if (unansweredSinceNanos == NEVER) {
            return Step.NOTHING;
        }
        if (pingedNanos == NEVER) {
            if (now - unansweredSinceNanos < PING_AFTER_NANOS + transmissionNanos) {
                return Step.WAIT;
            }
            pingedNanos = now;
            return Step.PING;
        }
        return now - pingedNanos < patienceNanos ? Step.WAIT : Step.REPLACE;
    }

    /**
     * Returns the time until the next step may be due.
     *
     * @param patienceNanos time without a byte after the ping until the connection is silent, in nanoseconds
     * @param now           current time, in nanoseconds
     * @return time in nanoseconds; at least {@value #MIN_PATIENCE_NANOS} if a step is overdue
     */
    public long untilNextNanos(long patienceNanos, long now) {
        long due = pingedNanos == NEVER
                ? unansweredSinceNanos + PING_AFTER_NANOS + transmissionNanos
                : pingedNanos + patienceNanos;
        return unansweredSinceNanos == NEVER || due - now <= 0 ? MIN_PATIENCE_NANOS : due - now;
    }

    /** What to do about a connection. */
    public enum Step {
        /** Nothing is unanswered. */
        NOTHING,

        /** The connection may be sound; check again later. */
        WAIT,

        /** Send a ping, which the other side answers at once. */
        PING,

        /** Send nothing more on the connection if another can be opened. */
        REPLACE
    }
}
