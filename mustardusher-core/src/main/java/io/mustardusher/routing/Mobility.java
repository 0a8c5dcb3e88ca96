package io.mustardusher.routing;

/** Conditions under which a gate may return a call, so that its entry sends it to another gate. */
public enum Mobility {
    /** The gate has to accept the call or to refuse it. */
    FIXED("0") {
        @Override
        public boolean permitsReturn(boolean late, boolean waits) {
            return false;
        }
    },

    /** The call may be returned if it would miss its target. */
    IF_LATE("1") {
        @Override
        public boolean permitsReturn(boolean late, boolean waits) {
            return late;
        }
    },

    /** The call may also be returned if it would wait for a slot. */
    IF_WAITING("2") {
        @Override
        public boolean permitsReturn(boolean late, boolean waits) {
            return late || waits;
        }
    };

    private final String token;

    /**
     * Creates a constant.
     *
     * @param token value in the headers of a call
     */
    Mobility(String token) {
        this.token = token;
    }

    /**
     * Returns the value in the headers of a call.
     *
     * @return the value
     */
    public String token() {
        return token;
    }

    /**
     * Returns the constant of a header's value.
     *
     * @param token the value, or {@code null} if the call has no such header
     * @return the constant; {@link #FIXED} for other values
     */
    public static Mobility of(String token) {
        for (Mobility candidate : values()) {
            if (candidate.token.equals(token)) {
                return candidate;
            }
        }
        return FIXED;
    }

    /**
     * Decides whether a call may be returned.
     *
     * @param late  whether the call would probably miss its target at the gate
     * @param waits whether the call would wait for a slot at the gate
     * @return {@code true} if it may
     */
    public abstract boolean permitsReturn(boolean late, boolean waits);
}
