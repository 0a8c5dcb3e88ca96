package io.mustardusher.budget;

import java.util.Arrays;
import java.util.Random;
import java.util.function.IntUnaryOperator;

import io.mustardusher.time.Clock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: a retry storm at many nodes at once. Guards against nodes that together send more than a fifth of the
 * requests of a window plus 64 extra attempts, because restarts or partitions give each node a wrong view of the others.
 */
class SharedBudgetTest {

    private static final long WINDOW_MILLIS = 10_000;
    private static final int STEP_MILLIS = 50;
    private static final int STEPS = 800;

    /** Bound for all nodes together, as a fraction of the requests; the slack is added to it. */
    private static final double RATIO = 0.2;

    private static final int SLACK = 64;

    /**
     * Percentage of the requests that a node adds to its budget; below the ratio because nested calls of a retried
     * request count again at their own service.
     */
    private static final int EARNED_PERCENT = 10;

    private static final double ALLOWANCE = 0.4 * SLACK;

    private final Clock.Manual clock = new Clock.Manual();
    private final Random random = new Random(20261204);
    private final int[] requests = new int[STEPS];
    private final int[] sends = new int[STEPS];

    @ParameterizedTest
    @ValueSource(ints = {14, 300, 2_000})
    void stormAfterBurstStaysWithinBound(int nodes) {
        storm(nodes, step -> step < STEPS / 2 ? 3 : 0, node -> nodes, step -> 0);
    }

    @ParameterizedTest
    @ValueSource(ints = {14, 300, 2_000})
    void simultaneousRestartOfAllNodesStaysWithinBound(int nodes) {
        int restart = STEPS / 2;
        // For half a second after its start a node knows only itself; then it discovers more nodes with each step.
        storm(
                nodes,
                step -> 1,
                age -> Math.min(nodes, 1 + Math.max(0, age - 10) * nodes / 20),
                step -> step == restart ? nodes : 0);
    }

    @ParameterizedTest
    @ValueSource(ints = {14, 300, 2_000})
    void rollingRestartStaysWithinBound(int nodes) {
        storm(nodes, step -> 1, age -> nodes, step -> step % 5 == 0 ? Math.max(1, nodes / 150) : 0);
    }

    @ParameterizedTest
    @ValueSource(ints = {14, 300})
    void partitionIntoHalvesStaysWithinBound(int nodes) {
        storm(nodes, step -> 1, age -> age > STEPS / 2 ? nodes / 2 : nodes, step -> 0);
    }

    // Each node retries as often as its budget allows. The rate is the number of requests of a node in 100 steps; the
    // view is the number of nodes that a node knows, by the number of steps since its start.
    private void storm(int nodes, IntUnaryOperator rate, IntUnaryOperator view, IntUnaryOperator restarts) {
        Node[] all = new Node[nodes];
        Arrays.setAll(all, i -> new Node(0, view));
        int nextRestart = 0;
        for (int step = 0; step < STEPS; step++) {
            clock.advanceMillis(STEP_MILLIS);
            for (int i = restarts.applyAsInt(step); i > 0; i--) {
                all[nextRestart++ % nodes] = new Node(step, view);
            }
            for (Node node : all) {
                node.step = step;
                if (random.nextInt(100) < rate.applyAsInt(step)) {
                    node.budget.earn(EARNED_PERCENT);
                    requests[step]++;
                }
                while (node.budget.trySpend()) {
                    sends[step]++;
                }
            }
        }
        int window = (int) (WINDOW_MILLIS / STEP_MILLIS);
        for (int end = window; end <= STEPS; end++) {
            int sent = sum(sends, end - window, end);
            int maxRequests = Math.max(
                    sum(requests, end - window, end),
                    Math.max(
                            sum(requests, Math.max(0, end - 2 * window), Math.max(0, end - window)),
                            sum(requests, Math.max(0, end - window * 3 / 2), Math.max(0, end - window / 2))));
            assertThat((double) sent).isAtMost(RATIO * maxRequests + SLACK);
        }
    }

    private static int sum(int[] counts, int from, int to) {
        return Arrays.stream(counts, from, to).sum();
    }

    private final class Node {

        private final WindowBudget budget;
        private int step;

        Node(int startStep, IntUnaryOperator view) {
            SharedAllowance allowance = new SharedAllowance(clock, ALLOWANCE, () -> view.applyAsInt(step - startStep));
            budget = new WindowBudget(clock, WINDOW_MILLIS * Clock.NANOS_PER_MILLI, allowance);
        }
    }
}
