package io.mustardusher.result;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ResultCodeTest {

    @Test
    void everyCodeIsParsedFromItsNumber() {
        for (ResultCode code : ResultCode.values()) {
            assertThat(ResultCode.of(Integer.toString(code.number()))).isEqualTo(Optional.of(code));
        }
    }

    @Test
    void textOtherThanNumberOfCodeIsNotParsed() {
        assertThat(ResultCode.of(null)).isEqualTo(Optional.empty());
        assertThat(ResultCode.of("ok")).isEqualTo(Optional.empty());
    }

    @Test
    void labelIsTheNameInLowerCase() {
        assertThat(ResultCode.NO_SERVER.label()).isEqualTo("no_server");
    }

    @Test
    void blamesRequestOnlyForItsOwnFaults() {
        assertThat(ResultCode.SERVICE_UNKNOWN.blamesRequest()).isTrue();
        assertThat(ResultCode.HEADERS_TOO_LARGE.blamesRequest()).isTrue();
        assertThat(ResultCode.DEADLINE_EXPIRED.blamesRequest()).isFalse();
        assertThat(ResultCode.OVERLOADED.blamesRequest()).isFalse();
        assertThat(ResultCode.SETTINGS_INVALID.blamesRequest()).isFalse();
    }
}
