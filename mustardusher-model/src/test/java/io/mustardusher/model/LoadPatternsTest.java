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

    private static double mean(LoadPattern pattern, ToDoubleFunction<Outcomes> figure) {
        return IntStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> Deployment.simulate(pattern, seed))
                .mapToDouble(figure)
                .average()
                .orElseThrow();
    }
}
