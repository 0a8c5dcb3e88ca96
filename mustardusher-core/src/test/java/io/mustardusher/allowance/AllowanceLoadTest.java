package io.mustardusher.allowance;

import java.util.Random;
import java.util.function.IntToDoubleFunction;

import io.mustardusher.account.Account;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** Guards against refusals below the limit, and against a limit that does not hold under the loads it is meant for. */
class AllowanceLoadTest {

    private static final long MILLI = AllowanceSimulation.MILLI;
    private static final long SECOND = 1_000 * MILLI;
    private static final int NODES = 72;
    private static final AllowanceBounds BOUNDS = new AllowanceBounds(5 * SECOND, 0.1, 20);

    /** Time after which all nodes have delegated their shares, in nanoseconds. */
    private static final long START = 3 * SECOND;

    private static final long END = 33 * SECOND;
    private static final double MAX_REFUSED = 0.03;

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 20, NODES})
    void loadBelowTheLimitIsServedWhereverItArrives(int entries) {
        for (double rate : new double[] {5, 40, 284}) {
            AllowanceSimulation simulation = calm(rate, rate / 2, BOUNDS, 1 + entries);
            steady(simulation, 0.95 * rate, node -> node < entries ? 1.0 / entries : 0);
            assertThat(refusedFraction(simulation)).isLessThan(MAX_REFUSED);
            assertThat(simulation.unavailable).isEqualTo(0);
        }
    }

    @Test
    void loadBelowTheLimitIsServedWithoutOverage() {
        AllowanceSimulation simulation = calm(284, 142, AllowanceBounds.DEFAULT, 5);
        steady(simulation, 0.95 * 284, node -> 1.0 / NODES);
        assertThat(refusedFraction(simulation)).isLessThan(MAX_REFUSED);
        assertThat(simulation.maxInWindow(5 * SECOND, 0)).isAtMost(5 * 284 + 142);
    }

    /** Half of the load at one entry, and the rest thin over the others. */
    @Test
    void unevenLoadBelowTheLimitIsServed() {
        AllowanceSimulation simulation = calm(284, 142, BOUNDS, 6);
        steady(simulation, 0.95 * 284, node -> node == 0 ? 0.5 : 0.5 / (NODES - 1));
        assertThat(refusedFraction(simulation)).isLessThan(MAX_REFUSED);
    }

    /** An account whose usual load is 60% of its limit sends 7.5 times as much for ten seconds. */
    @Test
    void hotAccountGetsItsLimitAndNoMore() {
        double rate = 40;
        AllowanceSimulation simulation = calm(rate, 20, BOUNDS, 7);
        steady(simulation, 0.6 * rate, node -> 1.0 / NODES);
        for (int node = 0; node < NODES; node++) {
            simulation.load(node, 6.5 * 0.6 * rate / NODES, 10 * SECOND, 20 * SECOND);
        }
        simulation.run(END);
        double bound = (rate * 5 + 20) * 1.1 + 20;
        assertThat((double) simulation.maxInWindow(5 * SECOND, 0)).isAtMost(bound);
        long served = simulation.admitted.stream()
                .filter(time -> time >= 10 * SECOND && time < 20 * SECOND)
                .count();
        assertThat(served / 10.0).isAtLeast(0.97 * rate);
    }

    @Test
    void limitLoweredFarBelowUseHoldsOneWindowLater() {
        AllowanceSimulation simulation = calm(284, 142, BOUNDS, 8);
        steady(simulation, 250, node -> 1.0 / NODES);
        simulation.run(10 * SECOND);
        long spread = 2 * SECOND;
        simulation.changeLimit(AllowanceHistoriesTest.account(20, 5), spread);
        simulation.run(END);
        long inForce = 10 * SECOND + spread;
        assertThat((double) simulation.maxInWindow(5 * SECOND, inForce + AllowanceBounds.TOKEN_LIFETIME_NANOS))
                .isAtMost((20 * 5 + 5) * 1.1 + 20);
        assertThat(simulation.maxInWindow(5 * SECOND, inForce + 5 * SECOND)).isAtLeast(95);
    }

    /** The coordinator dies under load: after its delegations have ended, another one grants what the limit allows. */
    @Test
    void deadCoordinatorIsReplaced() {
        AllowanceSimulation simulation = calm(284, 142, BOUNDS, 9);
        steady(simulation, 200, node -> 1.0 / NODES);
        simulation.run(10 * SECOND);
        AllowanceSimulation.SimulatedNode coordinator = simulation.coordinator();
        coordinator.stop();
        int before = simulation.unavailable + simulation.refused;
        simulation.run(14 * SECOND);
        int lost = simulation.unavailable + simulation.refused - before;
        // No more than arrive while the last delegations to the dead coordinator are valid.
        assertThat(lost).isAtMost((int) (200 * 1.2));
        simulation.run(END);
        assertThat(simulation.unavailable + simulation.refused - before - lost).isLessThan(20);
        assertThat((double) simulation.maxInWindow(5 * SECOND, 0)).isAtMost((284 * 5 + 142) * 1.1 + 20);
    }

    private static AllowanceSimulation calm(double rate, double burst, AllowanceBounds bounds, long seed) {
        Account account = AllowanceHistoriesTest.account(rate, burst);
        return new AllowanceSimulation(NODES, bounds, account, Mutation.NONE, new Random(seed));
    }

    private static void steady(AllowanceSimulation simulation, double perSecond, IntToDoubleFunction split) {
        for (int node = 0; node < NODES; node++) {
            double part = split.applyAsDouble(node);
            if (part > 0) {
                simulation.steadyLoad(node, part * perSecond, START, END);
            }
        }
    }

    private static double refusedFraction(AllowanceSimulation simulation) {
        simulation.run(END);
        double served = simulation.admitted.size();
        return (simulation.refused + simulation.unavailable) / (served + simulation.refused + simulation.unavailable);
    }
}
