package io.mustardusher.entry;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RequestLimits;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class CallLimitsTest {

    private static final RequestLimits LIMITS = new RequestLimits(200, 1_000, 0, 0);

    @Test
    void acceptsRequestWithinLimits() {
        CallLimits.check(headers(100, 1_000), LIMITS);
    }

    @Test
    void rejectsHeadersAboveLimit() {
        assertThat(codeOf(() -> CallLimits.check(headers(201, 0), LIMITS))).isEqualTo(ResultCode.HEADERS_TOO_LARGE);
    }

    @Test
    void rejectsContentLengthAboveLimit() {
        assertThat(codeOf(() -> CallLimits.check(headers(1, 1_001), LIMITS))).isEqualTo(ResultCode.BODY_TOO_LARGE);
    }

    @Test
    void rejectsReceivedBodyAboveLimit() {
        assertThat(codeOf(() -> CallLimits.check(1_001, LIMITS))).isEqualTo(ResultCode.BODY_TOO_LARGE);
    }

    @Test
    void acceptsHeadersWithoutContentLength() {
        CallLimits.check(RequestHeaders.of(HttpMethod.POST, "/"), LIMITS);
    }

    private static ResultCode codeOf(Runnable check) {
        return assertThrows(MustardusherException.class, check::run).code();
    }

    private static RequestHeaders headers(int length, long body) {
        return RequestHeaders.builder(HttpMethod.POST, "/")
                .set("x-long", "v".repeat(length))
                .contentLength(body)
                .build();
    }
}
