package second;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Strict reader of HTTP/1.1 messages on one connection. */
final class Wire {
    /** Bytes that are no message in the protocol. */
    static final class Broken extends IOException {
        private static final long serialVersionUID = 1;

        Broken(String m) {
            super(m);
        }
    }

    /** The connection ended (FIN) inside a message. */
    static final class Ended extends IOException {
        private static final long serialVersionUID = 1;

        Ended(String m) {
            super(m);
        }
    }

    /** Start line and header fields. */
    static final class Head {
        String line;
        final List<String[]> fields = new ArrayList<>();

        String get(String name) {
            for (String[] f : fields) {
                if (f[0].equalsIgnoreCase(name)) {
                    return f[1];
                }
            }
            return null;
        }

        List<String> all(String name) {
            List<String> l = new ArrayList<>();
            for (String[] f : fields) {
                if (f[0].equalsIgnoreCase(name)) {
                    l.add(f[1]);
                }
            }
            return l;
        }

        boolean says(String name, String word) {
            for (String v : all(name)) {
                for (String w : v.split(",")) {
                    if (w.trim().equalsIgnoreCase(word)) {
                        return true;
                    }
                }
            }
            return false;
        }

        int status() throws Broken {
            if (!line.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
                throw new Broken("status line: " + cut(line));
            }
            return Integer.parseInt(line.substring(9, 12));
        }

        @Override
        public String toString() {
            StringBuilder b = new StringBuilder(line);
            for (String[] f : fields) {
                b.append(" | ").append(f[0]).append(": ").append(f[1]);
            }
            return b.toString();
        }
    }

    private final Socket s;
    private final InputStream in;
    private final byte[] buf = new byte[16384];
    private int pos;
    private int lim;
    long deadline;
    ByteArrayOutputStream part = new ByteArrayOutputStream();

    Wire(Socket s) throws IOException {
        this.s = s;
        this.in = s == null ? null : s.getInputStream();
    }

    Wire(InputStream in) {
        this.s = null;
        this.in = in;
    }

    static String cut(String t) {
        return t.length() > 160 ? t.substring(0, 160) + ".." : t;
    }

    private boolean fill() throws IOException {
        if (deadline != 0 && s != null) {
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new SocketTimeoutException("deadline");
            }
            s.setSoTimeout((int) left);
        }
        int n = in.read(buf, 0, buf.length);
        pos = 0;
        lim = Math.max(n, 0);
        return n > 0;
    }

    int read() throws IOException {
        if (pos == lim && !fill()) {
            return -1;
        }
        return buf[pos++] & 255;
    }

    boolean buffered() {
        return pos < lim;
    }

    /** Waits for a first byte; false at the end of the connection. */
    boolean more() throws IOException {
        return pos < lim || fill();
    }

    String line(int max) throws IOException {
        StringBuilder b = new StringBuilder();
        while (true) {
            int c = read();
            if (c < 0) {
                throw new Ended("in line: " + cut(b.toString()));
            }
            if (c == '\n') {
                if (b.length() == 0 || b.charAt(b.length() - 1) != '\r') {
                    throw new Broken("bare LF: " + cut(b.toString()));
                }
                b.setLength(b.length() - 1);
                return b.toString();
            }
            b.append((char) c);
            if (b.length() > max) {
                throw new Broken("long line: " + cut(b.toString()));
            }
        }
    }

    /** Reads a head; null if the connection ended before its first byte. */
    Head head(boolean answer) throws IOException {
        if (!more()) {
            return null;
        }
        Head h = new Head();
        if (answer) {
            byte[] want = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
            StringBuilder b = new StringBuilder();
            for (byte w : want) {
                int c = read();
                if (c < 0) {
                    throw new Ended("in status line: " + b);
                }
                b.append((char) c);
                if (c != w) {
                    throw new Broken("status line: " + b + rest());
                }
            }
            h.line = b + line(8192);
            h.status();
        } else {
            h.line = line(16384);
            if (!h.line.matches("[A-Z]+ \\S+ HTTP/1\\.1")) {
                throw new Broken("request line: " + cut(h.line));
            }
        }
        while (true) {
            String l = line(16384);
            if (l.isEmpty()) {
                return h;
            }
            int c = l.indexOf(':');
            if (c <= 0 || l.charAt(0) <= ' ' || l.charAt(c - 1) <= ' ') {
                throw new Broken("field: " + cut(l));
            }
            h.fields.add(new String[] {l.substring(0, c), l.substring(c + 1).trim()});
        }
    }

    private String rest() {
        int n = Math.min(lim - pos, 120);
        return new String(buf, pos, n, StandardCharsets.ISO_8859_1);
    }

    /** Reads a body into {@code part}, which also holds what came before an early end. */
    byte[] body(Head h, boolean answer, int status) throws IOException {
        part = new ByteArrayOutputStream();
        List<String> te = h.all("Transfer-Encoding");
        List<String> cl = h.all("Content-Length");
        if (answer && (status < 200 || status == 204 || status == 304)) {
            return part.toByteArray();
        }
        if (!te.isEmpty()) {
            if (te.size() > 1 || !te.get(0).equalsIgnoreCase("chunked") || !cl.isEmpty()) {
                throw new Broken("framing: " + te + cl);
            }
            chunks();
            return part.toByteArray();
        }
        if (cl.size() > 1 || !cl.isEmpty() && !cl.get(0).matches("[0-9]{1,12}")) {
            throw new Broken("length: " + cl);
        }
        if (!cl.isEmpty()) {
            take(Long.parseLong(cl.get(0)));
            return part.toByteArray();
        }
        while (answer && more()) {
            part.write(buf, pos, lim - pos);
            pos = lim;
        }
        return part.toByteArray();
    }

    private void take(long n) throws IOException {
        while (n > 0) {
            if (!more()) {
                throw new Ended("in body, " + n + " bytes missing");
            }
            int k = (int) Math.min(n, lim - pos);
            part.write(buf, pos, k);
            pos += k;
            n -= k;
        }
    }

    private void chunks() throws IOException {
        while (true) {
            String l = line(4096);
            String x = l.split(";", 2)[0].trim();
            if (!x.matches("[0-9a-fA-F]{1,8}")) {
                throw new Broken("chunk size: " + cut(l));
            }
            long n = Long.parseLong(x, 16);
            if (n == 0) {
                while (true) {
                    l = line(8192);
                    if (l.isEmpty()) {
                        return;
                    }
                    if (l.indexOf(':') <= 0) {
                        throw new Broken("trailer: " + cut(l));
                    }
                }
            }
            take(n);
            if (read() != '\r' || read() != '\n') {
                throw new Broken("end of chunk");
            }
        }
    }
}
