package io.mustardusher.call;

/**
 * What bounds a call beside its catalogue entry.
 *
 * @param id          name of the call in logs; a dash if its caller gave none
 * @param maxReached  sends that may reach a backend server
 * @param targetNanos time within which the answer is of full use, in nanoseconds
 */
public record CallTerms(String id, int maxReached, long targetNanos) {

    /** Terms of a call that states none. */
    public static final CallTerms NONE = new CallTerms("-", Integer.MAX_VALUE, Long.MAX_VALUE);
}
