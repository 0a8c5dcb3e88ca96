package io.mustardusher.claim;

/** Times of the claim protocol. */
public final class ClaimTiming {

    /** Time for which a confirmation of the epoch lets a keeper grant claims, in milliseconds. */
    public static final long AUTHORITY_MILLIS = 3_000L;

    /** Allowance for clocks that run at different rates, in milliseconds. */
    public static final long DRIFT_MILLIS = 300L;

    /** Largest difference allowed between any two wall clocks, callers' included, in milliseconds. */
    public static final long SKEW_MILLIS = 2_000L;

    /** Most keepers of one service. */
    public static final int MAX_KEEPERS = 9;

    /** Epochs kept in the row. */
    public static final int MAX_EPOCHS = 16;

    private ClaimTiming() {}
}
