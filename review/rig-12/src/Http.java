import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** The part of HTTP/1.1 that the stand-ins need: heads, and bodies with a length, in chunks or up to the close. */
final class Http {

    private Http() {}

    /**
     * A request or response.
     *
     * @param first   first line
     * @param headers headers by name, in any case
     * @param body    the body
     */
    record Message(String first, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String path() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message; {@code null} at the end of the stream. */
    static Message read(InputStream in, boolean response) throws IOException {
        Message head = readHead(in);
        return head == null ? null : new Message(head.first, head.headers, readBody(in, head, response));
    }

    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String line;
        while (!(line = readLine(in, false)).isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return new Message(first, headers, new byte[0]);
    }

    static byte[] readBody(InputStream in, Message head, boolean response) throws IOException {
        if (head.header("transfer-encoding").toLowerCase().contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
                if (size == 0) {
                    while (!readLine(in, false).isEmpty()) {
                        continue;
                    }
                    return body.toByteArray();
                }
                body.write(readExactly(in, size));
                readLine(in, false);
            }
        }
        String length = head.header("content-length");
        if (!length.isEmpty()) {
            return readExactly(in, Integer.parseInt(length));
        }
        return response ? in.readAllBytes() : new byte[0];
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body ends after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c;
        while ((c = in.read()) >= 0) {
            if (c == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(c);
        }
        if (mayEnd && line.size() == 0) {
            return null;
        }
        throw new EOFException("the head is cut");
    }
}
