package io.mustardusher.call;

import java.util.concurrent.CompletionException;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.netty.util.concurrent.ImmediateEventExecutor;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ExchangeTest {

    /** A status that is none was once passed on by streams, whose client accepts any number. */
    @ParameterizedTest
    @ValueSource(ints = {0, 20, 99, 600, 999, 1000})
    void answerWithoutProperStatusIsLost(int code) {
        Exchange exchange = exchange(code);
        CompletionException lost =
                assertThrows(CompletionException.class, () -> exchange.headers().join());
        assertThat(((MustardusherException) lost.getCause()).code()).isEqualTo(ResultCode.CONNECTION_LOST);
    }

    @Test
    void answerWithUncommonStatusIsPassedOn() {
        assertThat(exchange(599).headers().join().status().code()).isEqualTo(599);
    }

    private static Exchange exchange(int code) {
        return Exchange.ofLocal(
                HttpResponse.of(ResponseHeaders.of(HttpStatus.valueOf(code))), ImmediateEventExecutor.INSTANCE);
    }
}
