package io.mustardusher.claim;

import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Checks seeded histories. One seed is replayed by {@code mvn -pl mustardusher-core test
 * -Dtest=ClaimProtocolTest#histories -Dclaim.first=SEED -Dclaim.count=1}.
 */
class ClaimProtocolTest {

    private static final long FIRST = Long.getLong("claim.first", 1);
    private static final long COUNT = Long.getLong("claim.count", 100_000);
    private static final long MUTANT_COUNT = 60_000;

    @Test
    void histories() {
        String faults = LongStream.range(FIRST, FIRST + COUNT)
                .parallel()
                .mapToObj(seed -> fault(seed, Mutation.NONE))
                .filter(fault -> !fault.isEmpty())
                .findAny()
                .orElse("");
        assertThat(faults).isEmpty();
    }

    @Test
    void historiesRunCalls() {
        long ran = LongStream.range(1, 2_000)
                .parallel()
                .map(seed -> {
                    ClaimSimulation simulation = new ClaimSimulation(seed, Mutation.NONE);
                    simulation.run();
                    return simulation.executions();
                })
                .sum();
        assertThat(ran).isGreaterThan(2_000);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void mutantIsCaught(Mutation mutation) {
        String fault = LongStream.range(1, MUTANT_COUNT)
                .parallel()
                .mapToObj(seed -> fault(seed, mutation))
                .filter(found -> !found.isEmpty())
                .findAny()
                .orElse("");
        assertWithMessage("%s", mutation).that(fault).isNotEmpty();
    }

    private static String fault(long seed, Mutation mutation) {
        String fault = new ClaimSimulation(seed, mutation).run();
        return fault.isEmpty() ? "" : "seed " + seed + ": " + fault;
    }
}
