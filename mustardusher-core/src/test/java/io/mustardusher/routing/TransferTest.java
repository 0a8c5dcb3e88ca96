package io.mustardusher.routing;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class TransferTest {

    private final Transfer transfer = new Transfer();

    @Test
    void emptyCallsAreLight() {
        assertThat(transfer.isLight()).isTrue();
    }

    @Test
    void costGrowsWithWhatIsMoved() {
        transfer.moved(400);
        double small = transfer.cost();
        for (int i = 0; i < 100; i++) {
            transfer.moved(2_000);
        }
        assertThat(transfer.cost()).isGreaterThan(small);
    }

    @Test
    void callIsNotSentOnForEver() {
        assertThat(transfer.mayMove(3)).isTrue();
        assertThat(transfer.mayMove(4)).isFalse();
    }

    @Test
    void largeAnswersAreNotLight() {
        transfer.moved(100_000);
        assertThat(transfer.isLight()).isFalse();
    }
}
