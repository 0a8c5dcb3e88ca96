package io.mustardusher.claim;

import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Checks that no key runs twice and that no call that ran is reported as not run, in simulated histories with faults.
 * Replay a single seed with {@code mvn -pl mustardusher-core test
 * -Dtest=ClaimProtocolTest#runsEachKeyAtMostOnceInAllHistories -Dclaim.first=SEED -Dclaim.count=1}.
 */
class ClaimProtocolTest {

    private static final long FIRST_SEED = Long.getLong("claim.first", 1);
    private static final long SEED_COUNT = Long.getLong("claim.count", 100_000);
    private static final long MUTATION_SEED_LIMIT = 60_000;

    @Test
    void runsEachKeyAtMostOnceInAllHistories() {
        String violation = LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT)
                .parallel()
                .mapToObj(seed -> violationOf(seed, Mutation.NONE))
                .filter(found -> !found.isEmpty())
                .findAny()
                .orElse("");
        assertThat(violation).isEmpty();
    }

    @Test
    void historiesExecuteCalls() {
        long executions = LongStream.range(1, 2_000)
                .parallel()
                .map(seed -> {
                    ClaimSimulation simulation = new ClaimSimulation(seed, Mutation.NONE);
                    simulation.run();
                    return simulation.executions();
                })
                .sum();
        assertThat(executions).isGreaterThan(2_000);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void detectsMutation(Mutation mutation) {
        String violation = LongStream.range(1, MUTATION_SEED_LIMIT)
                .parallel()
                .mapToObj(seed -> violationOf(seed, mutation))
                .filter(found -> !found.isEmpty())
                .findAny()
                .orElse("");
        assertWithMessage("%s", mutation).that(violation).isNotEmpty();
    }

    private static String violationOf(long seed, Mutation mutation) {
        String violation = new ClaimSimulation(seed, mutation).run();
        return violation.isEmpty() ? "" : "seed " + seed + ": " + violation;
    }
}
