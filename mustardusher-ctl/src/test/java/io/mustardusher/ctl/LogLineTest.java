package io.mustardusher.ctl;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LogLineTest {

    private static final String EVENT =
            "{\"time\":\"2026-07-06T14:44:14.102Z\",\"level\":\"INFO\",\"event\":2002,\"text\":\"call a: no answer\"}";

    @Test
    void takesNodeFromLastWordBeforeEvent() {
        assertThat(LogLine.parse("  22.1 node-7 " + EVENT, "file").orElseThrow().node())
                .isEqualTo("node-7");
    }

    @Test
    void takesNodeFromFileNameWhenLineNamesNone() {
        assertThat(LogLine.parse(EVENT, "file").orElseThrow().node()).isEqualTo("file");
    }

    @Test
    void skipsLinesThatAreNotEvents() {
        assertThat(LogLine.parse("OpenJDK warning", "file")).isEqualTo(Optional.empty());
        assertThat(LogLine.parse("{\"time\":\"2026-07", "file")).isEqualTo(Optional.empty());
        assertThat(LogLine.parse("{\"a\":1}", "file")).isEqualTo(Optional.empty());
    }

    @Test
    void returnsNoCallForEventThatConcernsNoCall() {
        assertThat(LogLine.parse(EVENT.replace("call a: ", "member b "), "file")
                        .orElseThrow()
                        .call())
                .isEqualTo(Optional.empty());
    }
}
