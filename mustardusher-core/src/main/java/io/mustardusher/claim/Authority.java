package io.mustardusher.claim;

import io.mustardusher.time.Clock;

/**
 * Until when a keeper may grant claims in its epoch. It is extended by each confirmation that the epoch is the present
 * one, from the table service or from all other keepers of the epoch, counted from the moment the question was sent.
 */
final class Authority {

    private final Clock clock;

    /** Whether a confirmation has come. */
    private boolean confirmed;

    /** End of the authority, in nanoseconds. */
    private long untilNanos;

    /** Version of the row that this keeper is changing, during which it confirms and grants nothing; 0 if none. */
    private long frozenVersion;

    /**
     * Creates an authority that grants nothing.
     *
     * @param clock source of time
     */
    Authority(Clock clock) {
        this.clock = clock;
    }

    /**
     * Extends the authority.
     *
     * @param askedNanos time at which the question was sent, in nanoseconds
     */
    void confirm(long askedNanos) {
        long until = askedNanos + ClaimTiming.AUTHORITY_MILLIS * Clock.NANOS_PER_MILLI;
        untilNanos = confirmed && untilNanos - until > 0 ? untilNanos : until;
        confirmed = true;
    }

    /**
     * Stops granting and confirming because this keeper writes a new epoch over a version of the row.
     *
     * @param rowVersion the version
     */
    void freeze(long rowVersion) {
        frozenVersion = Math.max(frozenVersion, rowVersion);
    }

    /**
     * Resumes if the row was seen at a later version, for then the write has happened or never will.
     *
     * @param rowVersion version of the row as read
     */
    void thaw(long rowVersion) {
        if (rowVersion > frozenVersion) {
            frozenVersion = 0;
        }
    }

    /**
     * Tells whether this keeper confirms its epoch to others.
     *
     * @return {@code true} if it does
     */
    boolean confirmsToOthers() {
        return frozenVersion == 0;
    }

    /**
     * Tells whether claims may be granted now.
     *
     * @return {@code true} if they may
     */
    boolean isValid() {
        return confirmed && frozenVersion == 0 && clock.nanoTime() - untilNanos < 0;
    }
}
