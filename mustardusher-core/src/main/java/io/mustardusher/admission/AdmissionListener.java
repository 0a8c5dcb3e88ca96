package io.mustardusher.admission;

import io.mustardusher.result.ResultCode;

/**
 * Receives the admission decision for a call. Exactly one of the methods is called, exactly once, by a thread that does
 * not hold the lock of the {@link Admission}.
 */
public interface AdmissionListener {

    /** Called when the call may be dispatched. */
    void onAdmitted();

    /**
     * Called when the call is rejected; it never runs.
     *
     * @param code reason for the rejection
     */
    void onRejected(ResultCode code);
}
