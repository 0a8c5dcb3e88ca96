package io.mustardusher.lab.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ScenarioTest {

    @Test
    void parsesStatements() {
        Scenario scenario = Scenario.parse(
                """
                deployment graz   # a comment
                length 10s
                load katalog 100/s writes 25% deadline 500ms from 1s to 2s
                at 3s slow katalog-1 x10
                expect doubled = 0
                expect ok >= 99%
                """);
        assertThat(scenario.deployment()).isEqualTo("graz");
        assertThat(scenario.loads().get(0).writeShare()).isEqualTo(0.25);
        assertThat(scenario.steps().get(0).action()).isEqualTo(Action.SLOW);
        assertThat(scenario.expectations().get(1).measure()).isEqualTo("okPercent");
    }

    @Test
    void reportsLineNumberOfInvalidStatement() {
        IllegalArgumentException exception = assertThrows(
                IllegalArgumentException.class, () -> Scenario.parse("length 10s\nat 3s slow katalog-1\n"));
        assertThat(exception).hasMessageThat().contains("line 2");
    }

    @Test
    void expectationDoesNotHoldWhenMeasureIsMissing() {
        Expectation expectation = Expectation.parse(new String[] {"doubled", "=", "0"});
        assertThat(expectation.holds(Map.of())).isFalse();
        assertThat(expectation.holds(Map.of("doubled", 0L))).isTrue();
        assertThat(expectation.holds(Map.of("doubled", 1L))).isFalse();
    }

    @Test
    void readsAllScenarioFilesOfRepository() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("../scenarios"))) {
            for (Path file : files.toList()) {
                assertThat(Scenario.read(file).expectations()).isNotEmpty();
            }
        }
    }
}
