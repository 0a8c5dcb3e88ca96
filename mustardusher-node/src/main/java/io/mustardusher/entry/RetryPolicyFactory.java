package io.mustardusher.entry;

import java.util.function.DoubleSupplier;

import io.mustardusher.budget.RatioBudget;
import io.mustardusher.budget.WindowBudget;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.retry.RetryPolicy;
import io.mustardusher.time.Clock;

/** Creates the retry policy of a service. */
public interface RetryPolicyFactory {

    /**
     * Creates a retry policy.
     *
     * @param service name of the service
     * @return the policy
     */
    RetryPolicy create(ServiceName service);

    /** Retries are limited to a ratio of the calls of this entry; earned retries do not expire. */
    enum ForRatio implements RetryPolicyFactory {
        /** The only instance. */
        INSTANCE;

        @Override
        public RetryPolicy create(ServiceName service) {
            return new RetryPolicy(new RatioBudget());
        }
    }

    /**
     * Retries of all entries together are bounded over a sliding window. A retry after a rejection by a gate costs no
     * budget, because the rejected call never reached a backend server.
     *
     * @param clock       source of time
     * @param windowNanos length of the window, in nanoseconds
     * @param allowance   this entry's share of the retries that the bound allows in a window without any calls
     */
    record ForWindow(Clock clock, long windowNanos, DoubleSupplier allowance) implements RetryPolicyFactory {

        /** Maximum number of gates tried for one call; a service has at most five servers in its region today. */
        private static final int MAX_ATTEMPTS = 5;

        @Override
        public RetryPolicy create(ServiceName service) {
            WindowBudget budget = new WindowBudget(clock, windowNanos, allowance);
            return new RetryPolicy(budget, MAX_ATTEMPTS, RetryPolicy.BudgetExemption.ALL_GATE_REJECTIONS);
        }
    }
}
