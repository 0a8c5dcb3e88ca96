package io.mustardusher.server;

import java.util.ArrayList;
import java.util.List;
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

    private ResponseForms() {}

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
        return Stream.of(ofLength, ofLengths, ofCoding, inChunks).flatMap(forms -> forms);
    }
}
