package io.mustardusher.lab.load;

import io.mustardusher.lab.standin.ExecutionLog;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class TallyTest {

    private final Tally tally = new Tally();
    private final ExecutionLog executions = new ExecutionLog();

    @Test
    void onlyCallsWithKeysCountAsDoubled() {
        tally.started("write", true);
        tally.started("read", false);
        for (int i = 0; i < 2; i++) {
            executions.record("write", "s");
            executions.record("read", "s");
        }
        assertThat(tally.doubled(executions)).isEqualTo(1);
    }

    @Test
    void callToldNotRunThatRanIsCounted() {
        tally.ended("ran", "s", CallResult.NOT_RUN, 1, 1, 0);
        tally.ended("truly", "s", CallResult.NOT_RUN, 1, 1, 0);
        tally.ended("unknown", "s", CallResult.UNKNOWN, 1, 1, 0);
        executions.record("ran", "s");
        executions.record("unknown", "s");
        assertThat(tally.falseNotRun(executions)).isEqualTo(1);
    }

    @Test
    void lateAnswerIsNotInTime() {
        tally.ended("a", "s", CallResult.OK, 900, 1, 0);
        tally.ended("b", "s", CallResult.OK, 1_100, 1, 0);
        assertThat(tally.inTime()).isEqualTo(1);
        assertThat(tally.count(CallResult.OK)).isEqualTo(2);
    }
}
