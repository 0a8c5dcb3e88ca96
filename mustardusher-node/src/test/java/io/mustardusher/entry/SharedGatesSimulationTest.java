package io.mustardusher.entry;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against callers that get the answer to another call or to another run of theirs, and against calls that run
 * although they were reported as not run, when several entries share gates over connections that are lost.
 */
class SharedGatesSimulationTest {

    private static final int SIMULATIONS = 25;

    @Test
    void eachCallEndsWithTheAnswerOfItsOwnRun() {
        Map<SharedGatesCondition, Integer> conditions = SharedGatesCondition.none();
        for (long seed = 1; seed <= SIMULATIONS; seed++) {
            String violation = new SharedGatesSimulation(seed, conditions).simulate();
            assertWithMessage("seed " + seed).that(violation).isEmpty();
        }
        System.out.println(SIMULATIONS + " simulations: " + conditions);
        assertWithMessage("conditions met").that(conditions.values()).doesNotContain(0);
    }
}
