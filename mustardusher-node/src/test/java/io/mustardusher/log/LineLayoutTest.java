package io.mustardusher.log;

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

    @Test
    void escapesControlCharacters() {
        assertThat(line("text", "MUSH2001: a\nfake line\u001b[0m").strip()).doesNotContain("\n");
        assertThat(line("text", "MUSH2001: a\u001b[0m")).doesNotContain("\u001b");
    }

    private static String line(String format, String message) {
        LoggerContext context = new LoggerContext();
        LoggingEvent event =
                new LoggingEvent("test", context.getLogger("io.mustardusher.test"), Level.INFO, message, null, null);
        return LineLayout.of(format).doLayout(event);
    }
}
