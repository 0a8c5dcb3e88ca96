package io.mustardusher.log;

import java.time.Instant;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.fasterxml.jackson.databind.JsonNode;
import io.mustardusher.schema.Schema;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LineLayoutTest {

    @Test
    void jsonLineHoldsNumberAndTextOfEvent() throws Exception {
        JsonNode line = Schema.mapper().readTree(line("json", "MUSH2001: route \"a\""));
        assertThat(line.path("event").asInt()).isEqualTo(2001);
        assertThat(line.path("text").asText()).isEqualTo("route \"a\"");
    }

    /** Lines about failed tasks once told nothing of the failure. */
    @Test
    void namesExceptionOfEvent() {
        IllegalStateException failure = new IllegalStateException("expected\nby the test");
        LoggingEvent event = new LoggingEvent(
                "test",
                new LoggerContext().getLogger("io.mustardusher.test"),
                Level.WARN,
                "task failed",
                failure,
                null);
        assertThat(LineLayout.of("text").doLayout(event))
                .endsWith(" task failed: java.lang.IllegalStateException: expected\\nby the test\n");
    }

    @Test
    void escapesControlCharacters() {
        assertThat(line("text", "MUSH2001: a\nfake line\u001b[0m").strip()).doesNotContain("\n");
        assertThat(line("text", "MUSH2001: a\u001b[0m")).doesNotContain("\u001b");
    }

    @Test
    void writesTimeInMilliseconds() {
        LineLayout layout = (LineLayout) LineLayout.of("text");
        assertThat(layout.doLayout(event("a", 1_700_000_000_007L))).startsWith("2023-11-14T22:13:20.007Z ");
        assertThat(layout.doLayout(event("a", 1_700_000_000_070L))).startsWith("2023-11-14T22:13:20.070Z ");
        assertThat(layout.doLayout(event("a", 1_700_000_001_700L))).startsWith("2023-11-14T22:13:21.700Z ");
        assertThat(layout.doLayout(event("a", 1_700_000_000_000L))).startsWith("2023-11-14T22:13:20.000Z ");
    }

    @Test
    void writesUnnumberedMessageWhole() {
        assertThat(line("text", "MUSH12: a")).endsWith(" MUSH0000 MUSH12: a\n");
    }

    private static LoggingEvent event(String message, long epochMillis) {
        LoggingEvent event = new LoggingEvent(
                "test", new LoggerContext().getLogger("io.mustardusher.test"), Level.INFO, message, null, null);
        event.setInstant(Instant.ofEpochMilli(epochMillis));
        return event;
    }

    private static String line(String format, String message) {
        LoggerContext context = new LoggerContext();
        LoggingEvent event =
                new LoggingEvent("test", context.getLogger("io.mustardusher.test"), Level.INFO, message, null, null);
        return LineLayout.of(format).doLayout(event);
    }
}
