package io.mustardusher.result;

/** Signals a failure with a numbered result code. */
public class MustardusherException extends RuntimeException {

    private final ResultCode code;

    /**
     * Creates an exception without a stack trace.
     *
     * @param code   result code of the failure
     * @param detail what happened, in one sentence
     */
    public MustardusherException(ResultCode code, String detail) {
        super(detail, null, false, false);
        this.code = code;
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
    }

    /**
     * Returns the result code of the failure.
     *
     * @return the code
     */
    public ResultCode code() {
        return code;
    }
}
