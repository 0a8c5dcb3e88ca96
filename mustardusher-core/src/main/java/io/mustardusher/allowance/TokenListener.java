package io.mustardusher.allowance;

/** Notified of the decision on one call, exactly once unless the call is cancelled before. */
public interface TokenListener {

    /** The call is within the limit of its account and may be routed. */
    void granted();

    /**
     * The call exceeds the limit of its account.
     *
     * @param delayNanos time until the next token, in nanoseconds
     */
    void refused(long delayNanos);

    /** It cannot be determined whether the call is within the limit. */
    void unavailable();
}
