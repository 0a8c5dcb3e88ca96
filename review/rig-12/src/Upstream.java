import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for an application upstream, with its check-ins. */
final class Upstream {

    private static final int HEARTBEAT_MILLIS = 1_500;

    /** Length of the body from which a request is worked on while its body arrives, in bytes. */
    private static final int LONG_BODY_BYTES = 1 << 20;

    private static final int PIECE_BYTES = 256 << 10;

    final Machine machine;
    final String id;
    final int capacity;
    private final Rig rig;
    private final ServerSocket server;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger sequence = new AtomicInteger();
    volatile String state = "ready";
    volatile boolean leaving;
    volatile long workMillis = 20;

    /** Time for which a piece of a long body is worked on, in milliseconds. */
    volatile long pieceMillis = 1;

    /** Requests that this upstream has run. */
    final List<Run> runs = new CopyOnWriteArrayList<>();

    record Run(String attempt, String method, String path, String upstream, String service, double second) {}

    Upstream(Rig rig, Machine machine, String id, int capacity) throws IOException {
        this.rig = rig;
        this.machine = machine;
        this.id = id;
        this.capacity = capacity;
        server = new ServerSocket();
        server.setReuseAddress(true);
        // What is not worked on waits with its sender.
        server.setReceiveBufferSize(64 << 10);
        server.bind(new InetSocketAddress(machine.ip, machine.appPort()), 200);
        rig.run("upstream " + id, this::accept);
        rig.run("check-ins of " + id, this::checkIn);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            rig.run("upstream connection", () -> serve(socket));
        }
    }

    /** Adds the requests that upstreams have run to the record. */
    static void recordRuns(Rig rig, List<Upstream> upstreams) {
        for (Upstream upstream : upstreams) {
            for (Run run : upstream.runs) {
                rig.record(String.format("%s (%s) ran %s %s %s, begun at %.3f",
                        run.upstream(), run.service(), run.attempt(), run.method(), run.path(), run.second()));
            }
        }
    }

    private void checkIn() throws InterruptedException {
        while (true) {
            sendCheckIn();
            Thread.sleep(HEARTBEAT_MILLIS);
        }
    }

    /** Sends a check-in and returns whether it was confirmed within a second. */
    boolean sendCheckIn() {
        return post("/mustardusher/Instances.Heartbeat/" + id, checkIn(sequence.incrementAndGet()));
    }

    String checkIn(long number) {
        return "{\"service\":" + Json.quote(machine.service) + ",\"address\":\"" + machine.ip + ":" + machine.appPort()
                + "\",\"zone\":" + Json.quote(machine.zone) + ",\"version\":\"v1\",\"capacity\":" + capacity + ",\"state\":"
                + Json.quote(state) + ",\"coldRemaining\":\"0ms\",\"sequence\":" + number + "}";
    }

    boolean post(String path, String body) {
        Client.Answer answer = Client.send(
                machine.ip, machine.controlPort(), "POST", path, "control", "Content-Type: application/json\r\n",
                body.getBytes(StandardCharsets.UTF_8), 1_000);
        rig.record(id + ": " + path + " " + body + " -> " + answer);
        return answer.status() == 200;
    }

    private static boolean isLong(Http.Message request) {
        String length = request.header("content-length");
        return !length.isEmpty() && Integer.parseInt(length) > LONG_BODY_BYTES;
    }

    private void workOnLongBody(BufferedInputStream in, Http.Message request, String attempt)
            throws IOException, InterruptedException {
        int left = Integer.parseInt(request.header("content-length"));
        try {
            while (left > 0) {
                int piece = Math.min(PIECE_BYTES, left);
                Http.readExactly(in, piece);
                left -= piece;
                Thread.sleep(pieceMillis);
            }
        } catch (IOException e) {
            rig.record(id + ": the body of " + attempt + " is broken off with " + left + " bytes left");
            throw e;
        }
    }

    private void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Message request;
            while ((request = Http.readHead(in)) != null) {
                byte[] body;
                String head;
                boolean longBody = isLong(request);
                if (!longBody) {
                    request = new Http.Message(request.first(), request.headers(), Http.readBody(in, request, false));
                }
                String attempt = request.header("x-attempt-id");
                String target = request.header("x-target-instance");
                if (request.path().equals("/health")) {
                    body = new byte[0];
                    head = (leaving ? "503 Unavailable" : "200 OK") + "\r\nX-Instance-Id: " + id + "\r\n";
                } else if (!target.isEmpty() && !target.equals(id)) {
                    body = new byte[0];
                    head = "421 Misdirected\r\nX-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + id + "\r\n";
                } else if (running.get() >= 2 * capacity) {
                    body = new byte[0];
                    head = "503 Full\r\nX-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n";
                } else {
                    running.incrementAndGet();
                    try {
                        runs.add(new Run(attempt, request.method(), request.path(), id, machine.service, rig.seconds()));
                        if (longBody) {
                            workOnLongBody(in, request, attempt);
                        } else {
                            Thread.sleep(workMillis);
                        }
                    } catch (InterruptedException e) {
                        return;
                    } finally {
                        running.decrementAndGet();
                    }
                    body = ("answer to " + attempt).getBytes(StandardCharsets.UTF_8);
                    head = "200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Signature: " + id + "." + attempt + "\r\n";
                }
                head += "X-Server-Load: " + running.get() + ",0," + capacity + "\r\nContent-Length: " + body.length + "\r\n";
                out.write(("HTTP/1.1 " + head + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                out.flush();
            }
        }
    }
}
