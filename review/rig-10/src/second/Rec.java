package second;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What was seen on the sockets: every request, arrival, answer written and answer received. */
final class Rec {
    /** One client attempt with its own id. */
    static final class Attempt {
        String id;
        String phase;
        String caller;
        int machine;
        Route route;
        String method;
        String target;
        byte[] body;
        long sent;
        long timeoutMs;
        boolean nested;
        final List<String> events = new ArrayList<>();
        final List<Ans> answers = new ArrayList<>();
        int runs;
        int arrivals;
        boolean brokeOff;
        boolean refused;
        boolean passed;
    }

    /** A route of the manifest. */
    static final class Route {
        final String host;
        final String prefix;
        final boolean idempotent;
        final String nested;

        Route(String host, String prefix, boolean idempotent, String nested) {
            this.host = host;
            this.prefix = prefix;
            this.idempotent = idempotent;
            this.nested = nested;
        }
    }

    /** An answer that an upstream wrote, wholly or in part. */
    static final class Ans {
        String sig;
        String attempt;
        String inst;
        int conn;
        int arrival;
        int order;
        int status;
        boolean signed = true;
        boolean notExecuted;
        boolean whole = true;
        byte[] body = new byte[0];
        byte[] wire;
        Ans first;
        String form;
    }

    final Map<String, Attempt> attempts = new ConcurrentHashMap<>();
    final Map<String, Ans> bySig = new ConcurrentHashMap<>();
    final Map<String, List<String>> conns = new ConcurrentHashMap<>();
    private final BufferedWriter out;
    private final long zero = System.nanoTime();

    Rec(Path file) throws IOException {
        if (file == null) {
            out = null;
            return;
        }
        Files.createDirectories(file.toAbsolutePath().getParent());
        out = Files.newBufferedWriter(file, StandardCharsets.ISO_8859_1);
    }

    long us() {
        return (System.nanoTime() - zero) / 1000;
    }

    void event(String kind, String attempt, String conn, Object... kv) {
        Map<String, Object> m = Json.map("t", us(), "e", kind);
        if (attempt != null) {
            m.put("id", attempt);
        }
        if (conn != null) {
            m.put("conn", conn);
        }
        for (int i = 0; i < kv.length; i += 2) {
            if (kv[i + 1] != null) {
                m.put((String) kv[i], kv[i + 1]);
            }
        }
        String line = Json.text(m);
        Attempt a = attempt == null ? null : attempts.get(attempt);
        if (a != null) {
            synchronized (a) {
                a.events.add(line);
            }
        }
        if (conn != null) {
            List<String> l = conns.computeIfAbsent(conn, k -> new ArrayList<>());
            synchronized (l) {
                l.add(line);
            }
        }
        if (out == null) {
            return;
        }
        synchronized (out) {
            try {
                out.write(line);
                out.newLine();
            } catch (IOException e) {
                System.out.println("record: " + e);
            }
        }
    }

    void wrote(Ans a, Object... kv) {
        bySig.put(a.sig, a);
        Attempt t = attempts.get(a.attempt);
        if (t != null) {
            synchronized (t) {
                t.answers.add(a);
                t.brokeOff |= !a.whole;
            }
        }
        Object[] all = new Object[kv.length + 18];
        Object[] own = {
            "sig", a.sig, "status", a.status, "order", a.order, "signed", a.signed, "whole", a.whole, "notExecuted",
            a.notExecuted, "len", a.body.length, "form", a.form, "crc", crc(a.body)
        };
        System.arraycopy(own, 0, all, 0, own.length);
        System.arraycopy(kv, 0, all, own.length, kv.length);
        event("wrote", a.attempt, a.inst + "#" + a.conn, all);
    }

    static String crc(byte[] b) {
        java.util.zip.CRC32 c = new java.util.zip.CRC32();
        c.update(b);
        return Long.toHexString(c.getValue());
    }

    void flush() {
        try {
            synchronized (this) {
                if (out != null) {
                    synchronized (out) {
                        out.flush();
                    }
                }
            }
        } catch (IOException e) {
            System.out.println("record: " + e);
        }
    }

    /** Forgets finished attempts of earlier phases, so that long plans fit in memory. */
    void forget(String phase) {
        attempts.values().removeIf(a -> !a.phase.equals(phase));
        bySig.values().removeIf(a -> !attempts.containsKey(a.attempt));
    }
}
