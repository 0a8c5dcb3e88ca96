package io.mustardusher.membership;

import io.mustardusher.generated.MemberRecord;

/**
 * State of a member. Between two records of the same incarnation, the state declared later takes precedence; the order
 * of the constants must match {@link MemberRecord.State}.
 */
public enum MemberState {
    /** Responds to probes. */
    ALIVE(MemberRecord.State.ALIVE, true),

    /** Did not respond to a probe; becomes {@link #FAILED} unless it refutes the suspicion in time. */
    SUSPECT(MemberRecord.State.SUSPECT, true),

    /** Is shutting down gracefully. */
    LEAVING(MemberRecord.State.LEAVING, true),

    /** Did not refute a suspicion in time. */
    FAILED(MemberRecord.State.FAILED, false),

    /** Has shut down gracefully. */
    LEFT(MemberRecord.State.LEFT, false);

    /** State as it is written in records. */
    private final MemberRecord.State recordState;

    /** Whether the member takes part in gossip. */
    private final boolean active;

    /**
     * Creates a state.
     *
     * @param recordState state as it is written in records
     * @param active      whether the member takes part in gossip
     */
    MemberState(MemberRecord.State recordState, boolean active) {
        this.recordState = recordState;
        this.active = active;
    }

    /**
     * Returns this state as it is written in records.
     *
     * @return the record's enum constant
     */
    public MemberRecord.State toRecordState() {
        return recordState;
    }

    /**
     * Returns whether a member in this state takes part in gossip.
     *
     * @return {@code true} for every state but {@link #FAILED} and {@link #LEFT}
     */
    public boolean isActive() {
        return active;
    }

    /**
     * Returns the state of a member.
     *
     * @param member the member's record
     * @return its state
     */
    public static MemberState of(MemberRecord member) {
        return values()[member.getState().ordinal()];
    }
}
