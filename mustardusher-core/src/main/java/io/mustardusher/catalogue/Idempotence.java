package io.mustardusher.catalogue;

import java.util.Set;

/** Rule that determines which calls of a service are idempotent and may run more than once. */
public enum Idempotence {
    /** Calls with a method that RFC 9110, section 9.2.2, defines as idempotent. */
    BY_METHOD("by-method") {
        @Override
        public boolean isIdempotent(String method) {
            return IDEMPOTENT_METHODS.contains(method);
        }
    },

    /** All calls. */
    ALWAYS("always") {
        @Override
        public boolean isIdempotent(String method) {
            return true;
        }
    },

    /** No calls, regardless of their method. */
    NEVER("never") {
        @Override
        public boolean isIdempotent(String method) {
            return false;
        }
    };

    private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE");

    /** Name in catalogue documents. */
    private final String token;

    /**
     * Creates a rule.
     *
     * @param token name in catalogue documents
     */
    Idempotence(String token) {
        this.token = token;
    }

    /**
     * Returns whether a call may run more than once.
     *
     * @param method HTTP method
     * @return {@code true} if it may
     */
    public abstract boolean isIdempotent(String method);

    /**
     * Returns the rule of a name.
     *
     * @param token name in catalogue documents
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
