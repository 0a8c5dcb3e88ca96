package io.mustardusher.routing;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class TransferCostTest {

    private final TransferCost transferCost = new TransferCost();

    @Test
    void emptyCallsAreLight() {
        assertThat(transferCost.isLight()).isTrue();
    }

    @Test
    void costGrowsWithTransferredBytes() {
        transferCost.recordCall(400);
        double before = transferCost.cost();
        for (int i = 0; i < 100; i++) {
            transferCost.recordCall(2_000);
        }
        assertThat(transferCost.cost()).isGreaterThan(before);
    }

    @Test
    void callIsReroutedAtMostThreeTimes() {
        assertThat(transferCost.mayReroute(3)).isTrue();
        assertThat(transferCost.mayReroute(4)).isFalse();
    }

    @Test
    void largeAnswersAreNotLight() {
        transferCost.recordCall(100_000);
        assertThat(transferCost.isLight()).isFalse();
    }
}
