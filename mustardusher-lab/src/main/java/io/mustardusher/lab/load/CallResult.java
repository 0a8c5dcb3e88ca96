package io.mustardusher.lab.load;

/** What the caller was told, or found. */
public enum CallResult {
    /** A whole answer of its own. */
    OK,

    /** An answer of a server that failed. */
    FAILED,

    /** Told that it was not run. */
    NOT_RUN,

    /** Told that the outcome is not known. */
    UNKNOWN,

    /** An answer that is not its own, or not whole although it ended as if it were. */
    WRONG_ANSWER,

    /** A connection that broke, or an answer cut short. */
    CUT_OFF
}
