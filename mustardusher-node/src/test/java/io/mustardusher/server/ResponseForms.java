package io.mustardusher.server;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Forms of responses that keep to the grammar of HTTP/1.1 or break it, each to a request with the id {@code one}. */
final class ResponseForms {

    /** Content of all sound responses. */
    static final String BODY = "content";

    private static final String LENGTH = "content-length: " + BODY.length() + "\r\n";
    private static final String ID = "id: one\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + ID + "transfer-encoding: chunked\r\n\r\n";
    private static final String CHUNK = "7\r\n" + BODY + "\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";
    private static final String VISIBLE = "[\\x21-\\x7e\\x80-\\xff]";
    private static final String FOLD = "\\r?\\n[ \\t]+(?![ \\t:])[\\t\\x20-\\x39\\x3b-\\x7e\\x80-\\xff]+";

    /** A head by the grammar alone, written apart from the product; folded lines follow a value and have no colon. */
    private static final Pattern HEAD = Pattern.compile("HTTP/1\\.[0-9] [1-5][0-9][0-9](?: " + TEXT + ")?\\r?\\n(?:"
            + TOKEN + ":[ \\t]*(?:" + VISIBLE + TEXT + "(?:" + FOLD + ")*)?\\r?\\n)*\\r?\\n");

    private ResponseForms() {}

    /**
     * Returns whether a text begins with a head.
     *
     * @param text the text, one character for each byte
     * @return {@code true} if its beginning, up to an empty line, keeps to the grammar
     */
    static boolean beginsWithHead(String text) {
        return HEAD.matcher(text).lookingAt();
    }

    /** Returns responses with a malformed status line. */
    static Stream<String> malformedStatusLines() {
        List<String> lines = new ArrayList<>(List.of(
                "HTTP/1.1 000 None",
                "HTTP/1.1 0",
                "HTTP/1.1 099 Low",
                "HTTP/1.1 600 High",
                "HTTP/1.1 999 High",
                "HTTP/1.1 1000 Long",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 -200 OK",
                "HTTP/1.1 +20 OK",
                "HTTP/1.1 2x0 OK",
                "HTTP/1.1 200OK",
                "HTTP/1.1 200.0 OK",
                "HTTP/1.1 200, OK",
                "HTTP/1.1 0xc8 OK",
                "HTTP/1.1 \u00b2\u00b2\u00b2 OK",
                "HTTP/1.1 200\tOK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1 ",
                "HTTP/1.1",
                "HTTP/1.1200 OK",
                "HTTP/1.1\u000b200 OK",
                "HTTP/1.1 200\u000cOK",
                "HTTP/1.1 200\u0000OK",
                "HTTP/1.1 200 O\u0001K",
                "HTTP/1.1 200 O\u0000K",
                "HTTP/1.1 200 OK\u007f",
                "HTTP/1.1 200 \u001bOK",
                "HTTP/1.1 200 O\rK",
                "HTTP/1.1 200 OK\r",
                "http/1.1 200 OK",
                "HTTP/1 200 OK",
                "HTTP/1. 200 OK",
                "HTTP/1.x 200 OK",
                "HTTP/1.11 200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/0.9 200 OK",
                "HTTPS/1.1 200 OK",
                "ICY 200 OK",
                " HTTP/1.1 200 OK",
                "\u0001HTTP/1.1 200 OK",
                "\r\nHTTP/1.1 200 OK",
                "\nHTTP/1.1 200 OK",
                "200 OK",
                ""));
        return lines.stream().map(line -> line + "\r\n" + ID + LENGTH + "\r\n" + BODY);
    }

    /** Returns responses with a malformed header block. */
    static Stream<String> malformedFields() {
        List<String> lines = new ArrayList<>(List.of(
                "X Odd: 1",
                "X\tOdd: 1",
                "X-Odd : 1",
                "X-Odd\t: 1",
                " X-Odd: 1",
                "\tX-Odd: 1",
                " ",
                "X-Odd",
                "X-Odd 1",
                ": 1",
                " : 1",
                "X\u0000Odd: 1",
                "X\u0001Odd: 1",
                "X\u000bOdd: 1",
                "X\u000cOdd: 1",
                "X\u001fOdd: 1",
                "X\u007fOdd: 1",
                "X\u0085Odd: 1",
                "X\u00a0Odd: 1",
                "X\u00e9Odd: 1",
                "X\rOdd: 1",
                "X-Odd: 1\u0000",
                "X-Odd: \u00011",
                "X-Odd: 1\u000b",
                "X-Odd: 1\u001f",
                "X-Odd: 1\u007f",
                "X-Odd: 1\r2",
                "X-Odd: 1\r",
                "X-Note: a\r\n X-Odd: 1",
                "X-Note: a\r\n X Odd: 1",
                "X-Note: a\r\n\tX-Odd : 1",
                "X-Note: a\r\n : 1",
                "X-Note: a\r\n ",
                "X-Note: a\r\n b\u0001",
                "X-Note: a\r\n b\r\n c: d",
                "X-Note: a\r\n b\r",
                "not-run : 1",
                "not run: 1",
                "not-run\t: 1",
                "signature : s",
                "id : one",
                "connection : close",
                "keep-alive : timeout=1",
                "content-length : 3",
                "content-length\t: 3",
                "transfer-encoding : chunked",
                "content-length: 3",
                "content-length: " + BODY.length(),
                "transfer-encoding: gzip",
                "transfer-encoding: gzip, chunked",
                "transfer-encoding: chunked, gzip",
                "transfer-encoding: xchunked",
                "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
                "transfer-encoding:",
                "transfer-encoding:\r\n chunked"));
        for (char separator : "\"(),/;<=>?@[\\]{}".toCharArray()) {
            lines.add("X" + separator + "Odd: 1");
            lines.add("X-Odd" + separator + ": 1");
        }
        Stream<String> withLength = lines.stream()
                .flatMap(line -> Stream.of(
                        OK + ID + LENGTH + line + "\r\n\r\n" + BODY, OK + line + "\r\n" + ID + LENGTH + "\r\n" + BODY));
        Stream<String> ofLengths = Stream.of(
                        "",
                        " ",
                        "+7",
                        "-7",
                        "7.0",
                        "0x7",
                        "7 7",
                        "7,7",
                        "7, 8",
                        "7a",
                        "\u0667",
                        "7\u0000",
                        "9".repeat(30),
                        "\r\n 7",
                        "7\r\n 7")
                .map(length -> OK + ID + "content-length: " + length + "\r\n\r\n" + BODY);
        Stream<String> ofHttp10 = Stream.of(
                "HTTP/1.0 200 OK\r\n" + ID + "transfer-encoding: chunked\r\n\r\n" + CHUNK + LAST_CHUNK,
                "HTTP/1.0 200 OK\r\n" + ID + "content-length: 3\r\n" + LENGTH + "\r\n" + BODY);
        return Stream.of(withLength, ofLengths, ofHttp10).flatMap(forms -> forms);
    }

    /** Returns refusals whose promise, that nothing ran, is not stated by a header. */
    static Stream<String> malformedRefusals() {
        return Stream.of("not-run : 1", "not-run\t: 1", "not-run x: 1", "X-Odd: 1\r\n not-run: 1", " not-run: 1")
                .map(line -> "HTTP/1.1 503 Busy\r\n" + ID + line + "\r\ncontent-length: 0\r\n\r\n");
    }

    /** Returns informational responses that are malformed, each before a sound response. */
    static Stream<String> malformedInformational() {
        String sound = OK + ID + LENGTH + "\r\n" + BODY;
        return Stream.of(
                        "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n",
                        "HTTP/1.1 103 Early Hints\r\nX-Odd : 1\r\n\r\n",
                        "HTTP/1.1 103 Early\u0001Hints\r\n\r\n",
                        "HTTP/1.1 103 Early Hints\r\nX-Odd: \u0001\r\n\r\n",
                        "HTTP/1.1 103 Early Hints\r\n X-Odd: 1\r\n\r\n",
                        "HTTP/1.1 1000 Long\r\n\r\n",
                        "HTTP/1.1 100\tContinue\r\n\r\n",
                        "HTTP/1.1 099 Low\r\n\r\n",
                        "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n",
                        "HTTP/1.1 101 Switching Protocols\r\n\r\n")
                .map(head -> head + sound);
    }

    /** Returns responses in chunks that are malformed behind the header block. */
    static Stream<String> malformedChunks() {
        Stream<String> sizes = Stream.of(
                        "7 7",
                        "7 x",
                        "7 ",
                        "7\t",
                        " 7",
                        "+7",
                        "-7",
                        "0x7",
                        "7x",
                        "7h",
                        "",
                        "7,",
                        "7;",
                        "7; ",
                        "7;=1",
                        "7;a b",
                        "7;a=",
                        "7;a=\"",
                        "7;a=\"b\"c",
                        "7;a=\"b",
                        "7;a/b",
                        "7;a=b ",
                        "7 a=b",
                        "7;\u0001",
                        "7;a=\u0001",
                        "7;a=\"\u0001\"",
                        "7\u0000",
                        "7\u000b",
                        "7\r",
                        "80000007",
                        "100000007",
                        "7;HTTP/1.1 200 OK")
                .map(size -> CHUNKED + size + "\r\n" + BODY + "\r\n" + LAST_CHUNK);
        Stream<String> ends = Stream.of(
                "7\r\n" + BODY + "x\r\n" + LAST_CHUNK,
                "7\r\n" + BODY + " \r\n" + LAST_CHUNK,
                "7\r\n" + BODY + "\rx\n" + LAST_CHUNK,
                "7\r\n" + BODY + LAST_CHUNK,
                "7\r\n" + BODY + "\n" + LAST_CHUNK,
                "7\n" + BODY + "\r\n" + LAST_CHUNK,
                "6\r\n" + BODY + "\r\n" + LAST_CHUNK,
                CHUNK + "0 0\r\n\r\n",
                CHUNK + "0 \r\n\r\n",
                CHUNK + "00x\r\n\r\n",
                CHUNK + "\r\n" + LAST_CHUNK);
        Stream<String> trailers = Stream.of(
                        "X Odd: 1",
                        "X-Odd : 1",
                        " X-Odd: 1",
                        "X-Odd: 1\r\n 2",
                        "X-Odd",
                        ": 1",
                        "X\u0001Odd: 1",
                        "X-Odd: \u0001",
                        "X-Odd: 1\r2",
                        "X/Odd: 1",
                        "content-length : 1")
                .map(trailer -> CHUNK + "0\r\n" + trailer + "\r\n\r\n");
        return Stream.concat(sizes, Stream.concat(ends, trailers).map(rest -> CHUNKED + rest));
    }

    /** Returns sound responses with the status 200 and the content {@link #BODY}. */
    static Stream<String> sound() {
        Stream<String> heads = Stream.of(
                OK,
                "HTTP/1.1 200\r\n",
                "HTTP/1.1 200 \r\n",
                "HTTP/1.1 200  \tAll is \u00e9well; 000 \u0080\u00ff: really\r\n",
                "HTTP/1.0 200 OK\r\n",
                "HTTP/1.2 200 OK\r\n",
                "HTTP/1.1 200 OK\n",
                OK + "X-Empty:\r\n",
                OK + "X-Empty: \t \r\n",
                OK + "X-Blanks: \t a b\tc \t\r\n",
                OK + "X-Tight:1\r\n",
                OK + "X-Colon::1\r\n",
                OK + "X-High: \u0080\u00e9\u00ff\r\n",
                OK + "X-Signs: \"(),/:;<=>?@[\\]{}\r\n",
                OK + "!#$%&'*+-.^_`|~0aZ: 1\r\n",
                OK + "X-Odd: 1\nX-Even: 2\n",
                OK + "X-Folded: one\r\n two\r\n\t three, \u00e9;\"\r\n",
                OK + "X-Folded: 1\r\n one\n two\r\nX-Next: 1\r\n",
                OK + "X-Long-Name-" + "n".repeat(300) + ": 1\r\n",
                OK + "X-Long-Value: " + "v".repeat(3_000) + "\r\n",
                OK + "Content-Lengths: x\r\nXContent-Length: x\r\nTransfer-Encodings: x\r\nContent-Encodin: 9\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n" + OK,
                "HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n" + OK,
                "HTTP/1.1 199\n\n" + OK);
        Stream<String> ofLength = heads.map(head -> head + ID + LENGTH + "\r\n" + BODY);
        Stream<String> ofLengths = Stream.of(
                        "content-length:7\r\n",
                        "Content-Length:  7 \t\r\n",
                        "CONTENT-LENGTH: 007\r\n",
                        "content-length: 7\n")
                .map(length -> OK + ID + length + "\r\n" + BODY);
        Stream<String> ofBoth = Stream.of(
                        LENGTH + "transfer-encoding: chunked\r\n",
                        "transfer-encoding: chunked\r\n" + LENGTH,
                        "content-length: 3\r\ntransfer-encoding: chunked\r\n")
                .map(framing -> OK + ID + framing + "\r\n" + CHUNK + LAST_CHUNK);
        Stream<String> ofCoding = Stream.of("Transfer-Encoding: Chunked\r\n", "transfer-encoding:\tchunked \r\n")
                .map(coding -> OK + ID + coding + "\r\n" + CHUNK + LAST_CHUNK);
        Stream<String> inChunks = Stream.of(
                        CHUNK + LAST_CHUNK,
                        "3\r\ncon\r\n4\r\ntent\r\n" + LAST_CHUNK,
                        "07\r\n" + BODY + "\r\n000\r\n\r\n",
                        "7;a\r\n" + BODY + "\r\n" + LAST_CHUNK,
                        "7;a=b;c=\"d \\\" ; e\"\r\n" + BODY + "\r\n0;last\r\n\r\n",
                        "7 \t; a = b ; c\r\n" + BODY + "\r\n" + LAST_CHUNK,
                        CHUNK + "0\r\nX-Trailer: 1\r\nX-Other:\r\n\r\n",
                        CHUNK + "0\r\nX-Trailer: 1\n\n")
                .map(chunks -> CHUNKED + chunks);
        return Stream.of(ofLength, ofLengths, ofBoth, ofCoding, inChunks).flatMap(forms -> forms);
    }
}
