package io.mustardusher.allowance;

import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/** Guards against refusals of accounts below their limit, and against a breach of the bound, after nodes are killed. */
class AllowanceCoordinatorLossTest {

    private static final long MILLI = AllowanceSimulation.MILLI;
    private static final long SECOND = 1_000 * MILLI;
    private static final int NODES = 18;
    private static final AllowanceBounds BOUNDS = new AllowanceBounds(5 * SECOND, 0.1, 20);
    private static final double USAGE = 0.6;
    private static final long LOSS = 15 * SECOND;
    private static final long SETTLED = LOSS + 4 * SECOND;
    private static final int SEEDS = 20;

    /** Parts of the calls in the four seconds after the loss that are refused or not decided. */
    private static final double MAX_REFUSED = 0.04;

    private static final double MAX_UNAVAILABLE = 0.12;

    @ParameterizedTest
    @CsvSource({"5, 1", "7, 1", "10, 1", "5, 3", "7, 3", "10, 3"})
    void mostCallsBelowTheLimitAreServedAfterTheLossOfTheCoordinator(double rate, int killed) {
        int refused = 0;
        int unavailable = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            AllowanceSimulation simulation = loaded(rate, seed);
            kill(simulation, killed);
            simulation.run(SETTLED);
            refused += simulation.refused;
            unavailable += simulation.unavailable;
        }
        double calls = USAGE * rate * 4 * SEEDS;
        assertThat(refused / calls).isAtMost(MAX_REFUSED);
        assertThat(unavailable / calls).isAtMost(MAX_UNAVAILABLE);
    }

    @ParameterizedTest
    @CsvSource({"5", "10", "66"})
    void boundHoldsWhenAllNodesRestart(double rate) {
        for (int seed = 0; seed < SEEDS; seed++) {
            AllowanceSimulation simulation = loaded(rate, seed);
            kill(simulation, NODES);
            simulation.run(LOSS + SECOND / 2);
            simulation.nodes().forEach(AllowanceSimulation.SimulatedNode::start);
            simulation.run(SETTLED + 4 * SECOND);
            assertThat((double) simulation.maxInWindow(5 * SECOND, 0)).isAtMost(rate * 6 * 1.1 + 20);
            assertThat(simulation.admittedWithin(2 * SECOND)).isAtLeast((int) (0.4 * rate));
        }
    }

    private static AllowanceSimulation loaded(double rate, int seed) {
        AllowanceSimulation simulation = new AllowanceSimulation(
                NODES, BOUNDS, AllowanceHistoriesTest.account(rate, rate), Mutation.NONE, new Random(seed));
        for (int node = 0; node < NODES; node++) {
            simulation.load(node, USAGE * rate / NODES, LOSS - 7 * SECOND, LOSS + 8 * SECOND);
        }
        simulation.run(LOSS);
        simulation.refused = 0;
        simulation.unavailable = 0;
        return simulation;
    }

    /** Kills the coordinator first. */
    private static void kill(AllowanceSimulation simulation, int count) {
        int first = simulation.nodes().indexOf(simulation.coordinator());
        for (int i = 0; i < count; i++) {
            simulation.nodes().get((first + i) % NODES).stop();
        }
    }
}
