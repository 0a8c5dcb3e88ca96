package io.mustardusher.entry;

import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against callers that get the answer to a call of another node: two nodes that start at the same instant of the
 * same steady clock have generators with the same seed, and gates know a call by its number alone.
 */
class FirstCallNumberTest {

    private static final int NODES = 95;
    private static final long BOOT = 1_700_000_000_000L;
    private static final long CALLS_OF_A_PROCESS = 1L << 32;

    @Test
    void nodesWithTheSameSeedNumberTheirCallsApart() {
        long[] starts = IntStream.range(0, NODES)
                .mapToLong(node -> ServerDirectory.FrameTransport.firstCallNumber("node-" + node, BOOT, new Random(1)))
                .sorted()
                .toArray();
        assertThat(leastDistance(starts)).isGreaterThan(CALLS_OF_A_PROCESS);
    }

    @Test
    void processesOfANodeNumberTheirCallsApart() {
        long[] starts = IntStream.range(0, NODES)
                .mapToLong(process ->
                        ServerDirectory.FrameTransport.firstCallNumber("node", BOOT + process, new Random(1)))
                .sorted()
                .toArray();
        assertThat(leastDistance(starts)).isGreaterThan(CALLS_OF_A_PROCESS);
    }

    // Numbers wrap around, so that the last one is next to the first.
    private static long leastDistance(long[] sorted) {
        long least = sorted[0] - sorted[sorted.length - 1];
        for (int i = 1; i < sorted.length; i++) {
            long distance = sorted[i] - sorted[i - 1];
            least = Long.compareUnsigned(distance, least) < 0 ? distance : least;
        }
        return least;
    }
}
