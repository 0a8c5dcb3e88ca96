package io.mustardusher.schema;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class JsonTreeTest {

    private static final ObjectMapper MAPPER = Schema.mapper();

    /** Guards against trees and texts that differ from those of the object mapper. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "null",
                "3 4",
                "\"text\"",
                "{}",
                "[]",
                "{\"a\": [1, 2147483648, 9223372036854775808, -0, 1.5, 1e400, 0.1], \"b\": {\"c\": [[], {}]}}",
                "{\"quote\\\"\\u0001\\n\": \"\\ud83d\\ude00 \\\\ /\", \"t\": true, \"f\": false, \"n\": null}",
                "// comment\n{\"a\": [1, 2,], /* b */ \"c\": 3,}"
            })
    void readsAndWritesLikeTheMapper(String text) throws JsonProcessingException {
        JsonNode tree = JsonTree.read(text);
        assertThat(tree).isEqualTo(MAPPER.readTree(text));
        assertThat(JsonTree.write(tree)).isEqualTo(tree.isMissingNode() ? "null" : MAPPER.writeValueAsString(tree));
    }

    /** Guards against malformed texts that are accepted, or reported otherwise than by the object mapper. */
    @ParameterizedTest
    @ValueSource(
            strings = {"{", "[", "[1", "{\"a\"", "{\"a\":", "{\"a\": 1, \"a\": 2}", "{a: 1}", "nul", "[1 2]", "]", "\"a"
            })
    void malformedTextIsRejectedLikeByTheMapper(String text) {
        JsonProcessingException expected = assertThrows(JsonProcessingException.class, () -> MAPPER.readTree(text));
        JsonProcessingException actual = assertThrows(JsonProcessingException.class, () -> JsonTree.read(text));
        assertThat(actual).hasMessageThat().isEqualTo(expected.getMessage());
    }

    /** Guards against a stack overflow on input from other processes. */
    @Test
    void deepNestingIsRejected() {
        assertThrows(JsonProcessingException.class, () -> JsonTree.read("[".repeat(100_000)));
    }
}
