package io.mustardusher.entry;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against an answer whose status, headers and body are not those of one run of its call. */
class AnswersOfRunsSimulationTest {

    private static final int SEEDS = 2_000;

    @Test
    void answersAreThoseOfOneRunEach() {
        int answeredRepeatedCalls = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            AnswersOfRunsSimulation simulation = new AnswersOfRunsSimulation(seed);
            assertWithMessage("seed %s", seed).that(simulation.simulate()).isEmpty();
            answeredRepeatedCalls += simulation.answeredRepeatedCalls();
        }
        assertThat(answeredRepeatedCalls).isAtLeast(SEEDS / 2);
    }
}
