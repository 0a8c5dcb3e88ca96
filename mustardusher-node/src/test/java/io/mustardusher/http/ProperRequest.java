package io.mustardusher.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;

/**
 * A random request that keeps to RFC 9112 and to the limits.
 *
 * @param path         path that the handler must see
 * @param method       method
 * @param head         bytes from the empty lines before the request line to the end of the head
 * @param rest         bytes of the framed body
 * @param body         the body without its framing
 * @param chunked      whether the body is sent in chunks
 * @param waitsForBody whether the caller waits for 100 (Continue) before it sends the body
 * @param closes       whether the caller asks to close the connection
 */
public record ProperRequest(
        String path,
        String method,
        byte[] head,
        byte[] rest,
        byte[] body,
        boolean chunked,
        boolean waitsForBody,
        boolean closes) {

    private static final int LONGEST_BODY = 200_000;
    private static final int LONGEST_FILLER = 12_000;
    private static final int COLLECTED_BODY = 64 << 10;

    /**
     * Creates a request.
     *
     * @param random source of its properties
     * @param number number of the request, which is part of its path
     * @param closes whether it asks to close the connection
     * @return the request
     */
    public static ProperRequest random(Random random, int number, boolean closes) {
        String path = "/r" + number + (random.nextBoolean() ? "/a%2Fb//c?q=http://x.example/1;2" : "");
        String method = random.nextInt(3) == 0 ? (random.nextInt(3) == 0 ? "HEAD" : "GET") : "POST";
        byte[] body = method.equals("POST") ? randomBody(random) : new byte[0];
        boolean chunked = method.equals("POST") && random.nextBoolean();
        boolean continues = method.equals("POST") && random.nextInt(4) == 0;
        StringBuilder head = new StringBuilder("\r\n".repeat(random.nextInt(8) == 0 ? 1 + random.nextInt(3) : 0));
        String host = random.nextBoolean() ? "Hulo84.Example:8080" : "hulo84.example";
        head.append(method).append(' ');
        if (random.nextInt(4) == 0) {
            head.append(random.nextBoolean() ? "http://" : "HTTP://").append(host);
        }
        head.append(path).append(" HTTP/1.1\r\n");
        field(head, random, "Host", host);
        field(head, random, "X-Request-No", "id" + number);
        field(head, random, "X-Timeout-Ms", "3000");
        if (random.nextInt(4) == 0) {
            field(head, random, "X-Filler", "x\t\u00e9~!\"" + "y".repeat(random.nextInt(LONGEST_FILLER)));
        }
        if (chunked) {
            field(head, random, "Transfer-Encoding", random.nextBoolean() ? "chunked" : "Chunked");
        } else if (method.equals("POST")) {
            field(head, random, "Content-Length", Integer.toString(body.length));
        }
        if (continues) {
            field(head, random, "Expect", random.nextBoolean() ? "100-continue" : "100-Continue");
        }
        if (closes) {
            field(head, random, "Connection", random.nextBoolean() ? "close" : "Close");
        } else if (random.nextInt(4) == 0) {
            field(head, random, "Connection", "keep-alive, X-Hop");
        }
        head.append("\r\n");
        return new ProperRequest(
                path,
                method,
                head.toString().getBytes(StandardCharsets.ISO_8859_1),
                chunked ? inChunks(random, body) : body,
                body,
                chunked,
                continues && random.nextBoolean(),
                closes);
    }

    private static byte[] randomBody(Random random) {
        int length =
                switch (random.nextInt(6)) {
                    case 0 -> 0;
                    case 1 -> COLLECTED_BODY - 2 + random.nextInt(5);
                    case 2 -> random.nextInt(LONGEST_BODY + 1);
                    default -> random.nextInt(300);
                };
        byte[] body = new byte[length];
        random.nextBytes(body);
        // A body that looks like a request must not be taken for one.
        byte[] trap = "\r\n\r\nGET /trap HTTP/1.1\r\nHost: t\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        for (int at = 0; at + trap.length <= length; at += 50 + trap.length) {
            System.arraycopy(trap, 0, body, at, trap.length);
        }
        return body;
    }

    private static byte[] inChunks(Random random, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int at = 0;
        while (at < body.length) {
            int size = Math.min(body.length - at, 1 + random.nextInt(Math.max(1, body.length / 3)));
            String hex = Integer.toHexString(size);
            String line = (random.nextBoolean() ? hex : "00" + hex.toUpperCase(Locale.ROOT))
                    + (random.nextInt(3) == 0 ? ";name=\"a;b\";flag" : "");
            out.writeBytes((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(body, at, size);
            out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
            at += size;
        }
        String trailers = random.nextInt(3) == 0 ? "X-Sum: 1\r\nx-other: 2\r\n" : "";
        out.writeBytes(("0\r\n" + trailers + "\r\n").getBytes(StandardCharsets.US_ASCII));
        return out.toByteArray();
    }

    private static void field(StringBuilder head, Random random, String name, String value) {
        String written =
                switch (random.nextInt(3)) {
                    case 0 -> name.toLowerCase(Locale.ROOT);
                    case 1 -> name.toUpperCase(Locale.ROOT);
                    default -> name;
                };
        head.append(written).append(random.nextInt(4) == 0 ? ":" : ": ").append(value);
        head.append(random.nextInt(8) == 0 ? " \r\n" : "\r\n");
    }
}
