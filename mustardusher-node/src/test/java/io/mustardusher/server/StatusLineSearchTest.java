package io.mustardusher.server;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class StatusLineSearchTest {

    @Test
    void findsStatusLineInPieces() {
        String text = "HTTP/HTTP/1.1 HHTTP/1.0 404 x";
        for (int cut = 0; cut < text.length(); cut++) {
            StatusLineSearch search = new StatusLineSearch();
            boolean found = add(search, text.substring(0, cut));
            found |= add(search, text.substring(cut));
            assertWithMessage("cut at " + cut).that(found).isTrue();
        }
    }

    @Test
    void findsNoRequestLineAndNoOtherVersion() {
        for (String text :
                List.of("GET / HTTP/1.1\r\n", "HTTP/2.0 200", "HTTP/1.1 20", "HTTP/1.1 2x0", "HTTP/1.1  200")) {
            assertWithMessage(text).that(add(new StatusLineSearch(), text)).isFalse();
        }
    }

    @Test
    void tellsBeginningAtEnd() {
        StatusLineSearch search = new StatusLineSearch();
        add(search, "body HTTP/1.1 2");
        assertThat(search.isWithinMatch()).isTrue();
        add(search, "00");
        assertThat(search.isWithinMatch()).isFalse();
        add(search, "H");
        assertThat(search.isWithinMatch()).isTrue();
        add(search, "i");
        assertThat(search.isWithinMatch()).isFalse();
    }

    private static boolean add(StatusLineSearch search, String text) {
        return search.next(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }
}
