import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/** Stand-in for the platform's metadata store: rows, transactions and the feed, as PROTOCOL.md describes them. */
final class Store {

    private final Rig rig;
    private final ServerSocket server;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long version;
    private long answers;
    private long lost;

    /** Decides whether the answer to a request is lost, from its path and the answer. */
    volatile BiPredicate<String, String> loses = (path, answer) -> false;

    private record Row(String table, String part, String key, String value, long version, boolean deleted) {

        String json() {
            return "{\"table\":" + Json.quote(table) + ",\"part\":" + Json.quote(part) + ",\"key\":" + Json.quote(key)
                    + (deleted ? ",\"deleted\":true" : ",\"value\":" + Json.quote(value)) + ",\"ver\":" + version + "}";
        }
    }

    Store(Rig rig) throws IOException {
        this.rig = rig;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        rig.run("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized long answers() {
        return answers;
    }

    synchronized long lost() {
        return lost;
    }

    /** Writes a row as the operator does; its return is the confirmation. */
    void put(String table, String key, String text) {
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        synchronized (this) {
            version++;
            rows.put(id(table, "", key), new Row(table, "", key, value, version, false));
            notifyAll();
        }
    }

    private static String id(String table, String part, String key) {
        return table + "\0" + part + "\0" + key;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            rig.run("store connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Message request;
            while ((request = Http.read(in, false)) != null) {
                int[] status = {200};
                String body = answer(request, status);
                boolean loses = this.loses.test(request.path(), body);
                synchronized (this) {
                    answers++;
                    lost += loses ? 1 : 0;
                }
                if (loses) {
                    rig.record("store: the answer to " + request.method() + " " + request.path() + " is lost");
                    // The connection delivers nothing further, until the client closes it.
                    while (in.read() >= 0) {
                        continue;
                    }
                    return;
                }
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + status[0] + " Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                        + "Content-Length: " + bytes.length + "\r\n\r\n";
                out.write(head.getBytes(StandardCharsets.US_ASCII));
                out.write(bytes);
                out.flush();
            }
        }
    }

    private String answer(Http.Message request, int[] status) {
        String path = request.path();
        int query = path.indexOf('?');
        Map<String, String> params = query < 0 ? Map.of() : params(path.substring(query + 1));
        String call = query < 0 ? path : path.substring(0, query);
        return switch (call) {
            case "/mustardusher/rows-tx" -> commit(Json.object(request.text()), status);
            case "/mustardusher/rows-get" -> get(params);
            case "/mustardusher/rows-feed" -> feed(params);
            default -> {
                status[0] = 404;
                yield "{}";
            }
        };
    }

    private static Map<String, String> params(String query) {
        Map<String, String> params = new HashMap<>();
        for (String pair : query.split("&")) {
            int equals = pair.indexOf('=');
            params.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return params;
    }

    private synchronized String commit(Map<String, Object> body, int[] status) {
        List<Row> current = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> expected : entries(body, "expectedRev")) {
            Row row = rows.get(id(expected));
            boolean present = row != null && !row.deleted();
            holds &= (present ? row.version() : 0) == ((Double) expected.get("ver")).longValue();
            if (present) {
                current.add(row);
            }
        }
        if (!holds) {
            status[0] = 412;
            return answer(current, version, false);
        }
        version++;
        for (Map<String, Object> row : entries(body, "setKeys")) {
            write(row, (String) row.get("value"));
        }
        for (Map<String, Object> row : entries(body, "remove")) {
            write(row, null);
        }
        notifyAll();
        return "{\"ver\":" + version + ",\"now\":\"" + System.nanoTime() / 1_000_000 + "ms\"}";
    }

    private void write(Map<String, Object> row, String value) {
        String table = (String) row.get("table");
        String part = (String) row.get("part");
        String key = (String) row.get("key");
        rows.put(id(table, part, key), new Row(table, part, key, value, version, value == null));
    }

    private static String id(Map<String, Object> row) {
        return id((String) row.get("table"), (String) row.get("part"), (String) row.get("key"));
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> entries(Map<String, Object> body, String name) {
        Object list = body.get(name);
        return list == null ? Collections.emptyList() : (List<Map<String, Object>>) list;
    }

    private synchronized String get(Map<String, String> params) {
        String from = params.getOrDefault("from", "");
        String target = params.get("target");
        int limit = Math.min(500, Integer.parseInt(params.getOrDefault("limit", "500")));
        List<Row> found = rows.values().stream()
                .filter(row -> !row.deleted() && row.table().equals(params.get("table"))
                        && row.part().equals(params.getOrDefault("part", "")) && row.key().compareTo(from) >= 0
                        && (target == null || row.key().compareTo(target) < 0))
                .toList();
        boolean truncated = found.size() > limit;
        return answer(truncated ? found.subList(0, limit) : found, version, truncated);
    }

    private synchronized String feed(Map<String, String> params) {
        long after = Long.parseLong(params.get("after"));
        long end = System.nanoTime() + Math.min(30_000, Long.parseLong(params.get("waitMs"))) * 1_000_000;
        while (true) {
            List<Row> changed = rows.values().stream()
                    .filter(row -> row.table().equals(params.get("table")) && row.version() > after)
                    .sorted((a, b) -> Long.compare(a.version(), b.version()))
                    .toList();
            long millis = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || millis <= 0) {
                return answer(changed, version, false);
            }
            try {
                wait(millis);
            } catch (InterruptedException e) {
                return answer(List.of(), version, false);
            }
        }
    }

    private static String answer(List<Row> found, long version, boolean truncated) {
        return "{\"rows\":[" + String.join(",", found.stream().map(Row::json).toList()) + "],\"truncated\":" + truncated
                + ",\"ver\":" + version + ",\"now\":\"" + System.nanoTime() / 1_000_000 + "ms\"}";
    }
}
