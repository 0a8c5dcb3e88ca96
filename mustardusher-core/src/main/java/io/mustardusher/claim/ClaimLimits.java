package io.mustardusher.claim;

/** Time and size limits of the claim protocol. */
public final class ClaimLimits {

    /** Time for which a confirmation of the epoch lets a keeper grant claims, in milliseconds. */
    public static final long LEASE_MILLIS = 3_000L;

    /** Time added to a lease for clocks that run at different rates, in milliseconds. */
    public static final long CLOCK_DRIFT_MILLIS = 300L;

    /** Maximum difference between any two wall clocks, including those of callers, in milliseconds. */
    public static final long MAX_CLOCK_SKEW_MILLIS = 2_000L;

    /** Maximum number of keepers of a service. */
    public static final int MAX_KEEPERS = 9;

    /** Maximum number of epochs stored in the row of a service. */
    public static final int MAX_EPOCHS = 16;

    private ClaimLimits() {}
}
