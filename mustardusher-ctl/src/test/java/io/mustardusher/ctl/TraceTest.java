package io.mustardusher.ctl;

import java.net.URISyntaxException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Traces calls in {@code trouble-day.log}, which nodes wrote during a simulated day of operation. */
class TraceTest {

    private final List<LogLine> lines = LogLine.read(List.of(logFile()));

    @Test
    void listsCodesOfGateRefusalsForCallWithoutServer() {
        Trace trace = Trace.of("2c70e9eafb246fe1.0b5971672640a441", lines);

        assertThat(trace.cause()).startsWith("2001 NO_SERVER");
        assertThat(trace.cause()).contains("Gates refused: 2012 SLOWER_THAN_TARGET x2");
    }

    @Test
    void reportsDeadlinePassedForCallThatTimedOutAtServer() {
        assertThat(Trace.of("42ea6211ad8bd3bd", lines).cause()).startsWith("3002 DEADLINE_PASSED");
    }

    @Test
    void reportsConnectionLostForCallOfUnknownOutcome() {
        assertThat(Trace.of("02be06841bffaa79", lines).cause()).startsWith("3001 CONNECTION_LOST");
    }

    @Test
    void includesFailureLoggedByGateWhenServerDidNotAnswer() {
        LogLine dispatchFailed = new LogLine(
                Instant.EPOCH,
                "n",
                LogLine.DISPATCH_FAILED,
                "call a: server of s gave no answer, code 3001 after 40 ms: spoiled");
        LogLine callFailed = new LogLine(
                Instant.EPOCH, "n", LogLine.CALL_FAILED, "call a: no answer from s, code 3001 after attempt 1: lost");

        assertThat(Trace.of("a", List.of(dispatchFailed, callFailed)).cause()).endsWith("Its last gate saw: spoiled.");
    }

    @Test
    void reportsStatusOfAnsweredCall() {
        assertThat(Trace.of("2c70e9eafb246fe1", lines).cause()).isEqualTo("a backend server answered with 200");
    }

    @Test
    void tellsWhatCallerGot() {
        LogLine answered =
                new LogLine(Instant.EPOCH, "n", LogLine.ANSWERED, "call a: n-1 answers 200 after attempt 1, 45000 us");
        LogLine ended = new LogLine(
                Instant.EPOCH,
                "n",
                LogLine.ENDED,
                "call a: repeatable to s; sent to n-1 200 45000 us; caller got 200 in part after 46000 us, from n-1 over"
                        + " connection 7, request 3, no response discarded, signature cbf43926, passed on cbf43926");

        assertThat(Trace.of("a", List.of(answered, ended)).cause())
                .isEqualTo("a backend server answered with 200; its caller got 200 in part after 46000 us");
    }

    @Test
    void ordersEventsByTime() {
        List<Integer> events = Trace.of("02be06841bffaa79", lines).lines().stream()
                .map(LogLine::event)
                .toList();

        assertThat(events).containsExactly(LogLine.ROUTED, LogLine.CALL_FAILED).inOrder();
    }

    @Test
    void reportsThatNoNodeLoggedUnknownCall() {
        assertThat(Trace.of("0000", lines).cause()).startsWith("no node logged the call");
    }

    static Path logFile() {
        try {
            return Path.of(TraceTest.class.getResource("trouble-day.log").toURI());
        } catch (URISyntaxException e) {
            throw new AssertionError(e);
        }
    }
}
