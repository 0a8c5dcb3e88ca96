package io.mustardusher.retry;

import io.mustardusher.budget.SpendingRank;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;

/**
 * State of a call after an attempt that ended without an answer to pass on.
 *
 * @param number             number of the attempt, from 1; each attempt is sent to one gate
 * @param reachedAttempts    number of attempts so far that may have reached a backend server
 * @param maxReachedAttempts maximum number of attempts that may reach a backend server
 * @param code               result of the attempt
 * @param idempotent         whether the call may run more than once
 * @param replayable         whether the entry still holds the complete call
 * @param retry              whether the call arrived at this entry as a retry, by the caller or by another entry
 * @param remainingNanos     time until the deadline, in nanoseconds
 * @param rank               rank by which the call may use the retry budget
 */
public record FailedAttempt(
        int number,
        int reachedAttempts,
        int maxReachedAttempts,
        ResultCode code,
        boolean idempotent,
        boolean replayable,
        boolean retry,
        long remainingNanos,
        SpendingRank rank) {

    /**
     * Creates the state of a call that may use the whole retry budget.
     *
     * @param number             number of the attempt, from 1
     * @param reachedAttempts    number of attempts so far that may have reached a backend server
     * @param maxReachedAttempts maximum number of attempts that may reach a backend server
     * @param code               result of the attempt
     * @param idempotent         whether the call may run more than once
     * @param replayable         whether the entry still holds the complete call
     * @param retry              whether the call arrived at this entry as a retry
     * @param remainingNanos     time until the deadline, in nanoseconds
     */
    public FailedAttempt(
            int number,
            int reachedAttempts,
            int maxReachedAttempts,
            ResultCode code,
            boolean idempotent,
            boolean replayable,
            boolean retry,
            long remainingNanos) {
        this(
                number,
                reachedAttempts,
                maxReachedAttempts,
                code,
                idempotent,
                replayable,
                retry,
                remainingNanos,
                SpendingRank.HIGHEST);
    }

    /**
     * Returns whether the attempt is proven not to have run the call.
     *
     * @return {@code true} if no backend server ran it
     */
    public boolean isProvenNotRun() {
        return code.outcome() == Outcome.NOT_RUN;
    }
}
