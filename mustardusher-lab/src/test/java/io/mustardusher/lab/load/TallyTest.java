package io.mustardusher.lab.load;

import io.mustardusher.lab.standin.ExecutionLog;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class TallyTest {

    private final Tally tally = new Tally();
    private final ExecutionLog executions = new ExecutionLog();

    @Test
    void countsOnlyNonIdempotentCallsAsDuplicated() {
        tally.recordStart("write", true);
        tally.recordStart("read", false);
        for (int i = 0; i < 2; i++) {
            executions.record("write", "s");
            executions.record("read", "s");
        }
        assertThat(tally.duplicatedCalls(executions)).isEqualTo(1);
    }

    @Test
    void countsNotRunCallsThatWereExecuted() {
        tally.recordEnd("ran", "s", CallResult.NOT_RUN, 1, 1, 0);
        tally.recordEnd("truly", "s", CallResult.NOT_RUN, 1, 1, 0);
        tally.recordEnd("unknown", "s", CallResult.UNKNOWN, 1, 1, 0);
        executions.record("ran", "s");
        executions.record("unknown", "s");
        assertThat(tally.falseNotRun(executions)).isEqualTo(1);
    }

    @Test
    void lateSuccessIsNotCountedAsInTime() {
        tally.recordEnd("a", "s", CallResult.OK, 900, 1, 0);
        tally.recordEnd("b", "s", CallResult.OK, 1_100, 1, 0);
        assertThat(tally.inTime()).isEqualTo(1);
        assertThat(tally.count(CallResult.OK)).isEqualTo(2);
    }
}
