package io.mustardusher.result;

/** A failure with its numbered code. */
public class MustardusherException extends RuntimeException {

    private final ResultCode code;

    /**
     * Creates an exception.
     *
     * @param code   the code
     * @param detail what happened, in one sentence
     */
    public MustardusherException(ResultCode code, String detail) {
        super(detail, null, false, false);
        this.code = code;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code   the code
     * @param detail what happened, in one sentence
     * @param cause  the cause
     */
    public MustardusherException(ResultCode code, String detail, Throwable cause) {
        super(detail, cause);
        this.code = code;
    }

    /**
     * Returns the code.
     *
     * @return the code
     */
    public ResultCode code() {
        return code;
    }
}
