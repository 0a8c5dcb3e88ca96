package io.mustardusher.entry;

import java.util.function.DoubleSupplier;

import io.mustardusher.budget.RatioBudget;
import io.mustardusher.budget.WindowBudget;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.retry.RetryPolicy;
import io.mustardusher.time.Clock;

/** Makes the retry policy of a service. */
public interface RetryPolicies {

    /**
     * Makes a policy.
     *
     * @param service the service
     * @return the policy
     */
    RetryPolicy create(ServiceName service);

    /** Each entry earns further sends from its own fresh calls, and keeps them for as long as it runs. */
    enum ForRatio implements RetryPolicies {
        /** The only instance. */
        INSTANCE;

        @Override
        public RetryPolicy create(ServiceName service) {
            return new RetryPolicy(new RatioBudget());
        }
    }

    /**
     * All entries together keep within a bound over a sliding window; gates may be asked freely, because a refusal of a
     * gate never reaches a server.
     *
     * @param clock       source of time
     * @param windowNanos length of the window, in nanoseconds
     * @param allowance   this entry's part of the sends that the bound allows without any requests
     */
    record ForWindow(Clock clock, long windowNanos, DoubleSupplier allowance) implements RetryPolicies {

        /** Gates that one entry asks for one call; a service of today has five at most in its region. */
        private static final int MAX_ASKS = 5;

        @Override
        public RetryPolicy create(ServiceName service) {
            WindowBudget budget = new WindowBudget(clock, windowNanos, allowance);
            return new RetryPolicy(budget, MAX_ASKS, RetryPolicy.BudgetExemption.ALL_GATE_REFUSALS);
        }
    }
}
