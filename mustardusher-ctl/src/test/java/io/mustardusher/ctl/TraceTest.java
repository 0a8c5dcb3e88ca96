package io.mustardusher.ctl;

import java.net.URISyntaxException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Reads lines that nodes wrote on a played day. */
class TraceTest {

    private final List<LogLine> lines = LogLine.read(List.of(recorded()));

    @Test
    void refusedCallNamesWhatEachGateSaid() {
        Trace trace = Trace.of("2c70e9eafb246fe1.0b5971672640a441", lines);

        assertThat(trace.cause()).startsWith("2001 NO_SERVER");
        assertThat(trace.cause()).contains("Gates refused: 2012 SLOWER_THAN_TARGET x2");
    }

    @Test
    void callThatTimedOutAtAServerIsNamedSo() {
        assertThat(Trace.of("42ea6211ad8bd3bd", lines).cause()).startsWith("3002 DEADLINE_PASSED");
    }

    @Test
    void callOfUnknownOutcomeIsNamedSo() {
        assertThat(Trace.of("02be06841bffaa79", lines).cause()).startsWith("3001 CONNECTION_LOST");
    }

    @Test
    void whatTheGateSawOfALostCallIsNamed() {
        LogLine lost = new LogLine(
                Instant.EPOCH,
                "n",
                LogLine.SERVER_LOST,
                "call a: server of s gave no answer, code 3001 after 40 ms: spoiled");
        LogLine end = new LogLine(
                Instant.EPOCH, "n", LogLine.NOT_ROUTED, "call a: no answer from s, code 3001 after attempt 1: lost");

        assertThat(Trace.of("a", List.of(lost, end)).cause()).endsWith("Its last gate saw: spoiled.");
    }

    @Test
    void answeredCallTellsItsStatus() {
        assertThat(Trace.of("2c70e9eafb246fe1", lines).cause()).isEqualTo("a backend server answered with 200");
    }

    @Test
    void linesAreInTheOrderOfTheirTimes() {
        List<Integer> events = Trace.of("02be06841bffaa79", lines).lines().stream()
                .map(LogLine::event)
                .toList();

        assertThat(events).containsExactly(LogLine.ROUTED, LogLine.NOT_ROUTED).inOrder();
    }

    @Test
    void callThatNoNodeKnowsHasNoLines() {
        assertThat(Trace.of("0000", lines).cause()).startsWith("no node logged the call");
    }

    static Path recorded() {
        try {
            return Path.of(TraceTest.class.getResource("trouble-day.log").toURI());
        } catch (URISyntaxException e) {
            throw new AssertionError(e);
        }
    }
}
