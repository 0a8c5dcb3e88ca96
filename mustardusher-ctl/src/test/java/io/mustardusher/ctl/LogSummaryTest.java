package io.mustardusher.ctl;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;

import io.mustardusher.result.ResultCode;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LogSummaryTest {

    private final LogSummary summary = new LogSummary(LogLine.read(List.of(TraceTest.logFile())));

    @Test
    void countsCallsByOutcome() {
        assertThat(summary.countsByOutcome()).containsEntry("failed by a server", 1L);
        assertThat(summary.countsByOutcome()).containsEntry("no answer, unknown", 3L);
        assertThat(summary.countsByOutcome()).containsEntry("no answer, not-run", 1L);
    }

    @Test
    void countsGateRefusalsByCode() {
        assertThat(summary.countsByCode(LogLine.GATE_REFUSED)).containsEntry(ResultCode.DEADLINE_UNREACHABLE, 1L);
    }

    @Test
    void printsBarForEachSecondWithUnansweredCalls() {
        StringWriter text = new StringWriter();
        summary.print(new PrintWriter(text, true));

        assertThat(text.toString()).contains("2026-07-06T14:44:14Z      1  ####");
    }
}
