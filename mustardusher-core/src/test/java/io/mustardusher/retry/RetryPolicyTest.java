package io.mustardusher.retry;

import io.mustardusher.budget.RatioBudget;
import io.mustardusher.result.ResultCode;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RetryPolicyTest {

    private static final long LEFT = 1_000_000_000L;

    private final RetryPolicy policy = new RetryPolicy(new RatioBudget());

    @Test
    void callThatMayHaveRunIsNotSentAgain() {
        assertThat(policy.mayRetry(attempt(1, ResultCode.CONNECTION_LOST, false, false)))
                .isFalse();
    }

    @Test
    void idempotentCallIsSentAgain() {
        assertThat(policy.mayRetry(attempt(1, ResultCode.CONNECTION_LOST, true, false)))
                .isTrue();
    }

    @Test
    void callProvenNotRunIsSentAgainWhateverItsMethod() {
        assertThat(policy.mayRetry(attempt(1, ResultCode.OVERLOADED, false, false)))
                .isTrue();
    }

    @Test
    void sendsAreCapped() {
        assertThat(policy.mayRetry(attempt(RetryPolicy.MAX_ATTEMPTS, ResultCode.DRAINING, true, false)))
                .isFalse();
    }

    @Test
    void budgetIsSpent() {
        for (int i = 0; i < 3; i++) {
            assertThat(policy.mayRetry(attempt(1, ResultCode.OVERLOADED, true, false)))
                    .isTrue();
        }
        assertThat(policy.mayRetry(attempt(1, ResultCode.OVERLOADED, true, false)))
                .isFalse();
    }

    @Test
    void refusalOfALeavingServerCostsNoBudget() {
        for (int i = 0; i < 100; i++) {
            assertThat(policy.mayRetry(attempt(1, ResultCode.DRAINING, false, false)))
                    .isTrue();
        }
    }

    @Test
    void retryOfAnotherEntryIsNotMultiplied() {
        assertThat(policy.mayRetry(attempt(1, ResultCode.CONNECTION_LOST, true, true)))
                .isFalse();
    }

    @Test
    void suspectIsNotSentAgain() {
        assertThat(policy.mayRetry(attempt(1, ResultCode.SUSPECT_REFUSED, true, false)))
                .isFalse();
    }

    /** With 10% of retries and a leaf that always fails, layer d runs at most 1 + 0.1 d calls for each fresh one. */
    @Test
    void chainTwentyTwoDeepIsBoundedByOneTenthForEachLayer() {
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

    private static long leafExecutions(RetryPolicy[] layers, int layer, boolean resent) {
        if (layer == layers.length) {
            return 1;
        }
        RetryPolicy policy = layers[layer];
        if (!resent) {
            policy.budget().earn(10);
        }
        long executions = 0;
        int number = 0;
        boolean again = true;
        while (again) {
            number++;
            executions += leafExecutions(layers, layer + 1, resent || number > 1);
            again = policy.mayRetry(new Attempt(
                    number, number, Integer.MAX_VALUE, ResultCode.CONNECTION_LOST, true, true, resent, LEFT));
        }
        return executions;
    }

    private static Attempt attempt(int number, ResultCode code, boolean idempotent, boolean resent) {
        return new Attempt(number, number, Integer.MAX_VALUE, code, idempotent, true, resent, LEFT);
    }
}
