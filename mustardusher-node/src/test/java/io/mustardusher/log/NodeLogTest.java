package io.mustardusher.log;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class NodeLogTest {

    private static final Pattern EVENT =
            Pattern.compile("Level\\.([A-Z]+)\\)\\s*@Message\\(id = (\\d+), value = \"([^\"]*)\"\\)");

    @Test
    void documentationListsExactlyTheEvents() throws IOException {
        String source = Files.readString(Path.of("src/main/java/io/mustardusher/log/NodeLog.java"));
        Matcher events = EVENT.matcher(source);
        List<String> expected = new ArrayList<>();
        while (events.find()) {
            expected.add("| MUSH%s | %s | `%s` |".formatted(events.group(2), events.group(1), events.group(3)));
        }
        List<String> rows = Files.readAllLines(Path.of("../docs/LOG-EVENTS.md")).stream()
                .filter(line -> line.startsWith("| MUSH"))
                .toList();
        assertThat(expected).isNotEmpty();
        assertThat(rows).containsExactlyElementsIn(expected);
    }
}
