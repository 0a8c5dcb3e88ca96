package io.mustardusher.instance;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ConditionsTrackerTest {

    private static final String INSTANCE = "i-1";
    private static final ServerConditions LIMITED = new ServerConditions(17.9, false);
    private static final ServerConditions LEAVING = new ServerConditions(Double.POSITIVE_INFINITY, true);

    private final ConditionsTracker tracker = new ConditionsTracker();

    @BeforeEach
    void setInstance() {
        tracker.setInstance(INSTANCE);
    }

    @Test
    void latestLimitIsInForce() {
        assertThat(tracker.recordAnswer(INSTANCE, LIMITED, 0, 10)).isTrue();
        assertThat(tracker.recordAnswer(INSTANCE, LIMITED, 5, 11)).isFalse();
        ServerConditions lower = new ServerConditions(9, false);
        assertThat(tracker.recordAnswer(INSTANCE, lower, 6, 12)).isTrue();
        assertThat(tracker.current()).isEqualTo(lower);
    }

    @Test
    void limitEndsWithAnswerToLaterCall() {
        tracker.recordAnswer(INSTANCE, LIMITED, 0, 10);
        assertThat(tracker.recordAnswer(INSTANCE, ServerConditions.NONE, 9, 20)).isFalse();
        assertThat(tracker.current()).isEqualTo(LIMITED);
        assertThat(tracker.recordAnswer(INSTANCE, ServerConditions.NONE, 11, 21))
                .isTrue();
        assertThat(tracker.current()).isEqualTo(ServerConditions.NONE);
    }

    @Test
    void leavingInstanceDoesNotReturn() {
        tracker.recordAnswer(INSTANCE, LEAVING, 0, 10);
        tracker.recordAnswer(INSTANCE, ServerConditions.NONE, 11, 20);
        assertThat(tracker.current().leaving()).isTrue();
    }

    @Test
    void ignoresAnswerOfOtherInstance() {
        assertThat(tracker.recordAnswer("i-0", LEAVING, 0, 10)).isFalse();
        assertThat(tracker.current()).isEqualTo(ServerConditions.NONE);
    }

    @Test
    void limitReceivedByOtherNodeAppliesUntilInstanceAnswersThisOne() {
        InstanceConditions hint = new InstanceConditions(INSTANCE, LIMITED);
        assertThat(tracker.recordHint(hint, 10)).isTrue();
        tracker.recordAnswer(INSTANCE, ServerConditions.NONE, 11, 20);
        assertThat(tracker.recordHint(hint, 21)).isFalse();
        assertThat(tracker.current()).isEqualTo(ServerConditions.NONE);
    }

    @Test
    void instanceThatToldOtherNodeOfLeavingDoesNotReturn() {
        tracker.recordAnswer(INSTANCE, ServerConditions.NONE, 0, 10);
        assertThat(tracker.recordHint(new InstanceConditions(INSTANCE, LEAVING), 20))
                .isTrue();
        assertThat(tracker.current().leaving()).isTrue();
        assertThat(tracker.recordHint(new InstanceConditions("i-2", LIMITED), 21))
                .isFalse();
    }

    @Test
    void hintContainsInstance() {
        assertThat(tracker.toHint()).isEmpty();
        tracker.recordAnswer(INSTANCE, LIMITED, 0, 10);
        assertThat(tracker.toHint()).hasValue(new InstanceConditions(INSTANCE, LIMITED));
    }

    @Test
    void newInstanceStartsWithoutConditions() {
        tracker.recordAnswer(INSTANCE, LEAVING, 0, 10);
        tracker.setInstance("i-2");
        assertThat(tracker.current()).isEqualTo(ServerConditions.NONE);
    }
}
