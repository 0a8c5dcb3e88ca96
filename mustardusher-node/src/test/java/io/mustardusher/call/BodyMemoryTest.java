package io.mustardusher.call;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BodyMemoryTest {

    private final BodyMemory memory = new BodyMemory(100);
    private final List<String> givenUp = new ArrayList<>();

    @Test
    void releasedMemoryIsAvailableAgain() {
        BodyMemory.Share first = memory.open();
        assertThat(first.reserve(100)).isTrue();
        assertThat(memory.open().reserve(1)).isFalse();
        first.release();
        first.release();
        assertThat(memory.reservedBytes()).isEqualTo(0);
        assertThat(memory.open().reserve(100)).isTrue();
    }

    /** Guards against a sender without end whose bytes displace the bodies of others. */
    @Test
    void largestArrivingBodyIsGivenUpFirst() {
        BodyMemory.Share endless = open("endless");
        BodyMemory.Share sound = open("sound");
        assertThat(endless.reserve(60)).isTrue();
        assertThat(sound.reserve(30)).isTrue();
        assertThat(sound.reserve(20)).isTrue();
        assertThat(givenUp).containsExactly("endless");
        assertThat(memory.reservedBytes()).isEqualTo(50);
        assertThat(endless.reserve(1)).isFalse();
    }

    @Test
    void bodyThatWouldBeLargestIsRefused() {
        BodyMemory.Share first = open("first");
        assertThat(first.reserve(60)).isTrue();
        assertThat(open("second").reserve(70)).isFalse();
        assertThat(first.reserve(41)).isFalse();
        assertThat(givenUp).isEmpty();
        assertThat(memory.reservedBytes()).isEqualTo(60);
        assertThat(memory.givenUp()).isEqualTo(2);
    }

    @Test
    void wholeBodyIsNotGivenUp() {
        BodyMemory.Share whole = open("whole");
        whole.reserve(90);
        whole.complete();
        assertThat(open("other").reserve(20)).isFalse();
        assertThat(givenUp).isEmpty();
        assertThat(memory.reservedBytes()).isEqualTo(90);
    }

    @Test
    void nothingIsGivenUpForBodyThatNeverFits() {
        open("other").reserve(60);
        assertThat(open("too long").reserve(101)).isFalse();
        assertThat(givenUp).isEmpty();
    }

    private BodyMemory.Share open(String name) {
        return memory.open(() -> givenUp.add(name));
    }
}
