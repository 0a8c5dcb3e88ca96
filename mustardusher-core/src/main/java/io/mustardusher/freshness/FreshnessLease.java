package io.mustardusher.freshness;

import java.util.OptionalLong;

/**
 * Time-limited permission to accept keys. It is based on a moment at which the version in force was the newest one: a
 * key that was removed before that moment is unknown to that version. The moment is never later than the one at which
 * the read of the table service that proved it was sent. There is no lease before the first proof.
 */
public class FreshnessLease {

    private final ElapsedTime time;
    private final long validityNanos;

    /** The latest proof, or {@code null} before the first. */
    private volatile Proof latest;

    /**
     * Creates a lease without a proof.
     *
     * @param time   source of time
     * @param limits limits of ages
     */
    public FreshnessLease(ElapsedTime time, FreshnessLimits limits) {
        this.time = time;
        this.validityNanos = limits.validityNanos();
    }

    /**
     * Renews the lease, unless a version is missing here or a later moment is known.
     *
     * @param momentNanos moment at which the newest version was read, or earlier, in nanoseconds of the elapsed time
     * @param newest      number of the newest version at that moment; 0 if there was none
     * @param inForce     number of the version in force here
     * @return {@code true} unless a version is missing here
     */
    public synchronized boolean renew(long momentNanos, long newest, long inForce) {
        if (newest > inForce) {
            return false;
        }
        Proof previous = latest;
        if (previous == null || momentNanos - previous.momentNanos > 0) {
            latest = new Proof(momentNanos, newest);
        }
        return true;
    }

    /**
     * Returns whether the keys of a version may be accepted now.
     *
     * @param version number of the version by which the key is checked
     * @return {@code true} if the version was the newest one a short enough time ago
     */
    public boolean covers(long version) {
        Proof proof = latest;
        // The version may have been replaced since it was looked up, and the proof may belong to its successor.
        return proof != null && proof.newest <= version && time.nanos() - proof.momentNanos <= validityNanos;
    }

    /**
     * Returns the time since the moment at which the newest version was last known.
     *
     * @return the age, in nanoseconds, or empty before the first proof
     */
    public OptionalLong ageNanos() {
        Proof proof = latest;
        return proof == null ? OptionalLong.empty() : OptionalLong.of(time.nanos() - proof.momentNanos);
    }

    /**
     * States the version in force and the age of this lease.
     *
     * @param inForce number of the version in force, looked up at any time
     * @return the statement
     */
    public FreshnessStatement state(long inForce) {
        Proof proof = latest;
        return proof == null
                ? new FreshnessStatement(inForce, OptionalLong.empty())
                : new FreshnessStatement(
                        Math.max(inForce, proof.newest), OptionalLong.of(time.nanos() - proof.momentNanos));
    }

    /**
     * A moment and the newest version at that moment.
     *
     * @param momentNanos the moment, in nanoseconds of the elapsed time
     * @param newest      number of the newest version
     */
    private record Proof(long momentNanos, long newest) {}
}
