package io.mustardusher.membership;

import io.mustardusher.generated.MemberRecord;

/** A record with the time of its change and its number of transmissions. */
final class TrackedRecord {

    private final MemberRecord value;

    /** Whether the record reports a failure of the member, or replaces a record that did. */
    private final boolean concernsFailure;

    /** Time at which the record was stored, in nanoseconds. */
    private final long storedNanos;

    /** Number of times the record was transmitted within this failure domain. */
    private int localTransmissions;

    /** Number of times the record was transmitted to other failure domains. */
    private int remoteTransmissions;

    /**
     * Creates a record that was not yet transmitted.
     *
     * @param value           the record
     * @param concernsFailure whether it reports a failure, or replaces a record that did
     * @param storedNanos     time at which it was stored, in nanoseconds
     */
    TrackedRecord(MemberRecord value, boolean concernsFailure, long storedNanos) {
        this.value = value;
        this.concernsFailure = concernsFailure;
        this.storedNanos = storedNanos;
    }

    int transmissions(GossipRange range) {
        return range == GossipRange.DOMAIN ? localTransmissions : remoteTransmissions;
    }

    void recordTransmission(GossipRange range) {
        if (range == GossipRange.DOMAIN) {
            localTransmissions++;
        } else {
            remoteTransmissions++;
        }
    }

    MemberRecord value() {
        return value;
    }

    boolean concernsFailure() {
        return concernsFailure;
    }

    long storedNanos() {
        return storedNanos;
    }
}
