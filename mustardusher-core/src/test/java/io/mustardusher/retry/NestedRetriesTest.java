package io.mustardusher.retry;

import java.util.Random;

import io.mustardusher.budget.WindowBudget;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: all servers of a service shed half of the calls, and the runs of another service that call it fail and
 * are retried. Calls of a repeated run count as extra attempts at the called service, like its own retries.
 */
class NestedRetriesTest {

    private static final long WINDOW_NANOS = 10_000 * Clock.NANOS_PER_MILLI;
    private static final int WINDOW_MILLIS = 10_000;

    /** Extra attempts that all nodes together may cause in a window, as a fraction of the requests and in addition. */
    private static final double RATIO = 0.2;

    private static final double ALLOWANCE = 62;

    /** Parts of these bounds that the retries of each service use. */
    private static final int RETRY_PERCENT = 10;

    private static final double ALLOWANCE_SHARE = 0.4;

    private static final int PARENTS = 330;
    private static final int DIRECT_CALLS = 140;
    private static final double PARENTS_WITH_CALLS = 0.7;
    private static final int CALLS_PER_PARENT = 2;

    private final Clock.Manual clock = new Clock.Manual();
    private final RetryPolicy parents = policy();
    private final RetryPolicy children = policy();
    private int requests;
    private int extraAttempts;

    // Guards against a called service that gets more extra attempts than allowed because the runs that call it are
    // retried.
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.45, 0.55, 0.8})
    void extraAttemptsOfCalledServiceStayWithinBound(double shedShare) {
        Random random = new Random(12);
        for (int i = 0; i < PARENTS + DIRECT_CALLS; i++) {
            clock.advanceMillis(WINDOW_MILLIS / (PARENTS + DIRECT_CALLS));
            if (random.nextInt(PARENTS + DIRECT_CALLS) < DIRECT_CALLS) {
                call(false, shedShare, random);
            } else {
                runParent(random.nextDouble() < PARENTS_WITH_CALLS ? CALLS_PER_PARENT : 0, shedShare, random);
            }
        }
        assertThat((double) extraAttempts).isAtMost(RATIO * requests + ALLOWANCE);
    }

    private void runParent(int calls, double shedShare, Random random) {
        parents.budget().earn(RETRY_PERCENT);
        for (int run = 1; run <= 2; run++) {
            boolean failed = false;
            for (int i = 0; i < calls && !failed; i++) {
                failed = !call(run > 1, shedShare, random);
            }
            if (!failed || !parents.mayRetry(attempt(run, ResultCode.CONNECTION_LOST))) {
                return;
            }
        }
    }

    private boolean call(boolean fromRepeatedRun, double shedShare, Random random) {
        children.budget().earn(RETRY_PERCENT);
        requests += fromRepeatedRun ? 0 : 1;
        for (int number = 1; number <= 2; number++) {
            extraAttempts += fromRepeatedRun || number > 1 ? 1 : 0;
            if (random.nextDouble() >= shedShare) {
                return true;
            }
            if (!children.mayRetry(attempt(number, ResultCode.SERVER_REFUSED))) {
                return false;
            }
        }
        return false;
    }

    private RetryPolicy policy() {
        WindowBudget budget = new WindowBudget(clock, WINDOW_NANOS, () -> ALLOWANCE * ALLOWANCE_SHARE);
        return new RetryPolicy(budget, 2, RetryPolicy.BudgetExemption.ALL_GATE_REJECTIONS);
    }

    private static FailedAttempt attempt(int number, ResultCode code) {
        return new FailedAttempt(number, number, 2, code, true, true, false, WINDOW_NANOS);
    }
}
