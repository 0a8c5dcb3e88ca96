package io.mustardusher.instance;

import java.util.Optional;

import io.mustardusher.instance.InstanceState.Phase;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class InstanceTrackerTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final InstanceTracker tracker = new InstanceTracker(clock);

    @Test
    void processWithLaterStartReplacesEarlierOne() {
        tracker.update(new InstanceState("a", 100, 9, Phase.SERVING));
        assertThat(tracker.update(new InstanceState("b", 200, 1, Phase.SERVING)))
                .isTrue();
        assertThat(current().instance()).isEqualTo("b");
    }

    @Test
    void announcementOfEarlierProcessIsIgnored() {
        tracker.update(new InstanceState("b", 200, 1, Phase.SERVING));
        assertThat(tracker.update(new InstanceState("a", 100, 50, Phase.DRAINING)))
                .isFalse();
        assertThat(current().phase()).isEqualTo(Phase.SERVING);
    }

    @Test
    void lateAnnouncementsOfEarlierStartUnderSameNameAreIgnored() {
        tracker.update(new InstanceState("a", 200, 1, Phase.SERVING));
        tracker.deregister("a", Optional.of(200L));
        for (int sequence = 50; sequence < 54; sequence++) {
            assertThat(tracker.update(new InstanceState("a", 100, sequence, Phase.SERVING)))
                    .isFalse();
        }
        clock.advanceMillis(10_000);
        assertThat(tracker.update(new InstanceState("a", 100, 50, Phase.SERVING)))
                .isFalse();
        assertThat(current().phase()).isEqualTo(Phase.GONE);
    }

    // Guards against a server that is never used again because the wall clock was set back before it restarted.
    @Test
    void processThatKeepsAnnouncingEarlierStartReplacesSilentOne() {
        tracker.update(new InstanceState("a", 60_000, 9, Phase.SERVING));
        boolean replaced = false;
        for (int sequence = 1; sequence <= 4; sequence++) {
            clock.advanceMillis(1_500);
            replaced = tracker.update(new InstanceState("a", 100, sequence, Phase.SERVING));
        }
        assertThat(replaced).isTrue();
        assertThat(current().startMillis()).isEqualTo(100);
    }

    @Test
    void processThatAnnouncesEarlierStartDoesNotReplaceLiveOne() {
        for (int sequence = 1; sequence <= 10; sequence++) {
            tracker.update(new InstanceState("a", 60_000, sequence, Phase.SERVING));
            assertThat(tracker.update(new InstanceState("a", 100, sequence, Phase.SERVING)))
                    .isFalse();
            clock.advanceMillis(1_500);
        }
    }

    @Test
    void processThatStatesThatItIsLeavingStaysSo() {
        tracker.update(new InstanceState("a", 0, 9, Phase.SERVING));
        assertThat(tracker.drain("b")).isFalse();
        assertThat(tracker.drain("a")).isTrue();
        assertThat(tracker.drain("a")).isFalse();
        tracker.update(new InstanceState("a", 0, 10, Phase.SERVING));
        assertThat(current().phase()).isEqualTo(Phase.DRAINING);
    }

    @Test
    void restartUnderSameNameStartsNewSequence() {
        tracker.update(new InstanceState("a", 100, 40, Phase.DRAINING));
        assertThat(tracker.update(new InstanceState("a", 300, 1, Phase.SERVING)))
                .isTrue();
        assertThat(current().phase()).isEqualTo(Phase.SERVING);
    }

    @Test
    void announcementWithLowerSequenceOfSameProcessIsIgnored() {
        tracker.update(new InstanceState("a", 100, 5, Phase.DRAINING));
        assertThat(tracker.update(new InstanceState("a", 100, 4, Phase.SERVING)))
                .isFalse();
    }

    @Test
    void drainingProcessDoesNotReturnToServing() {
        tracker.update(new InstanceState("a", 100, 5, Phase.DRAINING));
        tracker.update(new InstanceState("a", 100, 6, Phase.SERVING));
        assertThat(current().phase()).isEqualTo(Phase.DRAINING);
    }

    @Test
    void processThatDeregistersWithoutDrainingIsGone() {
        tracker.update(new InstanceState("a", 100, 5, Phase.SERVING));
        assertThat(tracker.deregister("a", Optional.empty())).isTrue();
        assertThat(tracker.update(new InstanceState("a", 100, 6, Phase.SERVING)))
                .isFalse();
    }

    @Test
    void processThatDeregistersBeforeAnyAnnouncementIsGone() {
        tracker.deregister("a", Optional.empty());
        assertThat(tracker.update(new InstanceState("a", 0, 6, Phase.SERVING))).isFalse();
        assertThat(tracker.update(new InstanceState("b", 0, 1, Phase.SERVING))).isTrue();
    }

    @Test
    void deregistrationOfEarlierProcessDoesNotAffectLaterOne() {
        tracker.update(new InstanceState("a", 200, 1, Phase.SERVING));
        assertThat(tracker.deregister("a", Optional.of(100L))).isFalse();
        assertThat(tracker.deregister("b", Optional.empty())).isFalse();
        assertThat(current().phase()).isEqualTo(Phase.SERVING);
    }

    @Test
    void processWithoutStartTimeIsReplacedByOneThatHasJustStarted() {
        tracker.update(new InstanceState("a", 0, 30, Phase.SERVING));
        assertThat(tracker.update(new InstanceState("b", 0, 1, Phase.SERVING))).isTrue();
        assertThat(tracker.update(new InstanceState("a", 0, 31, Phase.SERVING))).isFalse();
    }

    @Test
    void lateAnnouncementWithoutStartTimeDoesNotReplaceLiveProcess() {
        tracker.update(new InstanceState("b", 0, 1, Phase.SERVING));
        assertThat(tracker.update(new InstanceState("a", 0, 30, Phase.SERVING))).isFalse();
        clock.advanceMillis(4_000);
        assertThat(tracker.update(new InstanceState("c", 0, 30, Phase.SERVING))).isTrue();
    }

    private InstanceState current() {
        return tracker.current().orElseThrow();
    }
}
