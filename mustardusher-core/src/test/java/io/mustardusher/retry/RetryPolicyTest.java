package io.mustardusher.retry;

import io.mustardusher.budget.RatioBudget;
import io.mustardusher.result.ResultCode;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RetryPolicyTest {

    private static final long REMAINING_NANOS = 1_000_000_000L;

    private final RetryPolicy policy = new RetryPolicy(new RatioBudget());

    @Test
    void nonIdempotentCallThatMayHaveRunIsNotRetried() {
        assertThat(policy.mayRetry(attempt(1, ResultCode.CONNECTION_LOST, false, false)))
                .isFalse();
    }

    @Test
    void idempotentCallThatMayHaveRunIsRetried() {
        assertThat(policy.mayRetry(attempt(1, ResultCode.CONNECTION_LOST, true, false)))
                .isTrue();
    }

    @Test
    void callProvenNotRunIsRetriedEvenIfNotIdempotent() {
        assertThat(policy.mayRetry(attempt(1, ResultCode.OVERLOADED, false, false)))
                .isTrue();
    }

    @Test
    void callIsNotRetriedAfterMaximumNumberOfAttempts() {
        assertThat(policy.mayRetry(attempt(RetryPolicy.DEFAULT_MAX_ATTEMPTS, ResultCode.DRAINING, true, false)))
                .isFalse();
    }

    @Test
    void callIsNotRetriedWhenBudgetIsExhausted() {
        for (int i = 0; i < 3; i++) {
            assertThat(policy.mayRetry(attempt(1, ResultCode.OVERLOADED, true, false)))
                    .isTrue();
        }
        assertThat(policy.mayRetry(attempt(1, ResultCode.OVERLOADED, true, false)))
                .isFalse();
    }

    @Test
    void rejectionByDrainingServerIsNotChargedToBudget() {
        for (int i = 0; i < 100; i++) {
            assertThat(policy.mayRetry(attempt(1, ResultCode.DRAINING, false, false)))
                    .isTrue();
        }
    }

    @Test
    void retryByAnotherEntryIsNotRetried() {
        assertThat(policy.mayRetry(attempt(1, ResultCode.CONNECTION_LOST, true, true)))
                .isFalse();
    }

    @Test
    void suspectIsNotRetried() {
        assertThat(policy.mayRetry(attempt(1, ResultCode.SUSPECT_REFUSED, true, false)))
                .isFalse();
    }

    /**
     * If the innermost service always fails and each layer may retry 10% of its calls, layer d runs at most 1 + 0.1 d
     * calls for each fresh one.
     */
    @Test
    void chainOfTwentyTwoLayersAddsAtMostTenPercentPerLayer() {
        int depth = 22;
        int fresh = 2_000;
        RetryPolicy[] layers = new RetryPolicy[depth];
        for (int i = 0; i < depth; i++) {
            layers[i] = new RetryPolicy(new RatioBudget());
        }
        long executions = 0;
        for (int i = 0; i < fresh; i++) {
            executions += leafExecutions(layers, 0, false);
        }
        assertThat(executions / (double) fresh).isLessThan(1 + 0.1 * depth + 0.05);
    }

    private static long leafExecutions(RetryPolicy[] layers, int layer, boolean retry) {
        if (layer == layers.length) {
            return 1;
        }
        RetryPolicy policy = layers[layer];
        if (!retry) {
            policy.budget().earn(10);
        }
        long executions = 0;
        int number = 0;
        boolean retrying = true;
        while (retrying) {
            number++;
            executions += leafExecutions(layers, layer + 1, retry || number > 1);
            retrying = policy.mayRetry(new FailedAttempt(
                    number, number, Integer.MAX_VALUE, ResultCode.CONNECTION_LOST, true, true, retry, REMAINING_NANOS));
        }
        return executions;
    }

    private static FailedAttempt attempt(int number, ResultCode code, boolean idempotent, boolean retry) {
        return new FailedAttempt(number, number, Integer.MAX_VALUE, code, idempotent, true, retry, REMAINING_NANOS);
    }
}
