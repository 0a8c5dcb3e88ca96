package io.mustardusher.catalogue;

import java.util.Set;

/** Rule that tells which calls may run more than once. */
public enum Idempotence {
    /** As RFC 9110, section 9.2.2, says of the method. */
    BY_METHOD("by-method") {
        @Override
        public boolean mayRepeat(String method) {
            return IDEMPOTENT_METHODS.contains(method);
        }
    },

    /** Every call. */
    ALWAYS("always") {
        @Override
        public boolean mayRepeat(String method) {
            return true;
        }
    },

    /** No call, whatever its method. */
    NEVER("never") {
        @Override
        public boolean mayRepeat(String method) {
            return false;
        }
    };

    /** Idempotent methods of RFC 9110. */
    private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE");

    /** Name in documents. */
    private final String token;

    /**
     * Creates a rule.
     *
     * @param token name in documents
     */
    Idempotence(String token) {
        this.token = token;
    }

    /**
     * Tells whether a call may run more than once.
     *
     * @param method HTTP method
     * @return {@code true} if it may
     */
    public abstract boolean mayRepeat(String method);

    /**
     * Finds the rule of a name.
     *
     * @param token name in documents
     * @return the rule
     */
    public static Idempotence of(String token) {
        for (Idempotence candidate : values()) {
            if (candidate.token.equals(token)) {
                return candidate;
            }
        }
        throw new IllegalArgumentException("unknown idempotence: " + token);
    }
}
