package io.mustardusher.http;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against nodes that hold long responses whole, and against broken ones that look complete. */
class ResponseInPartsTest {

    private static final RequestLimits LIMITS = new RequestLimits(16 << 10, 1 << 20, 3_000, 15_000);
    private static final HttpData PART = HttpData.wrap("p".repeat(100_000).getBytes());
    private static final int PARTS = 20;

    private final Clock.Manual clock = new Clock.Manual();
    private final HttpResponseWriter response = HttpResponse.streaming();
    private final CallerChannel caller = new CallerChannel(
            (request, exchange) -> request.path().equals("/long") ? response : HttpResponse.of("short"),
            () -> LIMITS,
            clock);

    @Test
    void responsesKeepTheirOrder() {
        caller.send("GET /long HTTP/1.1\r\nHost: s\r\n\r\nGET /short HTTP/1.1\r\nHost: s\r\n\r\n");
        write(ResponseHeaders.builder(HttpStatus.OK).contentLength((long) PARTS * PART.length()));
        assertThat(caller.answers()).startsWith("HTTP/1.1 200 OK\r\n");
        assertThat(caller.answers()).doesNotContain("short");
        response.close();
        assertThat(caller.answers()).endsWith("short");
        assertThat(caller.answers().chars().filter(c -> c == 'p').count()).isAtLeast((long) PARTS * PART.length());
        assertThat(caller.isOpen()).isTrue();
        assertThat(caller.isReading()).isTrue();
    }

    @Test
    void responseWithoutLengthIsSentInChunks() {
        caller.send("GET /long HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n");
        write(ResponseHeaders.builder(HttpStatus.OK));
        response.close();
        assertThat(caller.answers()).contains("transfer-encoding: chunked\r\n");
        assertThat(caller.answers()).endsWith("\r\n0\r\n\r\n");
        assertThat(caller.isOpen()).isFalse();
    }

    @Test
    void responseThatBreaksOffClosesConnection() {
        caller.send("GET /long HTTP/1.1\r\nHost: s\r\n\r\n");
        write(ResponseHeaders.builder(HttpStatus.OK));
        response.close(new IllegalStateException("cut"));
        assertThat(caller.answers()).doesNotContain("\r\n0\r\n");
        assertThat(caller.isOpen()).isFalse();
    }

    @Test
    void callerWhoLeavesCancelsResponse() {
        caller.send("GET /long HTTP/1.1\r\nHost: s\r\n\r\n");
        write(ResponseHeaders.builder(HttpStatus.OK));
        caller.disconnect();
        assertThat(response.isOpen()).isFalse();
    }

    private void write(ResponseHeadersBuilder headers) {
        response.write(headers.build());
        for (int i = 0; i < PARTS; i++) {
            response.write(PART);
            caller.answers();
        }
    }
}
