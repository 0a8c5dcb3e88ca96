package io.mustardusher.retry;

import java.util.EnumSet;
import java.util.Set;

import io.mustardusher.budget.RatioBudget;
import io.mustardusher.result.ResultCode;

/**
 * Decides on retries. A call is sent again only if it is proven not to have run or may run more than once, at most
 * {@value #MAX_ATTEMPTS} times in all. Calls that are already retries of another entry are not multiplied: they are
 * sent again only where the refusal cost their server nothing.
 */
public final class RetryPolicy {

    /** Most sends of one call by one entry. */
    public static final int MAX_ATTEMPTS = 3;

    /** Refusals that say nothing about load, and so cost no budget. */
    private static final Set<ResultCode> FREE =
            EnumSet.of(ResultCode.DRAINING, ResultCode.SERVER_UNREACHABLE, ResultCode.NODE_STOPPING);

    /** Refusals that another server would repeat. */
    private static final Set<ResultCode> FINAL = EnumSet.of(
            ResultCode.SUSPECT_REFUSED,
            ResultCode.DEADLINE_EXPIRED,
            ResultCode.CANCELLED,
            ResultCode.KEY_REUSED,
            ResultCode.KEY_REQUIRED,
            ResultCode.REQUEST_MALFORMED);

    /** Budget of the service. */
    private final RatioBudget budget;

    /**
     * Creates a policy.
     *
     * @param budget budget of the service
     */
    public RetryPolicy(RatioBudget budget) {
        this.budget = budget;
    }

    /**
     * Returns the budget of the service.
     *
     * @return the budget
     */
    public RatioBudget budget() {
        return budget;
    }

    /**
     * Decides whether to send a call again; spends from the budget if so.
     *
     * @param attempt what is known
     * @return {@code true} to send it again
     */
    public boolean mayRetry(Attempt attempt) {
        if (attempt.number() >= MAX_ATTEMPTS || attempt.leftNanos() <= 0 || !attempt.replayable()) {
            return false;
        }
        if (FINAL.contains(attempt.code())) {
            return false;
        }
        if (attempt.isProvenNotRun() && FREE.contains(attempt.code())) {
            return true;
        }
        if (attempt.resent()) {
            return false;
        }
        boolean allowed = attempt.isProvenNotRun() || attempt.idempotent();
        return allowed && budget.trySpend();
    }
}
