package io.mustardusher.route;

import java.util.List;
import java.util.Random;

import io.mustardusher.catalogue.ServiceName;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DestinationTest {

    private static final ServiceName HEAVY = ServiceName.of("heavy");
    private static final ServiceName LIGHT = ServiceName.of("light");

    /** Fourteen nodes with twenty requests each must keep a ratio of 90 to 10 within three percentage points. */
    @Test
    void splitKeepsWeightsOverManyNodesWithFewRequestsEach() {
        int light = 0;
        for (int node = 0; node < 14; node++) {
            Destination split = split(90, 10, node);
            for (int i = 0; i < 20; i++) {
                light += split.next().equals(LIGHT) ? 1 : 0;
            }
        }
        assertThat(light / 280.0).isWithin(0.03).of(0.1);
    }

    @Test
    void splitIsExactOverWholeRotations() {
        Destination split = split(3, 1, 5);
        long light = 0;
        for (int i = 0; i < 40; i++) {
            light += split.next().equals(LIGHT) ? 1 : 0;
        }
        assertThat(light).isEqualTo(10);
    }

    @Test
    void serviceWithZeroWeightReceivesNoRequests() {
        Destination split = split(5, 0, 1);
        for (int i = 0; i < 20; i++) {
            assertThat(split.next()).isEqualTo(HEAVY);
        }
    }

    @Test
    void splitByFractionsIsExactOverWholeRotations() {
        Destination split = split(0.75, 0.25, 5);
        long light = 0;
        for (int i = 0; i < 40; i++) {
            light += split.next().equals(LIGHT) ? 1 : 0;
        }
        assertThat(light).isEqualTo(10);
    }

    /** The starting point of a rotation was sought over as many steps as the sum of the weights. */
    @Test
    void splitByLargeWeightsKeepsTheirRatio() {
        Destination split = split(3e18, 1e18, 5);
        long light = 0;
        for (int i = 0; i < 40; i++) {
            light += split.next().equals(LIGHT) ? 1 : 0;
        }
        assertThat(light).isEqualTo(10);
    }

    @Test
    void serviceWithLeastWeightIsNotForgotten() {
        Destination split = split(1, 1e-12, 5);
        boolean light = false;
        for (int i = 0; i < 10_001 && !light; i++) {
            light = split.next().equals(LIGHT);
        }
        assertThat(light).isTrue();
    }

    private static Destination split(double heavy, double light, long seed) {
        return Destination.Split.of(
                List.of(
                        new Destination.Split.WeightedService(HEAVY, heavy),
                        new Destination.Split.WeightedService(LIGHT, light)),
                new Random(seed));
    }
}
