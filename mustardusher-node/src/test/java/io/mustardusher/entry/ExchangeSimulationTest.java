package io.mustardusher.entry;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/** At most once between entry, gates and servers, whatever becomes of frames, connections and gates. */
class ExchangeSimulationTest {

    private static final int HISTORIES = 100_000;

    @Test
    void noCallRunsTwiceOrRunsAfterItWasSaidNotTo() {
        for (long seed = 0; seed < HISTORIES; seed++) {
            String fault = new ExchangeSimulation(seed).play();
            assertWithMessage("seed " + seed).that(fault).isEmpty();
        }
    }
}
