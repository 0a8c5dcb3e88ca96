package io.mustardusher.http;

import com.linecorp.armeria.common.RequestHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class HttpMessagesTest {

    @Test
    void keepsPathAsReceived() {
        assertThat(HttpMessages.toRequestHeaders(request("GET", "/a//b/%2e%2E/?q=%20x;y"))
                        .path())
                .isEqualTo("/a//b/%2e%2E/?q=%20x;y");
    }

    @Test
    void takesAuthorityFromAbsoluteUri() {
        HttpRequest request = request("GET", "http://other.example:80/a");
        request.headers().set("Host", "s.example");
        RequestHeaders headers = HttpMessages.toRequestHeaders(request);
        assertThat(headers.authority()).isEqualTo("other.example:80");
        assertThat(headers.path()).isEqualTo("/a");
    }

    @Test
    void leavesOutHeadersThatConcernTheConnection() {
        HttpRequest request = request("GET", "/");
        request.headers()
                .set("Connection", "close, X-Private")
                .set("X-Private", "1")
                .set("Keep-Alive", "timeout=1");
        request.headers().set("X-Kept", "2");
        RequestHeaders headers = HttpMessages.toRequestHeaders(request);
        assertThat(headers.contains("x-private")).isFalse();
        assertThat(headers.contains("connection")).isFalse();
        assertThat(headers.contains("keep-alive")).isFalse();
        assertThat(headers.get("x-kept")).isEqualTo("2");
    }

    @Test
    void rejectsUnknownMethod() {
        assertThrows(IllegalArgumentException.class, () -> HttpMessages.toRequestHeaders(request("INVENT", "/")));
    }

    private static HttpRequest request(String method, String uri) {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri);
    }
}
