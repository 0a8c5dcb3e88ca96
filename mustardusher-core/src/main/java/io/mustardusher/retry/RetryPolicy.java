package io.mustardusher.retry;

import java.util.EnumSet;
import java.util.Set;

import io.mustardusher.budget.RetryBudget;
import io.mustardusher.result.ResultCode;

/**
 * Decides on retries. A call is sent again only if it is proven not to have run or may run more than once, within the
 * limits of the policy. Calls that are already retries of another entry are not multiplied: they are sent again only
 * where the refusal cost their server nothing.
 */
public final class RetryPolicy {

    /** Gates that one entry asks for one call, by default. */
    public static final int MAX_ATTEMPTS = 3;

    /** Refusals that another server would repeat. */
    private static final Set<ResultCode> FINAL = EnumSet.of(
            ResultCode.SUSPECT_REFUSED,
            ResultCode.DEADLINE_EXPIRED,
            ResultCode.CANCELLED,
            ResultCode.KEY_REUSED,
            ResultCode.KEY_REQUIRED,
            ResultCode.REQUEST_MALFORMED);

    private final RetryBudget budget;
    private final int maxAsks;
    private final Set<ResultCode> free;

    /**
     * Creates a policy that pays for every refusal that tells of load.
     *
     * @param budget budget of the service
     */
    public RetryPolicy(RetryBudget budget) {
        this(budget, MAX_ATTEMPTS, FreeRefusals.UNRELATED_TO_LOAD);
    }

    /**
     * Creates a policy.
     *
     * @param budget  budget of the service
     * @param maxAsks gates that one entry asks for one call
     * @param free    refusals that cost no budget
     */
    public RetryPolicy(RetryBudget budget, int maxAsks, FreeRefusals free) {
        this.budget = budget;
        this.maxAsks = maxAsks;
        this.free = free.codes;
    }

    /**
     * Returns the budget of the service.
     *
     * @return the budget
     */
    public RetryBudget budget() {
        return budget;
    }

    /**
     * Decides whether to send a call again; spends from the budget if so.
     *
     * @param attempt what is known
     * @return {@code true} to send it again
     */
    public boolean mayRetry(Attempt attempt) {
        if (attempt.number() >= maxAsks || attempt.leftNanos() <= 0 || !attempt.replayable()) {
            return false;
        }
        if (attempt.reached() >= attempt.maxReached()) {
            return false;
        }
        if (FINAL.contains(attempt.code())) {
            return false;
        }
        if (attempt.isProvenNotRun() && free.contains(attempt.code())) {
            return true;
        }
        if (attempt.resent()) {
            return false;
        }
        boolean allowed = attempt.isProvenNotRun() || attempt.idempotent();
        return allowed && budget.trySpend();
    }

    /** Refusals that cost no budget, because no backend server saw the call. */
    public enum FreeRefusals {
        /** Only those that say nothing about load: a chain of many layers must not multiply overload. */
        UNRELATED_TO_LOAD(EnumSet.of(ResultCode.DRAINING, ResultCode.SERVER_UNREACHABLE, ResultCode.NODE_STOPPING)),

        /** All refusals of gates: only sends that reach a backend server count. */
        OF_GATES(EnumSet.of(
                ResultCode.DRAINING,
                ResultCode.SERVER_UNREACHABLE,
                ResultCode.NODE_STOPPING,
                ResultCode.NO_SERVER,
                ResultCode.SLOWER_THAN_TARGET,
                ResultCode.OVERLOADED,
                ResultCode.DEADLINE_UNREACHABLE,
                ResultCode.LIMIT_REACHED));

        private final Set<ResultCode> codes;

        FreeRefusals(Set<ResultCode> codes) {
            this.codes = codes;
        }
    }
}
