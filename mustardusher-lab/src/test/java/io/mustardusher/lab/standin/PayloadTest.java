package io.mustardusher.lab.standin;

import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PayloadTest {

    @Test
    void acceptsCompleteBodyOfSameRequest() {
        assertThat(Payload.matches("id-1", 1_000, Payload.of("id-1", 1_000))).isTrue();
    }

    @Test
    void rejectsBodyOfAnotherRequest() {
        assertThat(Payload.matches("id-1", 1_000, Payload.of("id-2", 1_000))).isFalse();
    }

    @Test
    void rejectsTruncatedBody() {
        byte[] truncated = Arrays.copyOf(Payload.of("id-1", 1_000), 999);
        assertThat(Payload.matches("id-1", 1_000, truncated)).isFalse();
    }
}
