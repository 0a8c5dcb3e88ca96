package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a stream as they are, without normalizing anything. */
final class Http {

    private Http() {}

    /** Head of a message: its first line and its header fields. */
    record Head(String line, List<String[]> fields) {

        String field(String name) {
            for (String[] field : fields) {
                if (field[0].equalsIgnoreCase(name)) {
                    return field[1];
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String method() {
            return line.split(" ")[0];
        }

        String path() {
            return line.split(" ")[1];
        }
    }

    /** Reads a head; returns {@code null} if the stream ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        List<String[]> fields = new ArrayList<>();
        for (String field = readLine(in); ; field = readLine(in)) {
            if (field == null) {
                throw new EOFException("the head is cut short");
            }
            if (field.isEmpty()) {
                return new Head(line, fields);
            }
            int colon = field.indexOf(':');
            fields.add(new String[] {field.substring(0, colon), field.substring(colon + 1).trim()});
        }
    }

    /** Reads the body of a request, or of a response that has a length or chunks. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(head.field("transfer-encoding"))) {
            while (true) {
                String sizeLine = readLine(in);
                if (sizeLine == null) {
                    throw new EOFException("the body is cut short");
                }
                int size = Integer.parseInt(sizeLine.split(";")[0].trim(), 16);
                copy(in, body, size);
                if (size == 0) {
                    for (String trailer = readLine(in); trailer != null && !trailer.isEmpty(); ) {
                        trailer = readLine(in);
                    }
                    return body.toByteArray();
                }
                readLine(in);
            }
        }
        String length = head.field("content-length");
        copy(in, body, length == null ? 0 : Integer.parseInt(length));
        return body.toByteArray();
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int size) throws IOException {
        byte[] buffer = new byte[Math.min(65536, Math.max(1, size))];
        for (int left = size; left > 0; ) {
            int read = in.read(buffer, 0, Math.min(buffer.length, left));
            if (read < 0) {
                throw new EOFException("the body is cut short, " + left + " of " + size + " bytes are missing");
            }
            out.write(buffer, 0, read);
            left -= read;
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("a line is cut short");
            }
            if (c == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(c);
        }
    }
}
