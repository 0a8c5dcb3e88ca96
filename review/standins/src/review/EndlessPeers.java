package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Other peers that send without end: check-ins, the store, and processes that reach the ports of other nodes. */
final class EndlessPeers {

    private static final AtomicLong PAGES = new AtomicLong(1000);

    private EndlessPeers() {}

    static void addTo(Map<String, EndlessForm> forms) {
        for (int count : new int[] {1, 50}) {
            forms.put("check-in-chunks-" + count, checkIns(count, "Transfer-Encoding: chunked\r\n\r\n", chunks(64 << 10, 64 << 10)));
            forms.put("check-in-bytes-" + count, checkIns(count, "Transfer-Encoding: chunked\r\n\r\n", chunks(1, 64 << 10)));
        }
        forms.put("check-in-length-50", checkIns(50, "Content-Length: 2000000000\r\n\r\n", new byte[64 << 10]));
        forms.put("check-in-head-50", checkIns(50, "", EndlessCallers.repeated("a:b\r\n", 16 << 10)));
        forms.put("check-in-text-50", run -> {
            // Whole check-ins of 60 kB that are not in the protocol.
            String text = "{\"service\":\"" + "x".repeat(60_000);
            String fields = "Content-Length: " + text.length() + "\r\n\r\n";
            begin(run, 50, (socket, name) -> {
                InputStream in = socket.getInputStream();
                while (run.isTroubled()) {
                    write(run, socket, (checkInHead(name) + fields + text).getBytes());
                    Http.Head head = Http.readHead(in);
                    if (head == null) {
                        return;
                    }
                    Http.readBody(in, head);
                    run.count("answered " + head.status());
                }
            });
        });
        store(forms, "store-chunks-1", "Transfer-Encoding: chunked\r\n\r\n", chunks(1, 32 << 10));
        store(forms, "store-chunks-32k", "Transfer-Encoding: chunked\r\n\r\n", chunks(32 << 10, 32 << 10));
        store(forms, "store-no-length", "\r\n", new byte[32 << 10]);
        store(forms, "store-fields", "", EndlessCallers.repeated("a:\r\n", 32 << 10));
        store(forms, "store-answers", "Content-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".repeat(500).getBytes());
        forms.put("store-rows-6m", run -> flood(run, out -> {
            // A whole answer in the protocol, of rows as large as the store allows.
            String value = "A".repeat(80_000);
            StringBuilder text = new StringBuilder("{\"rows\":[");
            for (int i = 0; i < 80; i++) {
                text.append(i == 0 ? "" : ",").append("{\"table\":\"op\",\"part\":\"\",\"key\":\"k").append(i)
                        .append("\",\"ver\":").append(i + 1).append(",\"value\":\"").append(value).append("\"}");
            }
            text.append("],\"truncated\":true,\"ver\":100,\"now\":\"1ms\"}");
            run.count("answers");
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + text.length() + "\r\n\r\n" + text).getBytes());
        }));
        forms.put("store-pages", run -> flood(run, out -> {
            // Pages of 1 MB in the protocol that never end, each with other keys.
            String value = "A".repeat(13_000);
            StringBuilder text = new StringBuilder("{\"rows\":[");
            long page = PAGES.incrementAndGet() * 1000;
            for (int i = 0; i < 70; i++) {
                text.append(i == 0 ? "" : ",").append("{\"table\":\"op\",\"part\":\"\",\"key\":\"k")
                        .append(page + i).append("\",\"ver\":").append(i + 1).append(",\"value\":\"").append(value)
                        .append("\"}");
            }
            text.append("],\"truncated\":true,\"ver\":").append(page).append(",\"now\":\"1ms\"}");
            run.count("answers");
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + text.length()
                            + "\r\n\r\n" + text)
                    .getBytes());
        }));
        forms.put("store-rows-small", run -> flood(run, out -> {
            // Rows of four bytes each, which take far more memory when they are parsed.
            String text = "{\"rows\":[" + "{},".repeat(2_000_000) + "{}],\"truncated\":true,\"ver\":100}";
            run.count("answers");
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + text.length() + "\r\n\r\n" + text).getBytes());
        }));
        forms.put("inbound-body-12", run -> ports(run, 12, machine -> machine.inboundPort,
                EndlessCallers.head("POST", "/pour/", "00000000000000000000", "Transfer-Encoding: chunked\r\n"),
                chunks(64 << 10, 64 << 10)));
        for (int offset = 0; offset < 4; offset++) {
            int port = offset;
            forms.put("internal-" + offset + "-noise-12",
                    run -> ports(run, 12, machine -> machine.internalPort + port, "", new byte[64 << 10]));
            forms.put("internal-" + offset + "-http-12",
                    run -> ports(run, 12, machine -> machine.internalPort + port,
                            EndlessCallers.head("POST", "/pour/", "00000000000000000000", "Transfer-Encoding: chunked\r\n"),
                            chunks(64 << 10, 64 << 10)));
        }
        forms.put("ready-body-12", run -> ports(run, 12, machine -> machine.readyPort,
                "POST /mustardusher/ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
                chunks(64 << 10, 64 << 10)));
    }

    private interface Peer {

        void run(Socket socket, String name) throws Exception;
    }

    private interface Port {

        int of(Fleet.Machine machine);
    }

    private static void ports(EndlessBytes run, int count, Port port, String start, byte[] repeated) {
        for (int number = 0; number < count; number++) {
            Fleet.Machine machine = run.fleet.machines.get(number % run.fleet.machines.size());
            Fleet.daemon(() -> flood(run, machine.ip, port.of(machine), start, repeated));
        }
    }

    private static void flood(EndlessBytes run, String ip, int port, String start, byte[] repeated) throws Exception {
        while (run.isTroubled()) {
            Socket socket = null;
            try {
                socket = run.connect(ip, port);
                socket.getOutputStream().write(start.getBytes());
                while (run.isTroubled()) {
                    write(run, socket, repeated);
                    if (socket.getInputStream().available() > 0) {
                        Http.Head head = Http.readHead(socket.getInputStream());
                        run.count(head == null ? "closed" : "answered " + head.line());
                        break;
                    }
                }
            } catch (IOException | RuntimeException e) {
                run.count(socket == null ? "not connected" : "broken off");
                Thread.sleep(20);
            } finally {
                if (socket != null) {
                    run.forget(socket);
                }
            }
        }
    }

    private static EndlessForm checkIns(int count, String fields, byte[] repeated) {
        return run -> {
            for (int number = 0; number < count; number++) {
                Fleet.Machine machine = run.fleet.machines.get(2 + number % 2);
                Fleet.daemon(() -> flood(run, machine.ip, machine.controlPort, checkInHead(machine.name) + fields, repeated));
            }
        };
    }

    private static void begin(EndlessBytes run, int count, Peer peer) {
        for (int number = 0; number < count; number++) {
            Fleet.Machine machine = run.fleet.machines.get(2 + number % 2);
            Fleet.daemon(() -> {
                while (run.isTroubled()) {
                    Socket socket = run.connect(machine.ip, machine.controlPort);
                    try {
                        peer.run(socket, machine.name);
                    } catch (IOException e) {
                        run.count("broken off");
                        Thread.sleep(20);
                    } finally {
                        run.forget(socket);
                    }
                }
            });
        }
    }

    private static String checkInHead(String name) {
        return "POST /mustardusher/Instances.Heartbeat/i-" + name + " HTTP/1.1\r\nHost: x\r\n"
                + "Content-Type: application/json\r\n";
    }

    private static void flood(EndlessBytes run, Store.Flood flood) {
        run.fleet.store.flood = flood;
        // Ends the waiting reads, so that the next ones are asked at once.
        run.fleet.store.put("op", "note", "x");
    }

    private static void store(Map<String, EndlessForm> forms, String name, String fields, byte[] repeated) {
        String start = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + fields;
        forms.put(name, run -> {
            flood(run, out -> {
                try {
                    out.write(start.getBytes());
                    while (run.isTroubled()) {
                        run.pace(repeated.length);
                        out.write(repeated);
                    }
                } catch (IOException e) {
                    run.count("given up by the node");
                    throw e;
                }
            });
        });
    }

    private static void write(EndlessBytes run, Socket socket, byte[] bytes) throws IOException {
        run.pace(bytes.length);
        socket.getOutputStream().write(bytes);
    }

    /** Returns chunks of a size, as many as fit into a number of bytes, but one at least. */
    static byte[] chunks(int chunkBytes, int totalBytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] size = (Integer.toHexString(chunkBytes) + "\r\n").getBytes();
        byte[] data = EndlessCallers.filled('x', chunkBytes);
        do {
            out.writeBytes(size);
            out.writeBytes(data);
            out.writeBytes("\r\n".getBytes());
        } while (out.size() < totalBytes);
        return out.toByteArray();
    }

    /** Reads the body of a request to its end without keeping it. */
    static void drainBody(InputStream in, Http.Head head) throws IOException {
        if (!"chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
            String length = head.field("Content-Length");
            in.skipNBytes(length == null ? 0 : Long.parseLong(length));
            return;
        }
        while (true) {
            String line = readLine(in);
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            if (size == 0) {
                while (!readLine(in).isEmpty()) {
                    // A trailer.
                }
                return;
            }
            in.skipNBytes(size + 2L);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("a line is cut short");
            }
            if (c != '\r' && line.length() < 100) {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
