package io.mustardusher.membership;

import io.mustardusher.generated.MemberRecord;

/** State of a member; of two records of one incarnation the later state in this order holds. */
public enum MemberState {
    /** Answers. */
    ALIVE(MemberRecord.State.ALIVE, true),

    /** Did not answer and may still refute. */
    SUSPECT(MemberRecord.State.SUSPECT, true),

    /** Is stopping gracefully. */
    LEAVING(MemberRecord.State.LEAVING, true),

    /** Did not refute in time. */
    FAILED(MemberRecord.State.FAILED, false),

    /** Has stopped gracefully. */
    LEFT(MemberRecord.State.LEFT, false);

    /** Value in records. */
    private final MemberRecord.State token;

    /** Whether the member takes part in gossip. */
    private final boolean present;

    /**
     * Creates a state.
     *
     * @param token   value in records
     * @param present whether the member takes part in gossip
     */
    MemberState(MemberRecord.State token, boolean present) {
        this.token = token;
        this.present = present;
    }

    /**
     * Returns the value in records.
     *
     * @return the value
     */
    public MemberRecord.State token() {
        return token;
    }

    /**
     * Tells whether the member takes part in gossip.
     *
     * @return {@code true} if it does
     */
    public boolean isPresent() {
        return present;
    }

    /**
     * Returns the state of a record.
     *
     * @param member the record
     * @return the state
     */
    public static MemberState of(MemberRecord member) {
        return values()[member.getState().ordinal()];
    }
}
