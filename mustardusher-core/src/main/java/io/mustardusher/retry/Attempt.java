package io.mustardusher.retry;

import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;

/**
 * What is known when one send of a call has ended without an answer to pass on.
 *
 * @param number     gates asked so far, at least 1
 * @param reached    sends so far that may have reached a backend server
 * @param maxReached sends that may reach a backend server in all
 * @param code       why the send ended
 * @param idempotent whether the call may run more than once
 * @param replayable whether the entry still holds the whole call
 * @param resent     whether the call arrived at this entry as a retry of another entry
 * @param leftNanos  time left until the deadline, in nanoseconds
 */
public record Attempt(
        int number,
        int reached,
        int maxReached,
        ResultCode code,
        boolean idempotent,
        boolean replayable,
        boolean resent,
        long leftNanos) {

    /**
     * Tells whether nothing ran.
     *
     * @return {@code true} if that is proven
     */
    public boolean isProvenNotRun() {
        return code.outcome() == Outcome.NOT_RUN;
    }
}
