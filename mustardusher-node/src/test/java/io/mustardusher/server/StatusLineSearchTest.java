package io.mustardusher.server;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

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

    // Guards against a status line that the quick search passes over.
    @Test
    void quickSearchAgreesWithSearchOfEachByte() {
        Random random = new Random(57);
        int found = 0;
        for (int i = 0; i < 20_000; i++) {
            StringBuilder text = new StringBuilder();
            for (int part = random.nextInt(4); part >= 0; part--) {
                String line = "HTTP/1.1 200";
                text.append(line, 0, random.nextInt(line.length() + 1)).append(random.nextBoolean() ? "x" : "");
            }
            StatusLineSearch search = new StatusLineSearch();
            boolean expected = add(search, text.toString()) || search.isWithinMatch();
            byte[] bytes = text.toString().getBytes(StandardCharsets.ISO_8859_1);
            assertWithMessage(text.toString())
                    .that(StatusLineSearch.mayOccurIn(bytes))
                    .isEqualTo(expected);
            found += expected ? 1 : 0;
        }
        assertThat(found).isGreaterThan(1_000);
        assertThat(found).isLessThan(19_000);
    }

    private static boolean add(StatusLineSearch search, String text) {
        return search.next(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }
}
