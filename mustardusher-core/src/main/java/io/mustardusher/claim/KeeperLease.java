package io.mustardusher.claim;

import io.mustardusher.time.Clock;

/**
 * Time-limited permission of a keeper to grant claims in its epoch. It is renewed by each confirmation that the epoch
 * is current, from the table service or from all other keepers of the epoch. The lease time runs from when the
 * confirmation was requested.
 */
final class KeeperLease {

    private final Clock clock;

    /** Whether the lease was ever renewed; until then {@link #expiryNanos} has no meaning. */
    private boolean renewed;

    /** Time at which the lease expires, in nanoseconds. */
    private long expiryNanos;

    /** Version of the row that this keeper is replacing, during which it neither grants nor confirms; 0 if none. */
    private long suspendedVersion;

    /**
     * Creates a lease that is not valid before its first renewal.
     *
     * @param clock source of time
     */
    KeeperLease(Clock clock) {
        this.clock = clock;
    }

    /**
     * Renews the lease. An earlier renewal that lasts longer is kept.
     *
     * @param requestedNanos time at which the confirmation was requested, in nanoseconds
     */
    void renew(long requestedNanos) {
        long expiry = requestedNanos + ClaimLimits.LEASE_MILLIS * Clock.NANOS_PER_MILLI;
        expiryNanos = renewed && expiryNanos - expiry > 0 ? expiryNanos : expiry;
        renewed = true;
    }

    /**
     * Suspends granting and confirming because this keeper is about to replace a version of the row by a new epoch.
     *
     * @param rowVersion the version to be replaced
     */
    void suspend(long rowVersion) {
        suspendedVersion = Math.max(suspendedVersion, rowVersion);
    }

    /**
     * Ends the suspension if a later version of the row was read: the conditional write has then either been applied or
     * can no longer be applied.
     *
     * @param rowVersion version of the row that was read
     */
    void resume(long rowVersion) {
        if (rowVersion > suspendedVersion) {
            suspendedVersion = 0;
        }
    }

    /**
     * Returns whether this keeper may confirm its epoch to other keepers.
     *
     * @return {@code false} while this keeper replaces the epoch
     */
    boolean canConfirm() {
        return suspendedVersion == 0;
    }

    /**
     * Returns whether claims may be granted now.
     *
     * @return {@code true} if the lease has not expired and is not suspended
     */
    boolean isValid() {
        return renewed && suspendedVersion == 0 && clock.nanoTime() - expiryNanos < 0;
    }
}
