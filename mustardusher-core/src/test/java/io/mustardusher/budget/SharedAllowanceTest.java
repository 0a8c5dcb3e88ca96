package io.mustardusher.budget;

import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SharedAllowanceTest {

    private final Clock.Manual clock = new Clock.Manual();
    private int known = 32;
    private final SharedAllowance allowance = new SharedAllowance(clock, 64, () -> known);

    @Test
    void nothingIsTakenBeforeNodesHaveMet() {
        assertThat(allowance.getAsDouble()).isEqualTo(0.0);
    }

    @Test
    void partIsByTheNodesKnown() {
        clock.advanceMillis(SharedAllowance.MEETING_NANOS / Clock.NANOS_PER_MILLI);
        assertThat(allowance.getAsDouble()).isEqualTo(2.0);
    }

    @Test
    void partDoesNotGrowWhenNodesAreLostFromSight() {
        clock.advanceMillis(SharedAllowance.MEETING_NANOS / Clock.NANOS_PER_MILLI);
        allowance.getAsDouble();
        known = 1;
        assertThat(allowance.getAsDouble()).isEqualTo(2.0);
    }

    @Test
    void nodeThatKnowsNoOtherTakesAnEighth() {
        known = 1;
        clock.advanceMillis(SharedAllowance.MEETING_NANOS / Clock.NANOS_PER_MILLI);
        assertThat(allowance.getAsDouble()).isEqualTo(8.0);
    }
}
