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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store: rows, transactions and the feed. Linearizable, without limits on rates. */
final class Store {

    /** How the store treats calls. */
    enum Mode {
        SERVING,
        BUSY,
        SILENT
    }

    private record Key(String table, String part, String key) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int order = table.compareTo(other.table);
            order = order != 0 ? order : part.compareTo(other.part);
            return order != 0 ? order : key.compareTo(other.key);
        }
    }

    private record Cell(String value, long version) {}

    private record Change(Key key, Cell cell) {}

    private final TreeMap<Key, Cell> rows = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final long start = System.nanoTime();
    private final ServerSocket listener;
    private long version = 1;
    volatile Mode mode = Mode.SERVING;

    Store(String ip) throws IOException {
        listener = new ServerSocket(0, 500, InetAddress.getByName(ip));
        Rig.thread("store", () -> {
            while (true) {
                Socket socket = listener.accept();
                Rig.thread("store-connection", () -> serve(socket));
            }
        });
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Writes a row as the operator does. Returns when it is confirmed. */
    synchronized void put(String table, String key, String value) {
        version++;
        set(new Key(table, "", key), Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    /** Removes a row as the operator does. */
    synchronized void remove(String table, String key) {
        version++;
        set(new Key(table, "", key), null);
        notifyAll();
    }

    private void set(Key key, String value) {
        Cell cell = new Cell(value, version);
        if (value == null) {
            rows.remove(key);
        } else {
            rows.put(key, cell);
        }
        history.add(new Change(key, cell));
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.read(in, false);
                while (mode == Mode.SILENT) {
                    Thread.sleep(20);
                }
                Thread.sleep(3);
                String answer = mode == Mode.BUSY ? "503\n{}" : answer(request);
                int end = answer.indexOf('\n');
                byte[] body = answer.substring(end + 1).getBytes(StandardCharsets.UTF_8);
                out.write(Http.ascii("HTTP/1.1 " + answer.substring(0, end)
                        + " Status\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n"));
                out.write(body);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The node has closed the connection.
        }
    }

    private String answer(Http.Message request) throws InterruptedException {
        String target = request.target();
        int question = target.indexOf('?');
        String path = question < 0 ? target : target.substring(0, question);
        Map<String, String> query = new HashMap<>();
        if (question >= 0) {
            for (String pair : target.substring(question + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return switch (path) {
            case "/mustardusher/rows-tx" -> transact(Json.object(new String(request.body, StandardCharsets.UTF_8)));
            case "/mustardusher/rows-get" -> get(query);
            case "/mustardusher/rows-feed" -> feed(query);
            default -> "404\n{}";
        };
    }

    @SuppressWarnings("unchecked")
    private static Key key(Object row) {
        Map<String, Object> map = (Map<String, Object>) row;
        return new Key((String) map.get("table"), (String) map.getOrDefault("part", ""), (String) map.get("key"));
    }

    @SuppressWarnings("unchecked")
    private synchronized String transact(Map<String, Object> body) {
        List<Object> none = List.of();
        StringBuilder current = new StringBuilder();
        boolean holds = true;
        for (Object expected : (List<Object>) body.getOrDefault("expectedRev", none)) {
            Cell cell = rows.get(key(expected));
            double wanted = (Double) ((Map<String, Object>) expected).get("ver");
            holds &= (cell == null ? 0 : cell.version) == (long) wanted;
            if (cell != null) {
                current.append(current.length() == 0 ? "" : ",").append(format(key(expected), cell));
            }
        }
        if (!holds) {
            return "412\n{\"rows\":[" + current + "]," + tail();
        }
        version++;
        for (Object row : (List<Object>) body.getOrDefault("setKeys", none)) {
            set(key(row), (String) ((Map<String, Object>) row).get("value"));
        }
        for (Object row : (List<Object>) body.getOrDefault("remove", none)) {
            set(key(row), null);
        }
        notifyAll();
        return "200\n{" + tail();
    }

    private synchronized String get(Map<String, String> query) {
        String table = query.get("table");
        String part = query.getOrDefault("part", "");
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        StringBuilder found = new StringBuilder();
        int count = 0;
        boolean truncated = false;
        for (Map.Entry<Key, Cell> row : rows.entrySet()) {
            Key key = row.getKey();
            boolean in = key.table.equals(table)
                    && key.part.equals(part)
                    && key.key.compareTo(query.getOrDefault("from", "")) >= 0
                    && (!query.containsKey("target") || key.key.compareTo(query.get("target")) < 0);
            if (in && count == limit) {
                truncated = true;
            } else if (in) {
                found.append(count++ == 0 ? "" : ",").append(format(key, row.getValue()));
            }
        }
        return "200\n{\"rows\":[" + found + "],\"truncated\":" + truncated + "," + tail();
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            StringBuilder found = new StringBuilder();
            for (Change change : history) {
                if (change.key.table.equals(query.get("table")) && change.cell.version > after) {
                    found.append(found.length() == 0 ? "" : ",").append(format(change.key, change.cell));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (found.length() > 0 || left <= 0) {
                return "200\n{\"rows\":[" + found + "]," + tail();
            }
            wait(left);
        }
    }

    private static String format(Key key, Cell cell) {
        return "{\"table\":" + Json.quote(key.table) + ",\"part\":" + Json.quote(key.part) + ",\"key\":"
                + Json.quote(key.key) + (cell.value == null ? ",\"deleted\":true" : ",\"value\":" + Json.quote(cell.value))
                + ",\"ver\":" + cell.version + "}";
    }

    private String tail() {
        return "\"ver\":" + version + ",\"now\":\"" + (System.nanoTime() - start) / 1_000_000 + "ms\"}";
    }
}
