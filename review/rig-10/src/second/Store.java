package second;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as far as PROTOCOL.md describes it; rates are not enforced. */
final class Store {
    /** One change of a row; also its newest state. */
    private static final class Row {
        String table;
        String part;
        String key;
        String value;
        long ver;
        boolean deleted;

        Map<String, Object> json() {
            if (deleted) {
                return Json.map("table", table, "part", part, "key", key, "ver", ver, "deleted", true);
            }
            return Json.map("table", table, "part", part, "key", key, "value", value, "ver", ver);
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> log = new ArrayList<>();
    private final TreeMap<String, byte[]> blobs = new TreeMap<>();
    private long ver = 1;
    private final ServerSocket server;
    final java.util.concurrent.atomic.AtomicInteger calls = new java.util.concurrent.atomic.AtomicInteger();
    volatile boolean loud;

    Store(String ip, int port) throws IOException {
        server = new ServerSocket(port, 200, InetAddress.getByName(ip));
        Rig.thread("store", this::accept);
    }

    private void accept() {
        while (true) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                Rig.thread("store-c", () -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static String id(String t, String p, String k) {
        return t + '\0' + p + '\0' + k;
    }

    synchronized void put(String table, String key, String text) {
        ver++;
        set(table, "", key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private void set(String t, String p, String k, String value) {
        Row r = new Row();
        r.table = t;
        r.part = p;
        r.key = k;
        r.value = value;
        r.ver = ver;
        r.deleted = value == null;
        if (r.deleted) {
            if (rows.remove(id(t, p, k)) == null) {
                return;
            }
        } else {
            rows.put(id(t, p, k), r);
        }
        log.add(r);
    }

    private void serve(Socket s) {
        try (s) {
            Wire w = new Wire(s);
            OutputStream out = s.getOutputStream();
            while (true) {
                Wire.Head h = w.head(false);
                if (h == null) {
                    return;
                }
                byte[] body = w.body(h, false, 0);
                calls.incrementAndGet();
                String[] l = h.line.split(" ");
                Object[] a;
                try {
                    a = answer(l[0], l[1], h, body);
                } catch (RuntimeException e) {
                    System.out.println("store: " + h.line + " " + e);
                    a = new Object[] {400, "{}"};
                }
                byte[] b = a[1] instanceof byte[] ? (byte[]) a[1] : a[1].toString().getBytes(StandardCharsets.UTF_8);
                if (loud || (int) a[0] != 200 && (int) a[0] != 412) {
                    System.out.println("store: " + h.line + " -> " + a[0]);
                }
                out.write(("HTTP/1.1 " + a[0] + " X\r\nContent-Type: application/json\r\nContent-Length: " + b.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.write(b);
            }
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    private Object[] answer(String method, String target, Wire.Head h, byte[] body) throws InterruptedException {
        int q = target.indexOf('?');
        String path = q < 0 ? target : target.substring(0, q);
        Map<String, Object> m = Json.map();
        if (q >= 0) {
            for (String kv : target.substring(q + 1).split("&")) {
                String[] p = kv.split("=", 2);
                m.put(dec(p[0]), p.length > 1 ? dec(p[1]) : "");
            }
        }
        String call = path.replace("/mustardusher/", "");
        if (call.equals("rows-tx")) {
            Thread.sleep(3);
            return tx(Json.asMap(Json.read(new String(body, StandardCharsets.UTF_8))));
        }
        if (call.equals("rows-get")) {
            return get(m);
        }
        if (call.equals("rows-parts")) {
            return parts(m);
        }
        if (call.equals("rows-feed")) {
            return feed(m);
        }
        Thread.sleep(25);
        synchronized (this) {
            if (call.startsWith("blob-put/")) {
                String n = dec(call.substring(9));
                if ("*".equals(h.get("If-None-Match")) && blobs.containsKey(n)) {
                    return new Object[] {412, "{}"};
                }
                blobs.put(n, body);
                return new Object[] {200, "{}"};
            }
            if (call.startsWith("blob-get/")) {
                byte[] b = blobs.get(dec(call.substring(9)));
                return b == null ? new Object[] {404, "{}"} : new Object[] {200, b};
            }
            if (call.startsWith("blob-drop/")) {
                blobs.remove(dec(call.substring(10)));
                return new Object[] {200, "{}"};
            }
            if (call.equals("blob-list")) {
                List<Object> names = new ArrayList<>();
                for (String n : blobs.tailMap(Json.str(m, "after"), false).keySet()) {
                    if (n.startsWith(Json.str(m, "prefix"))) {
                        names.add(n);
                    }
                }
                return new Object[] {200, Json.text(Json.map("names", names, "truncated", false))};
            }
        }
        return new Object[] {404, "{}"};
    }

    private static String dec(String t) {
        return URLDecoder.decode(t, StandardCharsets.UTF_8);
    }

    private static String now() {
        return System.nanoTime() / 1_000_000 + "ms";
    }

    private synchronized Object[] tx(Map<String, Object> m) {
        boolean fits = true;
        List<Object> found = new ArrayList<>();
        for (Object o : Json.asList(m.get("expectedRev"))) {
            Map<String, Object> e = Json.asMap(o);
            Row r = rows.get(id(Json.str(e, "table"), Json.str(e, "part"), Json.str(e, "key")));
            fits &= Json.num(e, "ver") == (r == null ? 0 : r.ver);
            if (r != null) {
                found.add(r.json());
            }
        }
        if (!fits) {
            return new Object[] {412, Json.text(Json.map("rows", found, "ver", ver, "now", now()))};
        }
        List<Object> all = new ArrayList<>(Json.asList(m.get("setKeys")));
        all.addAll(Json.asList(m.get("remove")));
        for (Object o : all) {
            String t = Json.str(Json.asMap(o), "table");
            if (t.equals("op") || t.equals("servers")) {
                return new Object[] {403, "{}"};
            }
        }
        ver++;
        for (Object o : Json.asList(m.get("setKeys"))) {
            Map<String, Object> e = Json.asMap(o);
            set(Json.str(e, "table"), Json.str(e, "part"), Json.str(e, "key"), Json.str(e, "value"));
        }
        for (Object o : Json.asList(m.get("remove"))) {
            Map<String, Object> e = Json.asMap(o);
            set(Json.str(e, "table"), Json.str(e, "part"), Json.str(e, "key"), null);
        }
        notifyAll();
        return new Object[] {200, Json.text(Json.map("ver", ver, "now", now()))};
    }

    private synchronized Object[] get(Map<String, Object> m) {
        String pre = Json.str(m, "table") + '\0' + Json.str(m, "part") + '\0';
        String to = Json.str(m, "target");
        int limit = m.containsKey("limit") ? (int) Math.min(500, Json.num(m, "limit")) : 500;
        List<Object> l = new ArrayList<>();
        boolean cut = false;
        int size = 0;
        for (Row r : rows.tailMap(pre + Json.str(m, "from")).values()) {
            if (!id(r.table, r.part, "").equals(pre) || !to.isEmpty() && r.key.compareTo(to) >= 0) {
                break;
            }
            if (l.size() >= limit || size > 1_000_000) {
                cut = true;
                break;
            }
            size += r.value.length();
            l.add(r.json());
        }
        return new Object[] {200, Json.text(Json.map("rows", l, "truncated", cut, "ver", ver, "now", now()))};
    }

    private synchronized Object[] parts(Map<String, Object> m) {
        java.util.TreeSet<String> all = new java.util.TreeSet<>();
        for (Row r : rows.values()) {
            if (r.table.equals(Json.str(m, "table"))
                    && (!m.containsKey("after") || r.part.compareTo(Json.str(m, "after")) > 0)) {
                all.add(r.part);
            }
        }
        return new Object[] {200, Json.text(Json.map("parts", all, "truncated", false, "ver", ver, "now", now()))};
    }

    private synchronized Object[] feed(Map<String, Object> m) throws InterruptedException {
        long after = Json.num(m, "after");
        long end = System.nanoTime() + Math.min(30_000, Json.num(m, "waitMs")) * 1_000_000;
        while (true) {
            List<Object> l = new ArrayList<>();
            for (int k = log.size() - 1; k >= 0 && log.get(k).ver > after; k--) {
                if (log.get(k).table.equals(Json.str(m, "table"))) {
                    l.add(0, log.get(k).json());
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!l.isEmpty() || left <= 0) {
                return new Object[] {200, Json.text(Json.map("rows", l, "ver", ver, "now", now()))};
            }
            wait(left);
        }
    }
}
