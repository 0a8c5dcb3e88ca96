package io.mustardusher.retry;

import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;

/**
 * State of a call after a send that ended without an answer to pass on.
 *
 * @param sends          number of sends to gates so far, at least 1
 * @param serverSends    number of sends so far that may have reached a backend server
 * @param maxServerSends maximum number of sends that may reach a backend server
 * @param code           result of the send
 * @param idempotent     whether the call may run more than once
 * @param replayable     whether the entry still holds the whole call
 * @param retry          whether the call arrived at this entry as a retry by another entry
 * @param remainingNanos time until the deadline, in nanoseconds
 */
public record FailedAttempt(
        int sends,
        int serverSends,
        int maxServerSends,
        ResultCode code,
        boolean idempotent,
        boolean replayable,
        boolean retry,
        long remainingNanos) {

    /**
     * Returns whether the send is proven not to have run the call.
     *
     * @return {@code true} if no backend server ran it
     */
    public boolean isProvenNotRun() {
        return code.outcome() == Outcome.NOT_RUN;
    }
}
