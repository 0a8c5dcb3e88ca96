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
}
