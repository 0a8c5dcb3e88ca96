package io.mustardusher.entry;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against a call that runs twice, or that runs although it was reported as not run. Both can happen when frames
 * are lost, delayed or repeated, connections break or a gate restarts, and the entry sends the call again.
 */
class ExchangeSimulationTest {

    private static final int SIMULATIONS = 100_000;

    @Test
    void callRunsAtMostOnceAndNeverAfterBeingReportedAsNotRun() {
        for (long seed = 0; seed < SIMULATIONS; seed++) {
            String violation = new ExchangeSimulation(seed).simulate();
            assertWithMessage("seed " + seed).that(violation).isEmpty();
        }
    }
}
