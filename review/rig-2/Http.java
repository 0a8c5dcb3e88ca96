import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages over blocking streams. */
final class Http {

    private Http() {}

    static final class Message {
        /** Request line or status line. */
        String first;

        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) {
                throw new EOFException(line.size() == 0 ? "end" : "end within a line");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        for (String field = line(in); !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            message.headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a whole message; {@code toHead} for a response to a HEAD request. */
    static Message read(BufferedInputStream in, boolean response) throws IOException {
        Message message = readHead(in);
        readBody(in, message, response);
        return message;
    }

    static void readBody(InputStream in, Message message, boolean response) throws IOException {
        if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                if (size == 0) {
                    while (!line(in).isEmpty()) {
                        // trailers
                    }
                    break;
                }
                body.write(exactly(in, size));
                line(in);
            }
            message.body = body.toByteArray();
        } else if (!message.header("content-length").isEmpty()) {
            message.body = exactly(in, Integer.parseInt(message.header("content-length")));
        } else if (response) {
            message.body = in.readAllBytes();
        }
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("body ends after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
