package io.mustardusher.log;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LoggedNameTest {

    @Test
    void keepsNameOfUsualLength() {
        assertThat(LoggedName.of("c-1")).isEqualTo("c-1");
    }

    @Test
    void acceptsMissingName() {
        assertThat(LoggedName.of(null)).isNull();
    }

    @Test
    void cutsLongName() {
        assertThat(LoggedName.of("x".repeat(32_000))).hasLength(200);
    }
}
