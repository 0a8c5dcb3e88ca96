package io.mustardusher.schema;

import java.util.concurrent.atomic.AtomicReference;

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

    /** Size of the stacks of a node's threads, in bytes. */
    private static final long STACK_BYTES = 512 << 10;

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

    /** Guards against input that is nested less deeply than the parser permits, but overflows the stack of a node. */
    @ParameterizedTest
    @ValueSource(ints = {JsonTree.MAX_NESTING + 1, 900, 5_000, 30_000})
    void nestingThatOverflowsSmallStackIsRejected(int levels) throws InterruptedException {
        String objects = "{\"a\":".repeat(levels) + "1" + "}".repeat(levels);
        String arrays = "[".repeat(levels) + "]".repeat(levels);
        assertThat(failureOnSmallStack(objects)).isInstanceOf(JsonProcessingException.class);
        assertThat(failureOnSmallStack(arrays)).isInstanceOf(JsonProcessingException.class);
    }

    /** Guards against an answer of the table service whose tree takes many times the memory of its text. */
    @Test
    void textWithTooManyValuesIsRejected() {
        String values = "{},".repeat(JsonTree.MAX_TOKENS);
        assertThrows(JsonProcessingException.class, () -> JsonTree.read("[" + values + "{}]"));
    }

    @Test
    void nestingUpToLimitIsRead() throws JsonProcessingException {
        String text = "[".repeat(JsonTree.MAX_NESTING) + "]".repeat(JsonTree.MAX_NESTING);
        assertThat(JsonTree.write(JsonTree.read(text))).isEqualTo(text);
    }

    private static Throwable failureOnSmallStack(String text) throws InterruptedException {
        AtomicReference<Throwable> failure = new AtomicReference<>();
        Thread reader = new Thread(
                null,
                () -> {
                    try {
                        JsonTree.read(text);
                    } catch (Throwable e) {
                        failure.set(e);
                    }
                },
                "small stack",
                STACK_BYTES);
        reader.start();
        reader.join();
        return failure.get();
    }
}
