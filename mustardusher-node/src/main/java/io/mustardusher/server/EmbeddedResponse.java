package io.mustardusher.server;

import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;

import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpHeadersBuilder;

/**
 * Whether the body of a response contains another response. A server that stops within a body and goes on with another
 * response on the same connection leaves bytes that are complete by their length.
 */
enum EmbeddedResponse {
    /** The body contains no other response. */
    ABSENT,

    /** The body ends within what may be the beginning of another response, which only the next bytes can show. */
    POSSIBLE,

    /** The body contains a response to a request that the connection has carried. */
    PRESENT;

    private static final String HEAD_END = "\r\n\r\n";
    private static final String LINE_END = "\r\n";

    /**
     * Searches a body. A body may quote the protocol, so that a status line alone is no proof.
     *
     * @param body    the body
     * @param carried returns whether the headers of a response name a request that the connection has carried
     * @return what was found
     */
    static EmbeddedResponse find(byte[] body, Predicate<HttpHeaders> carried) {
        StatusLineSearch search = new StatusLineSearch();
        boolean open = false;
        for (int i = 0; i < body.length; i++) {
            if (!search.next(body[i])) {
                continue;
            }
            String rest = new String(body, i + 1, body.length - i - 1, StandardCharsets.ISO_8859_1);
            int end = rest.indexOf(HEAD_END);
            if (carried.test(parse(end < 0 ? completeLines(rest) : rest.substring(0, end)))) {
                return PRESENT;
            }
            open = end < 0;
        }
        return open || search.isWithinMatch() ? POSSIBLE : ABSENT;
    }

    private static String completeLines(String text) {
        int end = text.lastIndexOf(LINE_END);
        return end < 0 ? "" : text.substring(0, end);
    }

    private static HttpHeaders parse(String lines) {
        HttpHeadersBuilder headers = HttpHeaders.builder();
        for (String line : lines.split(LINE_END)) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.lastIndexOf(' ', colon) < 0) {
                headers.add(line.substring(0, colon), line.substring(colon + 1).trim());
            }
        }
        return headers.build();
    }
}
