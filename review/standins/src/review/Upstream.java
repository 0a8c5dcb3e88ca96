package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of an application upstream: answers requests and checks in at the node on its machine. */
final class Upstream implements AutoCloseable {

    /** What the upstream does with a request that it has read. */
    interface Behaviour {

        void run(Upstream upstream, Exchange exchange) throws Exception;
    }

    /** A request and the connection on which it came; the body is {@code null} if it hasn't been read. */
    record Exchange(Http.Head head, byte[] body, Socket socket, InputStream in, OutputStream out) {

        String id() {
            return head.field("X-Attempt-Id");
        }
    }

    final Fleet.Machine machine;
    final String id;
    final int capacity;
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    final AtomicInteger running = new AtomicInteger();
    volatile Behaviour behaviour = (upstream, exchange) -> {
        noteRun(exchange);
        answer(exchange, 200, "done".getBytes());
    };

    /** Answers health probes in place of the upstream; {@code null} if it answers them itself. */
    volatile Behaviour healthBehaviour;

    volatile String state = "ready";
    volatile boolean beating;
    volatile boolean leaving;
    volatile int slownessPercent = 100;

    private final Record record;
    private volatile ServerSocket listener;
    private final AtomicLong sequence = new AtomicLong();
    private volatile boolean closed;

    Upstream(Fleet.Machine machine, String id, int capacity, Record record) throws IOException {
        this(machine, id, capacity, record, true);
    }

    /** Starts an upstream; one that doesn't check in by itself leaves that to the case. */
    Upstream(Fleet.Machine machine, String id, int capacity, Record record, boolean beating) throws IOException {
        this.beating = beating;
        this.machine = machine;
        this.id = id;
        this.capacity = capacity;
        this.record = record;
        startAccepting();
        Fleet.daemon(() -> {
            while (!closed) {
                if (beating) {
                    beat(state, sequence.incrementAndGet());
                }
                Thread.sleep(beating ? 1500 : 100);
            }
        });
    }

    /** Opens the listening socket. */
    void startAccepting() throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new java.net.InetSocketAddress(InetAddress.getByName(machine.ip), machine.appPort), 200);
        listener = opened;
        Fleet.daemon(() -> {
            while (!closed) {
                Socket socket = opened.accept();
                sockets.add(socket);
                Fleet.daemon(() -> serve(socket));
            }
        });
    }

    /** Closes the listening socket; accepted connections go on. */
    void stopAccepting() throws IOException {
        listener.close();
    }

    /** Sends the next check-in with the present state; returns whether it was acknowledged. */
    boolean beat() {
        return beat(state, sequence.incrementAndGet());
    }

    /** Sends a check-in; returns whether it was acknowledged. */
    boolean beat(String phase, long number) {
        String text = "{\"service\":" + Json.quote(machine.service) + ",\"address\":\""
                + Fleet.text(machine.appAddress) + "\",\"zone\":" + Json.quote(machine.zone) + ",\"version\":\"v1\",\"capacity\":"
                + capacity + ",\"state\":\"" + phase + "\",\"coldRemaining\":\"0ms\",\"sequence\":" + number + "}";
        return call("/mustardusher/Instances.Heartbeat/" + id, text, phase + " " + number);
    }

    /** Continues the check-ins of an earlier process of the same instance. */
    void continueSequence(long last) {
        sequence.set(last);
    }

    long lastSequence() {
        return sequence.get();
    }

    boolean deregister() {
        return call("/mustardusher/Instances.Deregister/" + id, "", "deregister");
    }

    private boolean call(String path, String text, String what) {
        try (Socket socket = new Socket(machine.ip, machine.controlPort)) {
            socket.setSoTimeout(1000);
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream()
                    .write(("POST " + path + " HTTP/1.1\r\nHost: " + machine.ip + "\r\nContent-Type: application/json"
                                    + "\r\nContent-Length: " + bytes.length + "\r\n\r\n" + text)
                            .getBytes(StandardCharsets.UTF_8));
            Http.Head answer = Http.readHead(new BufferedInputStream(socket.getInputStream()));
            boolean acknowledged = answer != null && answer.status() / 100 == 2;
            if (!what.startsWith("ready")) {
                record.add("%s says %s: %s", id, what, answer == null ? "no answer" : answer.status());
            }
            return acknowledged;
        } catch (IOException e) {
            return false;
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                if (head.path().equals("/health") && healthBehaviour != null) {
                    healthBehaviour.run(this, new Exchange(head, new byte[0], socket, in, out));
                    continue;
                }
                if (head.path().equals("/health")) {
                    boolean well = !leaving && state.equals("ready");
                    write(out, "HTTP/1.1 " + (well ? "200 OK" : "503 X") + "\r\nX-Instance-Id: " + id
                            + "\r\nX-Server-Load: " + load() + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                String target = head.field("X-Target-Instance");
                if (target != null && !target.equals(id)) {
                    Http.readBody(in, head);
                    record.add("%s answers 421 to %s, which is meant for %s", id, head.field("X-Attempt-Id"), target);
                    write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id
                            + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                byte[] body = behaviour instanceof BeforeBody ? null : Http.readBody(in, head);
                running.incrementAndGet();
                try {
                    behaviour.run(this, new Exchange(head, body, socket, in, out));
                } finally {
                    running.decrementAndGet();
                }
                if (socket.isClosed()) {
                    return;
                }
            }
        } finally {
            sockets.remove(socket);
        }
    }

    /** A behaviour that is called before the body of the request is read. */
    interface BeforeBody extends Behaviour {}

    /** Returns the value of the load header. */
    String load() {
        return Math.min(capacity, running.get()) + "," + Math.max(0, running.get() - capacity) + "," + capacity
                + "," + slownessPercent;
    }

    /** Notes that a request runs. */
    void noteRun(Exchange exchange) {
        record.add("%s runs %s", id, exchange.id());
    }

    /** Sends a complete and signed answer. */
    void answer(Exchange exchange, int status, byte[] body) throws IOException {
        write(exchange.out, answerHead(exchange, status) + "Content-Length: " + body.length + "\r\n\r\n");
        exchange.out.write(body);
        exchange.out.flush();
    }

    /** Returns the head of a signed answer without the length of its body and the empty line. */
    String answerHead(Exchange exchange, int status) {
        return "HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + exchange.id() + "\r\nX-Server-Signature: "
                + signature(id, exchange.id()) + "\r\nX-Server-Load: " + load() + "\r\n";
    }

    static String signature(String instance, String requestId) {
        return "sig-" + instance + "-" + requestId;
    }

    /** Refuses a request that has not run. */
    void refuse(Exchange exchange) throws IOException {
        write(exchange.out, "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " + exchange.id()
                + "\r\nX-Server-Load: " + load() + "\r\nContent-Length: 0\r\n\r\n");
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
