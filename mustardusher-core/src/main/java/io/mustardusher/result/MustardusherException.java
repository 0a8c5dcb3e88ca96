package io.mustardusher.result;

import java.util.OptionalLong;

/** Signals a failure with a numbered result code. */
public class MustardusherException extends RuntimeException {

    private final ResultCode code;

    /** Time after which the call may be sent again, in nanoseconds; negative if it is not known. */
    private final long retryAfterNanos;

    /**
     * Creates an exception without a stack trace.
     *
     * @param code   result code of the failure
     * @param detail what happened, in one sentence
     */
    public MustardusherException(ResultCode code, String detail) {
        this(code, detail, -1);
    }

    /**
     * Creates an exception without a stack trace for a call that may be sent again later.
     *
     * @param code            result code of the failure
     * @param detail          what happened, in one sentence
     * @param retryAfterNanos time after which the call may be sent again, in nanoseconds
     */
    public MustardusherException(ResultCode code, String detail, long retryAfterNanos) {
        super(detail, null, false, false);
        this.code = code;
        this.retryAfterNanos = retryAfterNanos;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code   result code of the failure
     * @param detail what happened, in one sentence
     * @param cause  cause of the failure
     */
    public MustardusherException(ResultCode code, String detail, Throwable cause) {
        super(detail, cause);
        this.code = code;
        this.retryAfterNanos = -1;
    }

    /**
     * Returns the result code of the failure.
     *
     * @return the code
     */
    public ResultCode code() {
        return code;
    }

    /**
     * Returns the time after which the call may be sent again.
     *
     * @return time in nanoseconds; empty if it is not known
     */
    public OptionalLong retryAfterNanos() {
        return retryAfterNanos < 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterNanos);
    }
}
