import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** Stand-in of an upstream: slots, a queue, check-ins at the node beside it, and a log of what reached it. */
final class Upstream {

    /** A request that reached the upstream. */
    record Arrival(
            String upstream, String id, String method, String target, int length, int hash, String caller, long atMillis) {}

    final String id;
    final String service;
    final String zone;
    final String address;
    final int slots;
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();

    /** Time of work for a request, in milliseconds. */
    volatile Function<Http.Message, Long> work = request -> 20L;

    /** Body of the answer. */
    volatile Function<Http.Message, byte[]> content = request -> Http.ascii("done " + request.header("x-attempt-id"));

    /** Time between two writes of a spoiled answer, in milliseconds. */
    static final long WRITE_PAUSE_MILLIS = 15;

    /** Writes of a spoiled answer, after which the upstream closes the connection; empty for a sound answer. */
    volatile Function<Http.Message, List<byte[]>> spoiled = request -> List.of();

    volatile boolean leaving;
    volatile boolean gone;

    private final Rig rig;
    private final String control;
    private final ServerSocket listener;
    private final Semaphore free;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private final Map<Socket, Boolean> sockets = new java.util.concurrent.ConcurrentHashMap<>();
    private int sequence;

    Upstream(Rig rig, String id, String service, String zone, String ip, int port, String control, int slots)
            throws IOException {
        this.rig = rig;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.control = control;
        this.slots = slots;
        this.address = ip + ":" + port;
        this.free = new Semaphore(slots, true);
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 500);
        Rig.thread("upstream", () -> {
            while (!gone) {
                Socket socket = listener.accept();
                sockets.put(socket, true);
                Rig.thread("upstream-connection", () -> serve(socket));
            }
        });
        Rig.thread("check-in", () -> {
            while (!gone) {
                checkIn();
                Thread.sleep(1_500);
            }
        });
    }

    /** Sends a check-in. Returns whether it was acknowledged within a second. */
    synchronized boolean checkIn() {
        String body = "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"capacity\":" + slots + ",\"state\":\"" + (leaving ? "draining" : "ready")
                + "\",\"coldRemaining\":\"0ms\",\"sequence\":" + ++sequence + "}";
        return post("/mustardusher/Instances.Heartbeat/" + id, body);
    }

    /** Reports that it drains, again until it is confirmed. Returns the time of the confirmation. */
    long drain() throws InterruptedException {
        leaving = true;
        while (!checkIn()) {
            Thread.sleep(100);
        }
        return rig.now();
    }

    /** Deregisters. Returns whether it was acknowledged. */
    boolean deregister() {
        return post("/mustardusher/Instances.Deregister/" + id, "{}");
    }

    /** Ends as a process does: all connections are closed, and the address listens no more. */
    void exit() throws IOException {
        gone = true;
        listener.close();
        for (Socket socket : sockets.keySet()) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private boolean post(String path, String body) {
        int colon = control.indexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(control.substring(0, colon), Integer.parseInt(control.substring(colon + 1))),
                    1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write(Http.ascii("POST " + path + " HTTP/1.1\r\nHost: " + control
                            + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n"
                            + body));
            return Http.read(new BufferedInputStream(socket.getInputStream()), true).status() / 100 == 2;
        } catch (IOException e) {
            return false;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.read(in, false);
                if (request.target().equals("/health")) {
                    answer(out, leaving ? 503 : 200, "X-Instance-Id: " + id + "\r\n", new byte[0]);
                    continue;
                }
                String echo = "X-Attempt-Id: " + request.header("x-attempt-id") + "\r\n";
                String target = request.header("x-target-instance");
                if (!target.isEmpty() && !target.equals(id)) {
                    answer(out, 421, echo + "X-Instance-Id: " + id + "\r\nX-Not-Executed: 1\r\n", new byte[0]);
                    continue;
                }
                if (waiting.incrementAndGet() > 2 * slots) {
                    waiting.decrementAndGet();
                    answer(out, 503, echo + "X-Not-Executed: 1\r\n", new byte[0]);
                    continue;
                }
                free.acquireUninterruptibly();
                waiting.decrementAndGet();
                running.incrementAndGet();
                arrivals.add(new Arrival(
                        id,
                        request.header("x-attempt-id"),
                        request.method(),
                        request.target(),
                        request.body.length,
                        java.util.Arrays.hashCode(request.body),
                        request.header("x-caller-service"),
                        rig.now()));
                try {
                    Thread.sleep(work.apply(request));
                    List<byte[]> writes = spoiled.apply(request);
                    if (!writes.isEmpty()) {
                        for (byte[] write : writes) {
                            out.write(write);
                            out.flush();
                            Thread.sleep(WRITE_PAUSE_MILLIS);
                        }
                        return;
                    }
                    byte[] body = content.apply(request);
                    answer(out, 200, echo + "X-Server-Signature: s-" + id + "\r\n", body);
                } finally {
                    running.decrementAndGet();
                    free.release();
                }
            }
        } catch (IOException | InterruptedException e) {
            // The node has closed the connection, or the upstream has ended.
        } finally {
            sockets.remove(socket);
        }
    }

    private void answer(OutputStream out, int status, String headers, byte[] body) throws IOException {
        byte[] head = Http.ascii("HTTP/1.1 " + status + " Status\r\n" + headers + "X-Server-Load: " + running.get() + ","
                + waiting.get() + "," + slots + "\r\n" + (leaving ? "Connection: close\r\n" : "") + "Content-Length: "
                + body.length + "\r\n\r\n");
        byte[] whole = new byte[head.length + body.length];
        System.arraycopy(head, 0, whole, 0, head.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        out.write(whole);
        out.flush();
    }
}
