package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store: rows, transactions and the feed, all in one part. */
final class Store {

    private record Row(String table, String key, String value, long version) {}

    /** Writes bytes in place of an answer. */
    interface Flood {

        void write(OutputStream out) throws Exception;
    }

    /** Takes the place of all answers; {@code null} if the store answers by itself. */
    volatile Flood flood;

    private final ServerSocket listener;
    private final Map<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private final long startNanos = System.nanoTime();
    private long version = 1;

    Store(String host) throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName(host));
        Fleet.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                Fleet.daemon(() -> serve(socket));
            }
        });
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Writes a row as the operator. */
    synchronized void put(String table, String key, String text) {
        version++;
        set(table, key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private void set(String table, String key, String value) {
        Row row = new Row(table, key, value, version);
        if (value == null) {
            rows.remove(table + "/" + key);
        } else {
            rows.put(table + "/" + key, row);
        }
        history.add(row);
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readBody(in, head);
                Flood current = flood;
                if (current != null) {
                    current.write(out);
                    return;
                }
                String[] answer = answer(head.path(), new String(body, StandardCharsets.UTF_8));
                byte[] bytes = answer[1].getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                + bytes.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.write(bytes);
                out.flush();
            }
        }
    }

    private synchronized String[] answer(String target, String body) {
        String path = target.split("\\?")[0];
        Map<String, String> query = query(target);
        return switch (path) {
            case "/mustardusher/rows-get" -> get(query);
            case "/mustardusher/rows-feed" -> feed(query);
            case "/mustardusher/rows-tx" -> commit(Json.object(Json.read(body)));
            default -> new String[] {"404", "{}"};
        };
    }

    private String[] get(Map<String, String> query) {
        List<Row> found = new ArrayList<>();
        for (Row row : rows.values()) {
            boolean inRange = row.key.compareTo(query.getOrDefault("from", "")) >= 0
                    && (!query.containsKey("target") || row.key.compareTo(query.get("target")) < 0);
            if (row.table.equals(query.get("table")) && inRange) {
                found.add(row);
            }
        }
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        boolean truncated = found.size() > limit;
        return page(truncated ? found.subList(0, limit) : found, truncated);
    }

    private String[] feed(Map<String, String> query) {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            List<Row> found = new ArrayList<>();
            for (Row row : history) {
                if (row.table.equals(query.get("table")) && row.version > after) {
                    found.add(row);
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                return page(found, false);
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                return new String[] {"503", "{}"};
            }
        }
    }

    private String[] commit(Map<String, Object> transaction) {
        for (Object entry : Json.list(transaction.get("expectedRev"))) {
            Map<String, Object> condition = Json.object(entry);
            Row row = rows.get(condition.get("table") + "/" + condition.get("key"));
            if ((row == null ? 0 : row.version) != ((Double) condition.get("ver")).longValue()) {
                String[] page = page(row == null ? List.of() : List.of(row), false);
                return new String[] {"412", page[1]};
            }
        }
        version++;
        for (Object entry : Json.list(transaction.get("setKeys"))) {
            Map<String, Object> write = Json.object(entry);
            set((String) write.get("table"), (String) write.get("key"), (String) write.get("value"));
        }
        for (Object entry : Json.list(transaction.get("remove"))) {
            Map<String, Object> write = Json.object(entry);
            set((String) write.get("table"), (String) write.get("key"), null);
        }
        notifyAll();
        return new String[] {"200", "{\"ver\":" + version + ",\"now\":\"" + now() + "ms\"}"};
    }

    private String[] page(List<Row> found, boolean truncated) {
        StringBuilder out = new StringBuilder("{\"rows\":[");
        for (Row row : found) {
            out.append(out.charAt(out.length() - 1) == '[' ? "" : ",");
            out.append("{\"table\":").append(Json.quote(row.table)).append(",\"part\":\"\",\"key\":");
            out.append(Json.quote(row.key)).append(",\"ver\":").append(row.version);
            out.append(row.value == null ? ",\"deleted\":true}" : ",\"value\":" + Json.quote(row.value) + "}");
        }
        out.append("],\"truncated\":").append(truncated).append(",\"ver\":").append(version);
        return new String[] {"200", out.append(",\"now\":\"").append(now()).append("ms\"}").toString()};
    }

    private long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}
