package io.mustardusher.admission;

import io.mustardusher.result.ResultCode;

/** A call that asks to be let through; exactly one method is called, once, without any lock held. */
public interface Waiter {

    /** The call may be dispatched. */
    void admitted();

    /**
     * The call is refused; it never runs.
     *
     * @param code why
     */
    void refused(ResultCode code);
}
