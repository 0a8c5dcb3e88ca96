package io.mustardusher.result;

import java.util.Optional;

/** Whether a backend server ran a call. */
public enum Outcome {
    /** A backend server ran the call, and its complete answer follows. */
    RAN("ran"),

    /** No backend server ran the call, and none will. */
    NOT_RUN("not-run"),

    /** The call may have run. */
    UNKNOWN("unknown");

    /** Value in the outcome header. */
    private final String token;

    /**
     * Creates an outcome.
     *
     * @param token value in the outcome header
     */
    Outcome(String token) {
        this.token = token;
    }

    /**
     * Returns the value in the outcome header.
     *
     * @return the token
     */
    public String token() {
        return token;
    }

    /**
     * Parses the value of the outcome header.
     *
     * @param token value of the header, or {@code null}
     * @return the outcome, or empty for any other value
     */
    public static Optional<Outcome> of(String token) {
        for (Outcome outcome : values()) {
            if (outcome.token.equals(token)) {
                return Optional.of(outcome);
            }
        }
        return Optional.empty();
    }
}
