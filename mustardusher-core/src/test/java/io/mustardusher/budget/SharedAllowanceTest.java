package io.mustardusher.budget;

import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SharedAllowanceTest {

    private final Clock.Manual clock = new Clock.Manual();
    private int knownNodes = 32;
    private final SharedAllowance allowance = new SharedAllowance(clock, 64, () -> knownNodes);

    @Test
    void isZeroBeforeNodesHaveDiscoveredEachOther() {
        assertThat(allowance.getAsDouble()).isEqualTo(0.0);
    }

    @Test
    void dividesTotalByKnownNodes() {
        clock.advanceMillis(SharedAllowance.DISCOVERY_NANOS / Clock.NANOS_PER_MILLI);
        assertThat(allowance.getAsDouble()).isEqualTo(2.0);
    }

    @Test
    void doesNotGrowWhenKnownNodesDisappear() {
        clock.advanceMillis(SharedAllowance.DISCOVERY_NANOS / Clock.NANOS_PER_MILLI);
        allowance.getAsDouble();
        knownNodes = 1;
        assertThat(allowance.getAsDouble()).isEqualTo(2.0);
    }

    @Test
    void isAnEighthForNodeThatKnowsNoOthers() {
        knownNodes = 1;
        clock.advanceMillis(SharedAllowance.DISCOVERY_NANOS / Clock.NANOS_PER_MILLI);
        assertThat(allowance.getAsDouble()).isEqualTo(8.0);
    }
}
