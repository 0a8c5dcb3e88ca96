package io.mustardusher.lab.load;

/** Result of a call as observed by its caller. */
public enum CallResult {
    /** Success response with the expected body. */
    OK,

    /** Error response to a call that ran on a backend server. */
    FAILED,

    /** Response stating that the call did not run. */
    NOT_RUN,

    /** Response that leaves the outcome open, or a connection lost because the entry was killed. */
    UNKNOWN,

    /** Complete success response whose body is truncated or belongs to another call. */
    WRONG_ANSWER,

    /** Connection that failed, or response that was cut off, although the entry was not killed. */
    CUT_OFF
}
