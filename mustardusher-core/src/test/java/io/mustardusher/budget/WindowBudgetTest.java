package io.mustardusher.budget;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class WindowBudgetTest {

    private static final long WINDOW_MILLIS = 10_000;

    private final Clock.Manual clock = new Clock.Manual();

    @Test
    void allowsOnlyAllowanceWithoutRequests() {
        WindowBudget budget = budget(3);
        assertThat(spend(budget, 10)).isEqualTo(3);
    }

    @Test
    void requestsWithinWindowAddAttempts() {
        WindowBudget budget = budget(0);
        for (int i = 0; i < 100; i++) {
            budget.earn(20);
        }
        assertThat(spend(budget, 100)).isEqualTo(20);
    }

    @Test
    void spentAttemptsCountForWholeWindow() {
        WindowBudget budget = budget(2);
        assertThat(spend(budget, 5)).isEqualTo(2);
        clock.advanceMillis(WINDOW_MILLIS - 1);
        assertThat(spend(budget, 5)).isEqualTo(0);
        clock.advanceMillis(WINDOW_MILLIS / 5);
        assertThat(spend(budget, 5)).isEqualTo(2);
    }

    /** Guards against retries of lower classes that leave none for calls whose loss costs most. */
    @Test
    void lowerClassesLeavePartsOfBudgetToHighestClassAndNestedCalls() {
        WindowBudget budget = budget(0);
        for (int i = 0; i < 100; i++) {
            budget.earn(20, i % 2 == 0 ? ServiceClass.STANDARD : ServiceClass.BACKGROUND);
        }
        assertThat(spend(budget, 100, new SpendingRank(ServiceClass.BACKGROUND, false)))
                .isEqualTo(10);
        assertThat(spend(budget, 100, new SpendingRank(ServiceClass.BACKGROUND, true)))
                .isEqualTo(5);
        assertThat(spend(budget, 100, new SpendingRank(ServiceClass.STANDARD, false)))
                .isEqualTo(5);
    }

    @Test
    void lowerClassesUseWholeBudgetWhileNoHigherClassIsSeen() {
        WindowBudget budget = budget(0);
        budget.earn(20, ServiceClass.CRITICAL);
        clock.advanceMillis(2 * WINDOW_MILLIS);
        for (int i = 0; i < 100; i++) {
            budget.earn(20, ServiceClass.BACKGROUND);
        }
        assertThat(spend(budget, 100, new SpendingRank(ServiceClass.BACKGROUND, false)))
                .isEqualTo(20);
    }

    /** In every window, extra attempts stay below a fifth of the requests of that window and the one before it. */
    @Test
    void noWindowExceedsRatioUnderChangingLoad() {
        Random random = new Random(4711);
        WindowBudget budget = budget(0);
        Deque<Long> requests = new ArrayDeque<>();
        Deque<Long> sends = new ArrayDeque<>();
        for (int step = 0; step < 60_000; step++) {
            clock.advanceMillis(1);
            long now = clock.nanoTime();
            if (random.nextInt(100) < (step / 7_000 % 2 == 0 ? 60 : 5)) {
                budget.earn(20);
                requests.add(now);
            }
            if (random.nextInt(100) < 50 && budget.trySpend()) {
                sends.add(now);
            }
            // Requests of the preceding window count too: attempts they allowed remain valid when the load falls.
            trim(requests, now - 2 * WINDOW_MILLIS * Clock.NANOS_PER_MILLI);
            trim(sends, now - WINDOW_MILLIS * Clock.NANOS_PER_MILLI);
            assertThat(sends.size()).isAtMost((int) (requests.size() * 0.2) + 1);
        }
    }

    private static void trim(Deque<Long> times, long before) {
        while (!times.isEmpty() && times.peekFirst() < before) {
            times.removeFirst();
        }
    }

    private WindowBudget budget(double allowance) {
        return new WindowBudget(clock, WINDOW_MILLIS * Clock.NANOS_PER_MILLI, () -> allowance);
    }

    private static int spend(WindowBudget budget, int attempts) {
        return spend(budget, attempts, SpendingRank.HIGHEST);
    }

    private static int spend(WindowBudget budget, int attempts, SpendingRank rank) {
        int spent = 0;
        for (int i = 0; i < attempts; i++) {
            spent += budget.trySpend(1, rank) ? 1 : 0;
        }
        return spent;
    }
}
