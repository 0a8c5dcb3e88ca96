package io.mustardusher.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Conversion between the messages of Netty's codec and those of the node. */
final class HttpMessages {

    private static final String SCHEME_SEPARATOR = "://";

    /** Headers that concern a single connection, RFC 9110, section 7.6.1. */
    private static final Set<String> HOP_BY_HOP =
            Set.of("connection", "keep-alive", "proxy-connection", "te", "transfer-encoding", "upgrade", "expect");

    private HttpMessages() {}

    /**
     * Converts the head of a request. Headers that concern only the connection are left out.
     *
     * @param head the head
     * @return the headers, with the path as it was received
     * @throws IllegalArgumentException if the head is not a valid one
     */
    static RequestHeaders toRequestHeaders(HttpRequest head) {
        HttpMethod method = HttpMethod.tryParse(head.method().name());
        if (method == null) {
            throw new IllegalArgumentException("unknown method");
        }
        String authority = head.headers().get(HttpHeaderNames.HOST);
        String path = head.uri();
        int scheme = path.startsWith("/") ? -1 : path.indexOf(SCHEME_SEPARATOR);
        if (scheme > 0) {
            int start = scheme + SCHEME_SEPARATOR.length();
            int slash = path.indexOf('/', start);
            authority = path.substring(start, slash < 0 ? path.length() : slash);
            path = slash < 0 ? "/" : path.substring(slash);
        }
        RequestHeadersBuilder headers = RequestHeaders.builder(method, path);
        if (authority != null) {
            headers.authority(authority);
        }
        Set<String> excluded = namedByConnection(head);
        for (Map.Entry<String, String> field : head.headers()) {
            String name = field.getKey().toLowerCase(Locale.ROOT);
            if (!name.equals("host") && !excluded.contains(name)) {
                headers.add(name, field.getValue());
            }
        }
        return headers.build();
    }

    /**
     * Converts a response. The length of the content is added unless the response cannot have any.
     *
     * @param response the response
     * @param toHead   whether the request had the method HEAD, so that no content is sent
     * @return the response to write
     */
    static FullHttpResponse toFullResponse(AggregatedHttpResponse response, boolean toHead) {
        byte[] bytes = response.content().array();
        ByteBuf content = toHead || bytes.length == 0 ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(bytes);
        FullHttpResponse written = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status().code()),
                content);
        response.headers().forEach((name, value) -> {
            if (name.charAt(0) != ':') {
                written.headers().add(name, value);
            }
        });
        boolean withoutContent = response.status().isContentAlwaysEmpty();
        if (withoutContent) {
            written.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        } else if (!toHead || bytes.length > 0) {
            written.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        }
        return written;
    }

    /**
     * Converts the head of a response whose content follows in parts, in chunks unless its length is stated.
     *
     * @param headers headers of the response
     * @param closes  whether the connection closes after the response
     * @return the head to write
     */
    static HttpResponse toHead(ResponseHeaders headers, boolean closes) {
        HttpResponse head = new DefaultHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(headers.status().code()));
        headers.forEach((name, value) -> {
            if (name.charAt(0) != ':') {
                head.headers().add(name, value);
            }
        });
        HttpUtil.setTransferEncodingChunked(head, headers.contentLength() < 0);
        if (closes) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return head;
    }

    // The usual values name nothing, and most requests have none.
    private static Set<String> namedByConnection(HttpRequest head) {
        String connection = head.headers().get(HttpHeaderNames.CONNECTION);
        if (connection == null || connection.equalsIgnoreCase("keep-alive") || connection.equalsIgnoreCase("close")) {
            return HOP_BY_HOP;
        }
        Set<String> names = new HashSet<>(HOP_BY_HOP);
        for (String value : head.headers().getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.toLowerCase(Locale.ROOT).split(",")) {
                names.add(name.trim());
            }
        }
        return names;
    }
}
