package io.mustardusher.model;

import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

import io.mustardusher.catalogue.ServiceClass;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Patterns of load, each simulated with several seeds. The bounds are the targets of the patterns: what callers must get
 * with some reserve, and the work that a call may cause.
 */
class LoadPatternsTest {

    private static final int SEEDS = 8;

    /** Seeds of a comparison of two patterns, whose difference varies by 0.03 between groups of eight. */
    private static final int MANY_SEEDS = 32;

    /** Noisy neighbours take a quarter of each server's time; nearly all calls can still be on time. */
    @Test
    void noisyNeighbours() {
        LoadPattern pattern = office(1).build();
        assertThat(mean(pattern, Outcomes::worth)).isAtLeast(0.93);
        assertThat(mean(pattern, Outcomes::attemptsPerCall)).isAtMost(1.5);
    }

    /** The same with neighbours that are half and twice as strong, and change half and twice as fast. */
    @Test
    void noisyNeighboursOfOtherStrengthAndSpeed() {
        for (double factor : new double[] {2.5, 10}) {
            for (double periodMillis : new double[] {75, 300}) {
                LoadPattern pattern = office(1)
                        .withNoisyNeighbours(0.25, factor, periodMillis)
                        .build();
                assertThat(mean(pattern, Outcomes::worth)).isAtLeast(0.85);
            }
        }
    }

    /** A service near its capacity must not be loaded further by calls that pass from gate to gate. */
    @Test
    void busyServersWithNoisyNeighbours() {
        LoadPattern pattern = office(1.7).build();
        assertThat(mean(pattern, Outcomes::worth)).isAtLeast(0.9);
        assertThat(mean(pattern, Outcomes::attemptsPerCall)).isAtMost(1.5);
    }

    /** Small servers that run as many calls as they announce without slowing down, and need all of their slots. */
    @Test
    void smallServersThatDoNotSlowWhenNearlyFull() {
        LoadPattern pattern = LoadPattern.builder()
                .withServers("prices", 21)
                .withSlots(6, 1)
                .withCalls(new CallKind("price", "prices", ServiceClass.BACKGROUND, 240, 230, 608, 3_000, true, 1, 2))
                .withNoisyNeighbours(0.35, 5, 150)
                .withProcessorTime(2, 1)
                .withLength(15_000)
                .build();
        assertThat(mean(pattern, Outcomes::worth)).isAtLeast(0.9);
    }

    /**
     * Sixteen servers of four slots are called by 60 entries, so that each entry hears from each server every few
     * seconds. Calls must not queue at one server while others are idle.
     */
    @Test
    void smallServersSeenByManyEntries() {
        LoadPattern pattern = fireball(1).build();
        assertThat(mean(pattern, outcomes -> outcomes.worth("clip"))).isAtLeast(0.9);
        assertThat(mean(pattern, Outcomes::worth)).isAtLeast(0.95);
        assertThat(mean(pattern, Outcomes::attemptsPerCall)).isAtMost(3);
    }

    /** The same entries at 1.4 times the load must not ask so many gates that their own work delays the calls. */
    @Test
    void burstAtSmallServersSeenByManyEntries() {
        LoadPattern pattern = fireball(1).withBurst(4_000, 9_000, 1.4).build();
        assertThat(mean(pattern, outcomes -> outcomes.worth(4, 9))).isAtLeast(0.8);
        assertThat(mean(pattern, Outcomes::wastedRuns)).isAtMost(0.02);
    }

    /** Many users come at once for five seconds. */
    @Test
    void burst() {
        LoadPattern pattern = office(1).withBurst(5_000, 10_000, 1.9).build();
        assertThat(mean(pattern, outcomes -> outcomes.worth(5, 10))).isAtLeast(0.85);
        assertThat(mean(pattern, outcomes -> outcomes.worth(11, 14))).isAtLeast(0.9);
    }

    /** Beyond the capacity of all servers, what is served stays useful and the work for each call bounded. */
    @Test
    void overload() {
        LoadPattern pattern = office(4).build();
        assertThat(mean(pattern, Outcomes::attemptsPerCall)).isAtMost(3);
        assertThat(mean(pattern, Outcomes::answered)).isAtLeast(0.4);
    }

    /** A sixth of the answers is lost; the slots of these calls are used again before their deadlines. */
    @Test
    void lostAnswers() {
        double share = 0.18;
        LoadPattern pattern = office(1).withLostAnswers(5_000, 9_000, share).build();
        assertThat(mean(pattern, outcomes -> outcomes.worth(5, 9))).isAtLeast(0.85 * (1 - share));
    }

    /** All machines lose power and return at once, with cold servers and code that is not compiled yet. */
    @Test
    void powerReturnsAtOnce() {
        LoadPattern pattern = office(1)
                .withProcessorTime(2, 2)
                .withRestartOfAllMachines(5_000, 2_500)
                .build();
        assertThat(mean(pattern, outcomes -> outcomes.worth(11, 14))).isAtLeast(0.9);
    }

    /** All servers of a service refuse 55% of the calls for 8.5 s of a minute in which payouts also burst. */
    @Test
    void payoutsWhileServiceShedsMoreThanHalf() {
        LoadPattern pattern = games(200)
                .withRefusals("inner", 15_000, 23_500, 0.55)
                .withBurstOf("payout", 40_000, 48_000, 2.4)
                .withLength(60_000)
                .build();
        assertThat(mean(pattern, outcomes -> outcomes.worth("payout"))).isAtLeast(0.95);
    }

    /** Servers without a free slot must not lose it to runs whose nested calls are refused. */
    @Test
    void failingRunsTakeNothingFromOtherCalls() {
        ToDoubleFunction<Outcomes> lookups = outcomes -> outcomes.worth("lookup", 5, 13);
        LoadPattern.Builder busy = games(390);
        double undisturbed = mean(busy.build(), lookups, MANY_SEEDS);
        double shedding = mean(busy.withRefusals("inner", 5_000, 13_500, 0.7).build(), lookups, MANY_SEEDS);
        assertThat(shedding).isAtLeast(undisturbed - 0.01);
    }

    /** A burst of payouts takes the capacity that the nested calls of standings need too. */
    @Test
    void payoutBurstBesideStandings() {
        LoadPattern pattern =
                games(200).withBurstOf("payout", 5_000, 13_000, 2.4).build();
        assertThat(mean(pattern, outcomes -> outcomes.worth("payout", 5, 13))).isAtLeast(0.95);
        assertThat(mean(pattern, Outcomes::wastedRuns)).isAtMost(0.02);
    }

    /** One account makes as many calls as 70 small ones together, which alone use seven tenths of the capacity of a gate. */
    @Test
    void hotAccountBesideSmallOnes() {
        double alone = mean(tenants(0), Outcomes::worthOfWorstTenthOfAccounts);
        double shared = mean(tenants(0.5), Outcomes::worthOfWorstTenthOfAccounts);
        assertThat(shared).isAtLeast(0.8 * alone);
    }

    private static LoadPattern tenants(double hotShare) {
        return LoadPattern.builder()
                .withServers("inner", 1)
                .withSlots(8, 1.7)
                .withCalls(new CallKind(
                        "payout", "inner", ServiceClass.CRITICAL, 31 / (1 - hotShare), 133, 410, 2_500, false, 5.1, 2))
                .withAccounts("payout", 70, hotShare)
                .withLength(15_000)
                .build();
    }

    private static LoadPattern.Builder games(double lookupsPerSecond) {
        return LoadPattern.builder()
                .withServers("outer", 14)
                .withServers("inner", 4)
                .withSlots(8, 1.7)
                .withCalls(new CallKind("payout", "inner", ServiceClass.CRITICAL, 50, 133, 410, 2_500, false, 5.1, 2))
                .withCalls(
                        new CallKind("decklist", "inner", ServiceClass.STANDARD, 30, 100, 500, 2_500, false, 0.89, 2))
                .withCalls(new CallKind(
                        "lookup", "outer", ServiceClass.STANDARD, lookupsPerSecond, 200, 700, 2_500, true, 0.89, 2))
                .withCalls(
                        new CallKind("standings", "outer", ServiceClass.STANDARD, 40, 200, 900, 3_000, true, 0.89, 2))
                .withNestedCalls(
                        "standings",
                        new CallKind("rows", "inner", ServiceClass.STANDARD, 0, 60, 300, 1_000, true, 0, 0),
                        2,
                        0.7)
                .withLength(15_000);
    }

    @Test
    void sameSeedGivesSameOutcomes() {
        LoadPattern pattern = office(1.7).build();
        Outcomes first = Deployment.simulate(pattern, 7);
        Outcomes second = Deployment.simulate(pattern, 7);
        assertThat(second.worth()).isEqualTo(first.worth());
        assertThat(second.attemptsPerCall()).isEqualTo(first.attemptsPerCall());
    }

    private static LoadPattern.Builder office(double load) {
        return LoadPattern.builder()
                .withServers("reader", 7)
                .withServers("editor", 3)
                .withCalls(
                        new CallKind("read", "reader", ServiceClass.BACKGROUND, 90 * load, 160, 484, 3_000, true, 1, 2))
                .withCalls(new CallKind(
                        "acknowledge", "reader", ServiceClass.STANDARD, 36 * load, 210, 484, 4_000, false, 2, 2))
                .withCalls(new CallKind(
                        "publish", "editor", ServiceClass.CRITICAL, 32 * load, 150, 284, 2_000, false, 3, 2))
                .withCalls(
                        new CallKind("search", "editor", ServiceClass.STANDARD, 26 * load, 64, 184, 1_200, true, 2, 2))
                .withNoisyNeighbours(0.25, 5, 150)
                .withProcessorTime(2, 1)
                .withLength(15_000);
    }

    private static LoadPattern.Builder fireball(double load) {
        CallKind lookup = nested("lookup", "ledger");
        CallKind index = nested("index", "vault");
        CallKind estimate = nested("estimate", "alerts");
        return LoadPattern.builder()
                .withServers("clips", 16)
                .withServers("ledger", 26)
                .withServers("vault", 14)
                .withServers("alerts", 4)
                .withSlots(4, 1.7)
                .withCalls(
                        new CallKind("clip", "clips", ServiceClass.BACKGROUND, 115 * load, 120, 400, 1_500, true, 1, 1))
                .withCalls(new CallKind(
                        "claim-at-clips", "clips", ServiceClass.STANDARD, 57 * load, 160, 600, 2_500, false, 2, 1))
                .withCalls(
                        new CallKind("claim", "ledger", ServiceClass.STANDARD, 70 * load, 160, 600, 2_500, false, 2, 1))
                .withCalls(new CallKind(
                        "archive", "vault", ServiceClass.BACKGROUND, 32 * load, 300, 800, 3_000, true, 1, 1))
                .withCalls(new CallKind(
                        "alert", "alerts", ServiceClass.BACKGROUND, 31.5 * load, 96, 250, 1_500, false, 1, 1))
                .withNestedCalls("clip", lookup, 1, 0.7)
                .withNestedCalls("claim-at-clips", index, 1, 0.7)
                .withNestedCalls("claim", index, 1, 0.7)
                .withNestedCalls("archive", estimate, 1, 0.7)
                .withNoisyNeighbours(0.25, 5, 150)
                .withProcessorTime(2, 1)
                .withLength(15_000);
    }

    private static CallKind nested(String name, String service) {
        return new CallKind(name, service, ServiceClass.STANDARD, 0, 30, 120, 400, true, 0, 0);
    }

    private static double mean(LoadPattern pattern, ToDoubleFunction<Outcomes> figure) {
        return mean(pattern, figure, SEEDS);
    }

    private static double mean(LoadPattern pattern, ToDoubleFunction<Outcomes> figure, int seeds) {
        return IntStream.rangeClosed(1, seeds)
                .mapToObj(seed -> Deployment.simulate(pattern, seed))
                .mapToDouble(figure)
                .average()
                .orElseThrow();
    }
}
