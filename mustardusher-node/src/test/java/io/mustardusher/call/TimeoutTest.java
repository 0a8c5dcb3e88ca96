package io.mustardusher.call;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class TimeoutTest {

    @Test
    void parsesUnits() {
        assertThat(Timeout.parse("2S").getAsLong()).isEqualTo(2_000_000_000L);
        assertThat(Timeout.parse("250m").getAsLong()).isEqualTo(250_000_000L);
        assertThat(Timeout.parse("7u").getAsLong()).isEqualTo(7_000L);
    }

    @Test
    void rejectsMalformedText() {
        assertThat(Timeout.parse("")).isEqualTo(java.util.OptionalLong.empty());
        assertThat(Timeout.parse("m")).isEqualTo(java.util.OptionalLong.empty());
        assertThat(Timeout.parse("123456789m")).isEqualTo(java.util.OptionalLong.empty());
        assertThat(Timeout.parse("-1m")).isEqualTo(java.util.OptionalLong.empty());
    }

    @Test
    void parsesFormattedTime() {
        for (long nanos : new long[] {0, 1_000, 2_000_000, 90_000_000_000L, 600_000_000_000L}) {
            assertThat(Timeout.parse(Timeout.format(nanos)).getAsLong()).isEqualTo(nanos);
        }
    }
}
