package io.mustardusher.freshness;

import java.util.Optional;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Checks that no call whose key was revoked more than the bound before it was sent is accepted, in simulated histories
 * with faults of members, links, clocks and the table service. Replay a single seed with {@code mvn -pl
 * mustardusher-core test -Dtest=FreshnessHistoriesTest#refusesRevokedKeysInAllHistories -Dfreshness.first=SEED
 * -Dfreshness.count=1}.
 */
class FreshnessHistoriesTest {

    private static final long FIRST_SEED = Long.getLong("freshness.first", 1);
    private static final long SEED_COUNT = Long.getLong("freshness.count", 100_000);
    private static final long MUTATION_SEED_LIMIT = 20_000;
    private static final int SEEDS = 300;

    @Test
    void refusesRevokedKeysInAllHistories() {
        assertThat(firstViolation(FIRST_SEED, SEED_COUNT, Mutation.NONE)).isEmpty();
    }

    // Guards against histories that prove nothing, because few calls are accepted or no lease ever runs out.
    @Test
    void historiesAcceptCallsAndLetLeasesExpire() {
        int accepted = 0;
        int stale = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            FreshnessSimulation simulation = new FreshnessSimulation(seed, Mutation.NONE, true);
            simulation.run();
            accepted += simulation.acceptedCalls();
            stale += simulation.staleCalls();
        }
        assertThat(accepted).isGreaterThan(SEEDS * 20);
        assertThat(stale).isGreaterThan(SEEDS * 5);
    }

    // Guards against a lease that runs out although the table service and all members answer.
    @Test
    void acceptsKeysThroughoutHistoriesWithoutFaults() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            FreshnessSimulation simulation = new FreshnessSimulation(seed, Mutation.NONE, false);
            simulation.run();
            assertWithMessage("seed %s", seed).that(simulation.staleCalls()).isEqualTo(0);
        }
    }

    // Guards against a load on the table service that grows with the members: two of them read every 1.25 seconds.
    @Test
    void fewMembersReadOnBehalfOfAll() {
        int members = 72;
        FreshnessSimulation simulation = new FreshnessSimulation(1, Mutation.NONE, false, members);
        simulation.run();
        assertThat(simulation.staleCalls()).isEqualTo(0);
        assertThat(simulation.storeReads()).isAtMost(members + 2 * 16);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void detectsMutation(Mutation mutation) {
        assertWithMessage("%s", mutation)
                .that(firstViolation(1, MUTATION_SEED_LIMIT, mutation))
                .isNotEmpty();
    }

    private static String firstViolation(long first, long count, Mutation mutation) {
        return LongStream.range(first, first + count)
                .parallel()
                .mapToObj(seed -> FreshnessSimulation.violationOf(seed, mutation))
                .flatMap(Optional::stream)
                .findAny()
                .orElse("");
    }
}
