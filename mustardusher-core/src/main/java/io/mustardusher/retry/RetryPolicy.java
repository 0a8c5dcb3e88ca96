package io.mustardusher.retry;

import java.util.EnumSet;
import java.util.Set;

import io.mustardusher.budget.RetryBudget;
import io.mustardusher.result.ResultCode;

/**
 * Decides whether a call is retried. A call is only retried if it is proven not to have run or is idempotent, and only
 * within the limits of the policy. A call that is already a retry by another entry is only retried after a rejection
 * that is exempt from the budget, so that retries do not multiply.
 */
public final class RetryPolicy {

    /** Default of the maximum number of attempts of one entry to send a call to a gate. */
    public static final int DEFAULT_MAX_ATTEMPTS = 3;

    /**
     * Extra attempts that the retry of a call is charged for if the call may have run: the calls that the run made are
     * repeated too, at services with budgets of their own.
     */
    private static final int COST_AFTER_RUN = 2;

    /** Rejections that any other server would repeat. */
    private static final Set<ResultCode> NOT_RETRYABLE = EnumSet.of(
            ResultCode.SUSPECT_REFUSED,
            ResultCode.DEADLINE_EXPIRED,
            ResultCode.CANCELLED,
            ResultCode.KEY_REUSED,
            ResultCode.KEY_REQUIRED,
            ResultCode.REQUEST_MALFORMED,
            ResultCode.DEPENDENCY_REFUSED);

    private final RetryBudget budget;
    private final int maxAttempts;
    private final Set<ResultCode> exempt;

    /**
     * Creates a policy with the default limit that charges the budget for every rejection that is related to load.
     *
     * @param budget retry budget of the service
     */
    public RetryPolicy(RetryBudget budget) {
        this(budget, DEFAULT_MAX_ATTEMPTS, BudgetExemption.UNRELATED_TO_LOAD);
    }

    /**
     * Creates a policy.
     *
     * @param budget      retry budget of the service
     * @param maxAttempts maximum number of attempts of one entry to send a call to a gate
     * @param exemption   rejections whose retries are not charged to the budget
     */
    public RetryPolicy(RetryBudget budget, int maxAttempts, BudgetExemption exemption) {
        this.budget = budget;
        this.maxAttempts = maxAttempts;
        this.exempt = exemption.codes;
    }

    /**
     * Returns the retry budget of the service.
     *
     * @return the budget
     */
    public RetryBudget budget() {
        return budget;
    }

    /**
     * Decides whether a call is retried and charges the retry to the budget unless it is exempt.
     *
     * @param attempt the failed attempt
     * @return {@code true} if the call is retried
     */
    public boolean mayRetry(FailedAttempt attempt) {
        if (attempt.number() >= maxAttempts || attempt.remainingNanos() <= 0 || !attempt.replayable()) {
            return false;
        }
        if (attempt.reachedAttempts() >= attempt.maxReachedAttempts()) {
            return false;
        }
        if (NOT_RETRYABLE.contains(attempt.code())) {
            return false;
        }
        if (attempt.isProvenNotRun() && exempt.contains(attempt.code())) {
            return true;
        }
        if (attempt.retry()) {
            return false;
        }
        if (attempt.isProvenNotRun()) {
            return budget.trySpend(1, attempt.rank());
        }
        return attempt.idempotent() && budget.trySpend(COST_AFTER_RUN, attempt.rank());
    }

    /** Rejections whose retries are not charged to the budget, because no backend server received the call. */
    public enum BudgetExemption {
        /** Only rejections that are unrelated to load, so that a chain of many layers does not multiply overload. */
        UNRELATED_TO_LOAD(EnumSet.of(ResultCode.DRAINING, ResultCode.SERVER_UNREACHABLE, ResultCode.NODE_STOPPING)),

        /** All rejections by gates: only attempts that reach a backend server are charged. */
        ALL_GATE_REJECTIONS(EnumSet.of(
                ResultCode.DRAINING,
                ResultCode.SERVER_UNREACHABLE,
                ResultCode.NODE_STOPPING,
                ResultCode.NO_SERVER,
                ResultCode.SLOWER_THAN_TARGET,
                ResultCode.OVERLOADED,
                ResultCode.DEADLINE_UNREACHABLE,
                ResultCode.LIMIT_REACHED));

        private final Set<ResultCode> codes;

        BudgetExemption(Set<ResultCode> codes) {
            this.codes = codes;
        }
    }
}
