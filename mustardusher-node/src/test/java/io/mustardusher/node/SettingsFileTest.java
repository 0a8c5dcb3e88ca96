package io.mustardusher.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import io.mustardusher.generated.NodeSettings;
import io.mustardusher.result.MustardusherException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SettingsFileTest {

    @TempDir
    private Path directory;

    private Path file;

    @BeforeEach
    void write() throws IOException {
        file = directory.resolve("node.jsonc");
        Files.writeString(
                file,
                """
                { // one node
                  "id": "clips-1", "region": "gulf-south", "failureDomain": "mobile-bay", "host": "127.0.0.1",
                  "ports": {"caller": 1, "gate": 2, "frame": 3, "admin": 4},
                  "platform": {"url": "http://127.0.0.1:5"}, "credential": "0123456789abcdef"
                }
                """);
    }

    @Test
    void fillsInDefaults() {
        NodeSettings settings = SettingsFile.read(file, Map.of(), Map.of());
        assertThat(settings.getGossipIntervalMillis()).isEqualTo(200);
        assertThat(settings.getLog().isDecisions()).isTrue();
    }

    @Test
    void flagsOverrideEnvironmentAndEnvironmentOverridesFile() {
        Map<String, String> environment = Map.of("MUSHERD_PORTS_CALLER", "10", "MUSHERD_FAILURE_DOMAIN", "hattiesburg");
        NodeSettings settings = SettingsFile.read(file, environment, Map.of("ports.caller", "11"));
        assertThat(settings.getPorts().getCaller()).isEqualTo(11);
        assertThat(settings.getFailureDomain()).isEqualTo("hattiesburg");
    }

    @Test
    void reportsEveryFaultWithItsPath() {
        MustardusherException failure = assertThrows(
                MustardusherException.class,
                () -> SettingsFile.read(file, Map.of(), Map.of("ports.caller", "70000", "colour", "red")));
        assertThat(failure).hasMessageThat().contains("$.ports.caller");
        assertThat(failure).hasMessageThat().contains("65535");
        assertThat(failure).hasMessageThat().contains("colour");
    }

    @Test
    void reportsNameOfMissingFile() {
        MustardusherException failure = assertThrows(
                MustardusherException.class, () -> SettingsFile.read(directory.resolve("none"), Map.of(), Map.of()));
        assertThat(failure).hasMessageThat().contains("none");
    }
}
