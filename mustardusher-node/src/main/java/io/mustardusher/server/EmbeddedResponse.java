package io.mustardusher.server;

import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.linecorp.armeria.common.HttpHeaders;

/**
 * Whether the body of a response contains another response. A server that stops within a body and goes on with another
 * response on the same connection leaves bytes that are complete by their length.
 */
enum EmbeddedResponse {
    /** The body contains no other response. */
    ABSENT,

    /** The body ends within or behind what may be the beginning of another response, as the next bytes would show. */
    POSSIBLE,

    /** The body contains a response to a request that the connection has carried. */
    PRESENT;

    /** A header; a space before the colon is tolerated because the codec does so. */
    private static final Pattern HEADER =
            Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+)[ \t]*:[ \t]*([\t\\x20-\\x7e]*)");

    /**
     * Searches a body. A body may quote the protocol, so that a status line alone is no proof.
     *
     * @param body    the body
     * @param carried returns whether a header names a request that the connection has carried
     * @return what was found
     */
    static EmbeddedResponse find(byte[] body, Predicate<HttpHeaders> carried) {
        StatusLineSearch search = new StatusLineSearch();
        // Start of the current line of a head; negative outside of heads.
        int line = -1;
        boolean inStatusLine = false;
        int headEnd = -1;
        String header = "";
        for (int i = 0; i < body.length; i++) {
            if (search.next(body[i])) {
                line = i + 1;
                inStatusLine = true;
                header = "";
            } else if (line >= 0 && body[i] == '\n') {
                String text = text(body, line, i);
                if (!inStatusLine && text.isBlank()) {
                    line = -1;
                    headEnd = i + 1;
                    continue;
                }
                header = inStatusLine ? "" : unfold(header, text);
                if (isCarried(header, carried)) {
                    return PRESENT;
                }
                inStatusLine = false;
                line = i + 1;
            }
        }
        if (line >= 0 && !inStatusLine && isCarried(unfold(header, text(body, line, body.length)), carried)) {
            return PRESENT;
        }
        return line >= 0 || headEnd == body.length || search.isWithinMatch() ? POSSIBLE : ABSENT;
    }

    private static String text(byte[] body, int start, int end) {
        return new String(body, start, end - start, StandardCharsets.ISO_8859_1).stripTrailing();
    }

    // An identifier contains no spaces, so that only the first line of a value matters.
    private static String unfold(String header, String line) {
        boolean folded = line.startsWith(" ") || line.startsWith("\t");
        return folded && header.endsWith(":") ? header + line.strip() : line;
    }

    private static boolean isCarried(String line, Predicate<HttpHeaders> carried) {
        Matcher header = HEADER.matcher(line);
        return header.matches()
                && carried.test(HttpHeaders.of(header.group(1), header.group(2).strip()));
    }
}
