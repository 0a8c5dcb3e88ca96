package io.mustardusher.http;

import java.util.ArrayList;
import java.util.List;

import io.mustardusher.call.BodyMemory;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a node that runs out of memory because callers do not take their responses. */
class UnsentResponsesTest {

    private static final int LENGTH = 100_000;

    private final BodyMemory memory = new BodyMemory(5 * LENGTH - 1);
    private final List<String> closed = new ArrayList<>();

    @Test
    void connectionThatTakesLeastIsClosedForOthers() {
        UnsentResponses slow = open("slow");
        assertThat(slow.add(LENGTH)).isTrue();
        assertThat(slow.add(LENGTH)).isTrue();
        assertThat(slow.add(LENGTH)).isTrue();
        UnsentResponses sound = open("sound");
        assertThat(sound.add(LENGTH)).isTrue();
        assertThat(sound.add(LENGTH)).isTrue();
        assertThat(closed).containsExactly("slow");
        assertThat(slow.add(1)).isFalse();
    }

    @Test
    void sentResponseLeavesRoom() {
        UnsentResponses responses = open("sound");
        for (int i = 0; i < 20; i++) {
            assertThat(responses.add(LENGTH)).isTrue();
            assertThat(responses.isLarge()).isTrue();
            responses.remove(LENGTH);
        }
        assertThat(responses.isLarge()).isFalse();
        assertThat(memory.reservedBytes()).isEqualTo(0);
        assertThat(closed).isEmpty();
    }

    private UnsentResponses open(String name) {
        return new UnsentResponses(memory, () -> closed.add(name));
    }
}
