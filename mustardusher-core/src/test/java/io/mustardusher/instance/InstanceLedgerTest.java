package io.mustardusher.instance;

import java.util.Optional;

import io.mustardusher.instance.Sighting.Phase;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class InstanceLedgerTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final InstanceLedger ledger = new InstanceLedger(clock);

    @Test
    void laterStartReplacesAnEarlierOne() {
        ledger.offer(new Sighting("a", 100, 9, Phase.SERVING));
        assertThat(ledger.offer(new Sighting("b", 200, 1, Phase.SERVING))).isTrue();
        assertThat(current().instance()).isEqualTo("b");
    }

    @Test
    void announcementOfAnEarlierStartComesTooLate() {
        ledger.offer(new Sighting("b", 200, 1, Phase.SERVING));
        assertThat(ledger.offer(new Sighting("a", 100, 50, Phase.DRAINING))).isFalse();
        assertThat(current().phase()).isEqualTo(Phase.SERVING);
    }

    @Test
    void sameNameStartsAnewWithItsSequence() {
        ledger.offer(new Sighting("a", 100, 40, Phase.DRAINING));
        assertThat(ledger.offer(new Sighting("a", 300, 1, Phase.SERVING))).isTrue();
        assertThat(current().phase()).isEqualTo(Phase.SERVING);
    }

    @Test
    void overtakenAnnouncementOfTheSameStartIsIgnored() {
        ledger.offer(new Sighting("a", 100, 5, Phase.DRAINING));
        assertThat(ledger.offer(new Sighting("a", 100, 4, Phase.SERVING))).isFalse();
    }

    @Test
    void drainingServerDoesNotServeAgain() {
        ledger.offer(new Sighting("a", 100, 5, Phase.DRAINING));
        ledger.offer(new Sighting("a", 100, 6, Phase.SERVING));
        assertThat(current().phase()).isEqualTo(Phase.DRAINING);
    }

    @Test
    void farewellBeforeDrainingCounts() {
        ledger.offer(new Sighting("a", 100, 5, Phase.SERVING));
        assertThat(ledger.leave("a", Optional.empty())).isTrue();
        assertThat(ledger.offer(new Sighting("a", 100, 6, Phase.SERVING))).isFalse();
    }

    @Test
    void farewellBeforeAnyAnnouncementCounts() {
        ledger.leave("a", Optional.empty());
        assertThat(ledger.offer(new Sighting("a", 0, 6, Phase.SERVING))).isFalse();
        assertThat(ledger.offer(new Sighting("b", 0, 1, Phase.SERVING))).isTrue();
    }

    @Test
    void farewellOfAnEarlierStartLeavesTheLaterOne() {
        ledger.offer(new Sighting("a", 200, 1, Phase.SERVING));
        assertThat(ledger.leave("a", Optional.of(100L))).isFalse();
        assertThat(ledger.leave("b", Optional.empty())).isFalse();
        assertThat(current().phase()).isEqualTo(Phase.SERVING);
    }

    @Test
    void serverThatTellsNoAgeIsReplacedByOneThatHasJustStarted() {
        ledger.offer(new Sighting("a", 0, 30, Phase.SERVING));
        assertThat(ledger.offer(new Sighting("b", 0, 1, Phase.SERVING))).isTrue();
        assertThat(ledger.offer(new Sighting("a", 0, 31, Phase.SERVING))).isFalse();
    }

    @Test
    void lateAnnouncementWithoutAgeDoesNotReplaceALiveServer() {
        ledger.offer(new Sighting("b", 0, 1, Phase.SERVING));
        assertThat(ledger.offer(new Sighting("a", 0, 30, Phase.SERVING))).isFalse();
        clock.advanceMillis(4_000);
        assertThat(ledger.offer(new Sighting("c", 0, 30, Phase.SERVING))).isTrue();
    }

    private Sighting current() {
        return ledger.current().orElseThrow();
    }
}
