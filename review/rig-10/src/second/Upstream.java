package second;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One boot of an application upstream. */
final class Upstream {
    private static final AtomicInteger SIGS = new AtomicInteger();
    final String id;
    final String service;
    final Machine machine;
    final int capacity;
    final int queue;
    final boolean load;
    final boolean resets;
    private final int speed;
    private final Rig rig;
    private final ServerSocket server;
    private final Semaphore slots;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger conns = new AtomicInteger();
    private final Set<Conn> open = ConcurrentHashMap.newKeySet();
    volatile String state = "ready";
    volatile boolean ended;
    private long sequence;
    private String beatAddr;
    private final long started = System.nanoTime();

    Upstream(Rig rig, Machine m, String id, String service, int capacity, int speed) throws IOException {
        this.rig = rig;
        this.machine = m;
        this.id = id;
        this.service = service;
        this.capacity = capacity;
        this.queue = capacity;
        this.speed = speed;
        this.load = !service.equals("sb");
        this.resets = service.equals("sc");
        slots = new Semaphore(capacity, true);
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(m.ip), Rig.APP), 300);
        Rig.thread("up-" + id, this::accept);
        Rig.thread("beat-" + id, this::beats);
    }

    private void accept() {
        while (!ended) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                if (open.size() > 260) {
                    reset(s);
                    continue;
                }
                Conn c = new Conn(s, conns.incrementAndGet());
                open.add(c);
                Rig.thread("up-c", c::serve);
            } catch (IOException e) {
                return;
            }
        }
    }

    static void reset(Socket s) {
        try {
            s.setSoLinger(true, 0);
            s.close();
        } catch (IOException e) {
            return;
        }
    }

    void end() {
        ended = true;
        try {
            server.close();
        } catch (IOException e) {
            System.out.println(e);
        }
        for (Conn c : open) {
            c.close();
        }
    }

    // Announcements

    private void beats() {
        while (!ended && !state.equals("gone")) {
            beat();
            Rig.sleep(1500);
        }
    }

    boolean beat() {
        sequence++;
        String b = Json.text(Json.map(
                "service",
                service,
                "address",
                machine.ip + ":" + Rig.APP,
                "zone",
                machine.zone,
                "version",
                "v1",
                "capacity",
                capacity,
                "state",
                state,
                "coldRemaining",
                "0ms",
                "sequence",
                sequence));
        return call("Instances.Heartbeat", b);
    }

    boolean leave() {
        return call("Instances.Deregister", "");
    }

    private boolean call(String name, String body) {
        for (String addr : new String[] {beatAddr, machine.ip + ":" + Rig.CONTROL}) {
            if (addr == null) {
                continue;
            }
            String[] hp = addr.split(":");
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(hp[0], Integer.parseInt(hp[1])), 1000);
                s.getOutputStream()
                        .write(("POST /mustardusher/" + name + "/" + id + " HTTP/1.1\r\nHost: " + addr
                                        + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                                        + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.UTF_8));
                Wire w = new Wire(s);
                w.deadline = System.nanoTime() + 1_000_000_000L;
                Wire.Head h = w.head(true);
                if (h == null || h.status() / 100 != 2) {
                    beatAddr = null;
                    continue;
                }
                byte[] b = w.body(h, true, h.status());
                beatAddr = null;
                if (b.length > 0) {
                    Object o = Json.asMap(Json.read(new String(b, StandardCharsets.UTF_8)))
                            .get("heartbeatAddr");
                    beatAddr = o == null || o.toString().isEmpty() ? null : o.toString();
                }
                return true;
            } catch (IOException | RuntimeException e) {
                beatAddr = null;
            }
        }
        return false;
    }

    /** One connection of a caller. */
    private final class Conn {
        private final Socket s;
        private final int no;
        private final String name;
        private final Wire in;
        private final OutputStream out;
        private final Object lock = new Object();
        private final List<Runnable> onNext = new java.util.concurrent.CopyOnWriteArrayList<>();
        private final List<Runnable> afterNext = new ArrayList<>();
        private final List<Runnable> onProbe = new java.util.concurrent.CopyOnWriteArrayList<>();
        private boolean loseNext;
        private int arrivals;
        private volatile boolean dead;

        Conn(Socket s, int no) throws IOException {
            this.s = s;
            this.no = no;
            this.name = id + "#" + no;
            in = new Wire(s);
            out = s.getOutputStream();
        }

        void close() {
            dead = true;
            open.remove(this);
            try {
                s.close();
            } catch (IOException e) {
                return;
            }
        }

        void serve() {
            try {
                while (!dead) {
                    s.setSoTimeout(20_000);
                    Wire.Head h = in.head(false);
                    if (h == null) {
                        break;
                    }
                    s.setSoTimeout(15_000);
                    if (h.get("X-Attempt-Id") == null && h.line.startsWith("GET /health ")) {
                        probe(h);
                    } else {
                        request(h);
                    }
                }
                rig.rec.event("upConnEnd", null, name, "by", dead ? "upstream" : "peer");
            } catch (Wire.Broken e) {
                rig.judge.unaskedBytes(name, e.getMessage());
            } catch (IOException e) {
                rig.rec.event("upConnEnd", null, name, "by", dead ? "upstream" : e.toString());
            } catch (RuntimeException e) {
                e.printStackTrace();
            } finally {
                close();
            }
        }

        private void send(byte[] b) throws IOException {
            synchronized (lock) {
                out.write(b);
            }
        }

        private void run(List<Runnable> l) {
            List<Runnable> now = new ArrayList<>(l);
            l.clear();
            now.forEach(Runnable::run);
        }

        private void probe(Wire.Head h) throws IOException {
            rig.rec.event("probe", null, name);
            rig.judge.probes.incrementAndGet();
            run(onProbe);
            run(onNext);
            boolean lost = loseNext;
            loseNext = false;
            if (!lost) {
                send(("HTTP/1.1 " + (state.equals("ready") ? "200 OK" : "503 Draining") + "\r\nX-Instance-Id: " + id
                                + "\r\n" + loadLine() + "Content-Length: 2\r\n\r\nok")
                        .getBytes(StandardCharsets.ISO_8859_1));
            }
            run(afterNext);
        }

        private String loadLine() {
            int free = slots.availablePermits();
            return load ? "X-Server-Load: " + (capacity - free) + "," + waiting.get() + "," + capacity + ",100\r\n" : "";
        }

        private void request(Wire.Head h) throws IOException {
            String[] l = h.line.split(" ");
            String at = h.get("X-Attempt-Id");
            Rec.Attempt a = at == null ? null : rig.rec.attempts.get(at);
            int no = ++arrivals;
            String target = h.get("X-Target-Instance");
            rig.rec.event(
                    "arrival", at, name, "no", no, "line", h.line, "timeout", h.get("X-Timeout-Ms"), "target", target,
                    "caller", h.get("X-Caller-Service"));
            int nth = 0;
            if (a != null) {
                synchronized (a) {
                    nth = ++a.arrivals;
                }
            }
            Random r = new Random(
                    rig.seed * 31 + (at == null ? 0 : at.hashCode()) * 131L + nth * 7L + id.hashCode());
            rig.judge.arrivals.incrementAndGet();
            run(onNext);
            boolean lost = loseNext;
            loseNext = false;
            if (target != null && !target.equals(id)) {
                in.body(h, false, 0);
                Rec.Ans x = answer(a, at, no, 421, 0, "421");
                x.notExecuted = true;
                x.signed = false;
                sendAnswer(x, "X-Instance-Id: " + id + "\r\n", 0);
                return;
            }
            if (at == null) {
                in.body(h, false, 0);
                send("HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                        .getBytes(StandardCharsets.ISO_8859_1));
                rig.judge.unaskedId("no id: " + h);
                return;
            }
            if (a == null) {
                rig.judge.unaskedId(h.toString());
                a = new Rec.Attempt();
                a.id = at;
                a.phase = rig.phase;
                a.caller = "?";
                a.route = new Rec.Route("?", "?", true, null);
                a.body = new byte[0];
                a.target = l[1];
                a.method = l[0];
            }
            boolean longBody = h.get("Transfer-Encoding") != null
                    || h.get("Content-Length") != null && Long.parseLong(h.get("Content-Length")) > 60_000;
            Form f = rig.form(Upstream.this, r, longBody);
            byte[] got = null;
            if (!f.early()) {
                got = in.body(h, false, 0);
                rig.judge.request(a, l[0], l[1], got, h, name);
            }
            long limit = h.get("X-Timeout-Ms") == null ? 3000 : (long) Double.parseDouble(h.get("X-Timeout-Ms"));
            long end = System.nanoTime() + limit * 1_000_000;
            if (f.promise()) {
                refuse(a, no, f, r);
                run(afterNext);
                return;
            }
            if (!admit(limit)) {
                if (resets) {
                    rig.rec.event("resetFull", at, name);
                    markBroke(a);
                    dead = true;
                    reset(s);
                    return;
                }
                Rec.Ans x = answer(a, at, no, 503, 0, "full");
                x.notExecuted = true;
                x.signed = false;
                sendAnswer(x, "Retry-After: 0.1\r\n", 0);
                run(afterNext);
                return;
            }
            try {
                rig.judge.ran(a, id, name);
                work(a, no, f, r, end, lost);
                if (f.early() && !dead) {
                    Rig.sleep(r.nextInt(400));
                    got = in.body(h, false, 0);
                    rig.judge.request(a, l[0], l[1], got, h, name);
                }
            } finally {
                slots.release();
            }
            run(afterNext);
        }

        private boolean admit(long limit) {
            if (slots.tryAcquire()) {
                return true;
            }
            if (waiting.incrementAndGet() > queue) {
                waiting.decrementAndGet();
                return false;
            }
            try {
                return slots.tryAcquire(limit, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                return false;
            } finally {
                waiting.decrementAndGet();
            }
        }

        private void markBroke(Rec.Attempt a) {
            synchronized (a) {
                a.brokeOff = true;
            }
        }

        private void refuse(Rec.Attempt a, int no, Form f, Random r) throws IOException {
            Rec.Ans x = answer(a, a.id, no, f.status(), r.nextInt(80), f.name());
            x.notExecuted = true;
            x.signed = r.nextBoolean();
            String more = f.status() == 421 ? "X-Instance-Id: i-other\r\n" : r.nextBoolean() ? "Retry-After: 0.05\r\n" : "";
            sendAnswer(x, more, 0);
            if (f.extra()) {
                second(a, no, x, f.name().endsWith("LATE") ? Form.EXTRA_LATE : pick(r), r);
            }
        }

        private Form pick(Random r) {
            Form[] all = {
                Form.EXTRA_NOW, Form.EXTRA_SOON, Form.EXTRA_LATE, Form.EXTRA_NEXT, Form.EXTRA_NEXT_LOST, Form.EXTRA_SPLIT
            };
            return all[r.nextInt(all.length)];
        }

        private void work(Rec.Attempt a, int no, Form f, Random r, long end, boolean lost) throws IOException {
            int ms = speed + r.nextInt(speed + 10) + (r.nextInt(40) == 0 ? 300 : 0);
            if (f == Form.SLOW) {
                ms += 500 + r.nextInt(2500);
            }
            boolean bad = false;
            if (a.route.nested != null) {
                bad = !rig.client.nested(machine, service, a, end, r);
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (f.limit()) {
                ms = (int) Math.max(0, left + (f == Form.LIMIT_LATE || f == Form.LIMIT_LATE_TWICE ? r.nextInt(600) : 0));
            }
            if (!f.limit() && ms >= left) {
                Rig.sleep(Math.max(0, left));
                sendAnswer(answer(a, a.id, no, 504, 30, "limit"), "", 0);
                return;
            }
            Rig.sleep(ms);
            if (lost) {
                rig.rec.event("lost", a.id, name);
                markBroke(a);
                return;
            }
            if (bad) {
                int st = System.nanoTime() > end ? 504 : 500;
                sendAnswer(answer(a, a.id, no, st, 20, "nested"), "", 0);
                return;
            }
            reply(a, no, f, r);
        }

        private void reply(Rec.Attempt a, int no, Form f, Random r) throws IOException {
            int[] sizes = {0, 5, 300, 600, 5000, 40_000, 300_000, 2_500_000};
            int len = sizes[r.nextInt(r.nextInt(4) == 0 ? r.nextInt(4) == 0 ? 8 : 7 : 5)];
            Rec.Ans x = answer(a, a.id, no, f.status(), len, f.name());
            x.signed = x.status == 200 || r.nextBoolean();
            switch (f) {
                case LOST:
                    rig.rec.event("lost", a.id, name);
                    markBroke(a);
                    return;
                case LOST_CLOSE:
                    rig.rec.event("lostClose", a.id, name);
                    markBroke(a);
                    close();
                    return;
                case LOST_RESET:
                    rig.rec.event("lostReset", a.id, name);
                    markBroke(a);
                    dead = true;
                    reset(s);
                    return;
                case JUNK_INSTEAD:
                    markBroke(a);
                    rig.rec.event("junk", a.id, name);
                    send(junk(r));
                    if (r.nextBoolean()) {
                        close();
                    }
                    return;
                case TRUNC_CLOSE:
                case TRUNC_RESET:
                case TRUNC_HEAD:
                case TRUNC_CHUNK:
                    truncate(x, f, r);
                    return;
                case DRIP:
                case DRIP_CHUNK:
                case DRIP_NOLEN:
                case DRIP_NOLEN_RESET:
                case DRIP_CUT:
                    drip(x, f, r);
                    return;
                case BIG:
                case BIG_CUT:
                case BIG_NOLEN_RESET:
                    drip(x, f, r);
                    return;
                case TRUNC_HEAD_KEEP:
                case TRUNC_CHUNK_KEEP:
                    cutKeep(a, no, x, f, r);
                    return;
                case LIKE:
                    like(x, r);
                    return;
                case OTHER_STATUS:
                    int[] st = {201, 202, 203, 206, 301, 302, 304, 400, 401, 403, 404, 405, 409, 410, 413, 418, 422, 431, 499,
                        501, 502, 505, 507, 511, 599, 204};
                    x.status = st[r.nextInt(st.length)];
                    x.signed = true;
                    if (x.status == 204 || x.status == 304) {
                        x.body = new byte[0];
                    }
                    sendAnswer(x, "", 0);
                    return;
                case BIG_KEEP:
                    x.body = big(x, 3_000_000 + r.nextInt(9_000_000));
                    truncKeep(a, no, x, r);
                    return;
                case TRUNC_KEEP:
                case TRUNC_FEW_KEEP:
                case TRUNC_FEW_SPLIT:
                case TRUNC_JUNK:
                    truncKeep(a, no, x, r);
                    return;
                case NOLEN_WHOLE:
                case NOLEN_RESET:
                case EARLY_NOLEN_RESET:
                case NOLEN_SECOND:
                    noLength(a, no, x, f, r);
                    return;
                case CHUNK_PLAIN:
                    sendAnswer(x, "", 1);
                    return;
                case CHUNK_EXT:
                    sendAnswer(x, "", 2);
                    return;
                case INTERIM:
                case INTERIM_EXTRA:
                    send((r.nextBoolean()
                                    ? "HTTP/1.1 100 Continue\r\n\r\n"
                                    : "HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: " + a.id + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
                    break;
                case CLOSE_HDR:
                    sendAnswer(x, "Connection: close\r\n", r.nextInt(2));
                    if (r.nextBoolean()) {
                        second(a, no, x, Form.EXTRA_NOW, r);
                    }
                    close();
                    return;
                case ENCODED:
                    x.whole = false;
                    sendAnswer(x, "Content-Encoding: gzip\r\n", 0);
                    return;
                default:
            }
            Form e = f;
            if (f == Form.INTERIM_EXTRA || f == Form.EARLY_EXTRA || f == Form.FAIL_500_EXTRA) {
                e = pick(r);
            } else if (f == Form.LIMIT_504_EXTRA || f == Form.LIMIT_LATE_TWICE || f == Form.FAIL_500_EXTRA_LATE) {
                e = Form.EXTRA_LATE;
            }
            if (f.extra() && f != Form.JUNK_NEXT_EXTRA) {
                withSecond(a, no, x, e, r);
                return;
            }
            sendAnswer(x, f == Form.FAIL_500 && r.nextBoolean() ? "Connection: close\r\n" : "", 0);
            if (f == Form.JUNK_NEXT_NOID) {
                int[] st = {200, 500, 503, 429, 421};
                Rec.Ans y = answer(a, a.id, no, st[r.nextInt(st.length)], 20, f.name());
                y.order = 2;
                y.first = x;
                y.notExecuted = y.status != 200 && y.status != 500;
                y.signed = r.nextBoolean();
                byte[] b = bytes(y, "", 0, false, null);
                onNext.add(() -> {
                    rig.rec.wrote(y, "mode", f.name());
                    quietly(b, a.id, "noIdNext");
                });
                return;
            }
            if (f == Form.JUNK_NEXT || f == Form.JUNK_NEXT_EXTRA || f == Form.JUNK_NEXT_LINE) {
                String[] all = {
                    "HTTP/1.1 200 OK\r\nDate: ",
                    "HTTP/1.1 200 OK\r\nDate: x\r\n",
                    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: te",
                    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nDate: "
                };
                if (f == Form.JUNK_NEXT_LINE) {
                    all = new String[] {"HTTP/1.1 200 O", "HTTP/1.1 500 ", "HTTP/1.1 500 Internal Ser"};
                }
                byte[] b = all[r.nextInt(all.length)].getBytes(StandardCharsets.ISO_8859_1);
                if (f == Form.JUNK_NEXT_EXTRA) {
                    Rec.Ans y = extraOf(a, no, x, r);
                    byte[] whole = bytes(y, "", 0, false, a.id);
                    byte[] cut = Arrays.copyOf(whole, 1 + r.nextInt(whole.length - y.body.length - 1));
                    onNext.add(() -> quietly(cut, a.id, "cutSecond " + new String(cut, StandardCharsets.ISO_8859_1)));
                    return;
                }
                onNext.add(() -> quietly(b, a.id, "junkNext " + new String(b, StandardCharsets.ISO_8859_1)));
                return;
            }
            if (f == Form.JUNK_AFTER) {
                later(r.nextInt(3) * 30, junk(r), a.id, "junkAfter");
            } else if (f == Form.JUNK_NOID) {
                Rec.Ans y = answer(a, a.id, no, 200, 40, f.name());
                y.order = 2;
                y.first = x;
                later(r.nextInt(3) * 60, bytes(y, "", 0, false, r.nextBoolean() ? null : ""), a.id, "junkNoId");
            } else if (f == Form.JUNK_OTHERID) {
                Rec.Ans y = answer(a, a.id, no, 200, 40, f.name());
                y.order = 2;
                y.first = x;
                later(r.nextInt(3) * 60, bytes(y, "", 0, false, "0123456789abcdef"), a.id, "junkOtherId");
            }
        }

        private byte[] junk(Random r) {
            String[] all = {
                "garbage",
                "\r\n\r\n",
                "HTTP/1.1 ",
                "HTTP/1.1 200 OK\r\nContent-Le",
                "0\r\n\r\n",
                "<html>\n",
                "HTTP/1.1 999 X\r\n\r\n",
                "\0\0\0\0",
                "\r\n",
                "HTTP/2.0 200 OK\r\n\r\n"
            };
            return all[r.nextInt(all.length)].getBytes(StandardCharsets.ISO_8859_1);
        }

        private void later(int ms, byte[] b, String at, String what) throws IOException {
            if (ms == 0) {
                rig.rec.event(what, at, name, "len", b.length);
                send(b);
                return;
            }
            rig.later(ms, () -> quietly(b, at, what));
        }

        private void quietly(byte[] b, String at, String what) {
            try {
                if (dead) {
                    return;
                }
                send(b);
                rig.rec.event(what, at, name, "len", b.length);
            } catch (IOException e) {
                rig.rec.event(what + "Failed", at, name);
            }
        }

        private Rec.Ans answer(Rec.Attempt a, String at, int no, int status, int len, String form) {
            Rec.Ans x = new Rec.Ans();
            int n = SIGS.incrementAndGet();
            x.attempt = at;
            x.inst = id;
            x.conn = this.no;
            x.arrival = no;
            x.order = 1;
            x.status = status;
            x.form = form;
            byte[] mark = ("<" + at + "." + n + ">").getBytes(StandardCharsets.ISO_8859_1);
            x.body = new byte[len];
            for (int i = 0; i < len; i++) {
                x.body[i] = mark[i % mark.length];
            }
            x.sig = rig.sign(n, this.no, no, x.body);
            return x;
        }

        /** framing: 0 length, 1 chunks, 2 chunks with extensions and trailers, 3 until the end, 4 broken chunks. */
        private byte[] bytes(Rec.Ans x, String more, int framing, boolean cut, String echo) {
            ByteArrayOutputStream b = new ByteArrayOutputStream();
            StringBuilder h = new StringBuilder("HTTP/1.1 " + x.status + " S\r\n");
            if (x.sig.hashCode() % 2 == 0) {
                h.append("Content-Type: text/plain\r\n");
            }
            if (echo != null && !echo.isEmpty()) {
                h.append("X-Attempt-Id: ").append(echo).append("\r\n");
            }
            if (x.signed) {
                h.append("X-Server-Signature: ").append(x.sig).append("\r\n");
            }
            if (x.notExecuted) {
                h.append("X-Not-Executed: 1\r\n");
            }
            h.append(more).append(loadLine());
            if (!more.contains("Connection:")) {
                h.append("Keep-Alive: timeout=20\r\n");
            }
            h.append(framing == 0
                    ? "Content-Length: " + x.body.length + "\r\n\r\n"
                    : framing == 3 ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n");
            b.writeBytes(h.toString().getBytes(StandardCharsets.ISO_8859_1));
            if (framing == 0 || framing == 3) {
                b.writeBytes(x.body);
                return b.toByteArray();
            }
            int step = Math.max(1, x.body.length / 3 + 1);
            for (int i = 0; i < x.body.length; i += step) {
                int n = Math.min(step, x.body.length - i);
                b.writeBytes((Integer.toHexString(n) + (framing == 2 ? ";ext=\"a b\";z" : "") + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                b.write(x.body, i, n);
                b.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
            b.writeBytes((framing == 2 ? "0;last\r\nX-Trail: 1\r\nX-Server-Signature: trailer\r\n\r\n" : "0\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            return b.toByteArray();
        }

        private void sendAnswer(Rec.Ans x, String more, int framing) throws IOException {
            byte[] b = bytes(x, more, framing, false, x.form.equals("FAIL_503_NOID") ? null : x.attempt);
            rig.rec.wrote(x);
            send(b);
        }

        private Rec.Ans extraOf(Rec.Attempt a, int no, Rec.Ans x, Random r) {
            int kind = r.nextInt(6);
            if (kind == 0) {
                return x;
            }
            int[] fails = {500, 503, 429, 421, 504};
            boolean fail = x.status == 200 ? kind >= 3 : kind == 5;
            int st = fail ? fails[r.nextInt(fails.length)] : 200;
            Rec.Ans y = answer(a, a.id, no, st, r.nextBoolean() ? x.body.length : r.nextInt(700), x.form);
            y.order = 2;
            y.first = x;
            y.signed = st == 200 || r.nextBoolean();
            y.notExecuted = st == 503 || st == 429 || st == 421;
            return y;
        }

        private void withSecond(Rec.Attempt a, int no, Rec.Ans x, Form f, Random r) throws IOException {
            if (f != Form.EXTRA_NOW) {
                sendAnswer(x, "", r.nextInt(4) == 0 ? 1 : 0);
                second(a, no, x, f, r);
                return;
            }
            Rec.Ans y = extraOf(a, no, x, r);
            ByteArrayOutputStream b = new ByteArrayOutputStream();
            b.writeBytes(bytes(x, "", r.nextInt(4) == 0 ? 1 : 0, false, a.id));
            b.writeBytes(bytes(y, "", 0, false, a.id));
            rig.rec.wrote(x);
            if (y != x) {
                rig.rec.wrote(y, "mode", f.name());
            } else {
                rig.rec.event("again", a.id, name, "sig", x.sig, "mode", f.name());
            }
            rig.judge.seconds.incrementAndGet();
            send(b.toByteArray());
        }

        private void second(Rec.Attempt a, int no, Rec.Ans x, Form f, Random r) {
            Rec.Ans y = extraOf(a, no, x, r);
            byte[] b = bytes(y, "", r.nextInt(4) == 0 ? 1 : 0, false, a.id);
            Runnable put = () -> emit(a, x, y, b, f);
            switch (f) {
                case EXTRA_SOON:
                    rig.later(1 + r.nextInt(20), put);
                    return;
                case EXTRA_LATE:
                    rig.later(30 + r.nextInt(r.nextInt(3) == 0 ? 3000 : 400), put);
                    return;
                case EXTRA_NEXT:
                    onNext.add(put);
                    return;
                case EXTRA_NEXT_LOST:
                    onNext.add(put);
                    loseNext = true;
                    return;
                case EXTRA_NEXT_AFTER:
                    afterNext.add(put);
                    return;
                case EXTRA_PROBE:
                    onProbe.add(put);
                    return;
                case EXTRA_SPLIT:
                    int cut = 1 + r.nextInt(b.length - 1);
                    onNext.add(() -> quietly(Arrays.copyOfRange(b, cut, b.length), a.id, "extraRest"));
                    emit(a, x, y, Arrays.copyOf(b, cut), f);
                    return;
                case EXTRA_ELSEWHERE:
                    for (Conn c : open) {
                        if (c != this && !c.dead) {
                            Runnable to = () -> c.emit(a, x, y, b, f);
                            (r.nextInt(3) == 0 ? c.onProbe : c.onNext).add(to);
                            return;
                        }
                    }
                    return;
                case EXTRA_CLOSE:
                    emit(a, x, y, b, f);
                    close();
                    return;
                case EXTRA_TWICE:
                    put.run();
                    rig.later(50 + r.nextInt(500), () -> quietly(b, a.id, "third"));
                    return;
                default:
                    put.run();
            }
        }

        private void emit(Rec.Attempt a, Rec.Ans x, Rec.Ans y, byte[] b, Form f) {
            if (dead) {
                return;
            }
            try {
                if (y != x) {
                    rig.rec.wrote(y, "mode", f.name());
                } else {
                    rig.rec.event("again", a.id, name, "sig", x.sig, "mode", f.name());
                }
                rig.judge.seconds.incrementAndGet();
                send(b);
            } catch (IOException e) {
                rig.rec.event("secondFailed", a.id, name, "sig", y.sig);
            }
        }

        private void truncate(Rec.Ans x, Form f, Random r) throws IOException {
            x.whole = false;
            if (x.body.length < 50) {
                x.body = Arrays.copyOf(x.body, 50);
            }
            byte[] b = bytes(x, "", f == Form.TRUNC_CHUNK ? 1 : 0, true, x.attempt);
            int head = b.length - x.body.length;
            int n = f == Form.TRUNC_HEAD ? 1 + r.nextInt(head - 40) : b.length - 7 - r.nextInt(x.body.length / 2);
            rig.rec.wrote(x, "cut", n, "of", b.length);
            send(Arrays.copyOf(b, n));
            if (f == Form.TRUNC_RESET) {
                Rig.sleep(r.nextInt(30));
                dead = true;
                reset(s);
                return;
            }
            close();
        }

        /** Cut in the head or in chunked framing, then a second answer on the same connection. */
        private void cutKeep(Rec.Attempt a, int no, Rec.Ans x, Form f, Random r) throws IOException {
            x.whole = false;
            if (r.nextBoolean()) {
                x.status = 500;
            }
            boolean chunked = f == Form.TRUNC_CHUNK_KEEP;
            if (chunked && x.body.length < 50) {
                x.body = Arrays.copyOf(x.body, 50);
            }
            byte[] b = bytes(x, "", chunked ? 1 + r.nextInt(2) : r.nextInt(2), true, x.attempt);
            String t = new String(b, StandardCharsets.ISO_8859_1);
            int head = t.indexOf("\r\n\r\n") + 2;
            int n = chunked ? b.length - 1 - r.nextInt(b.length - head) : 16 + r.nextInt(head - 16);
            if (!chunked && r.nextInt(3) == 0) {
                n = t.lastIndexOf("\r\n", n) + 2;
            }
            Rec.Ans y = extraOf(a, no, x, r);
            byte[] b2 = bytes(y, "", 0, false, a.id);
            rig.rec.wrote(x, "cut", n, "at", t.substring(Math.max(0, n - 30), n));
            if (r.nextInt(3) == 0) {
                ByteArrayOutputStream o = new ByteArrayOutputStream();
                o.write(b, 0, n);
                o.writeBytes(b2);
                if (y != x) {
                    rig.rec.wrote(y, "mode", f.name());
                }
                rig.judge.seconds.incrementAndGet();
                send(o.toByteArray());
                return;
            }
            send(Arrays.copyOf(b, n));
            Rig.sleep(r.nextInt(200));
            emit(a, x, y, b2, f);
        }

        private void truncKeep(Rec.Attempt a, int no, Rec.Ans x, Random r) throws IOException {
            x.whole = false;
            if (x.body.length < 200) {
                x.body = Arrays.copyOf(x.body, 200);
            }
            byte[] b = bytes(x, "", 0, true, x.attempt);
            int miss = 1 + r.nextInt(x.form.startsWith("TRUNC_FEW") ? 20 : x.body.length / 2);
            Rec.Ans y = extraOf(a, no, x, r);
            byte[] b2 = bytes(y, "", 0, false, a.id);
            if (x.form.equals("TRUNC_JUNK")) {
                b2 = new byte[miss];
                r.nextBytes(b2);
            }
            if (b2.length >= miss) {
                x.wire = Arrays.copyOf(x.body, x.body.length);
                System.arraycopy(b2, 0, x.wire, x.body.length - miss, miss);
            }
            rig.rec.wrote(x, "missing", miss);
            send(Arrays.copyOf(b, b.length - miss));
            Rig.sleep(r.nextInt(200));
            if (x.form.equals("TRUNC_JUNK")) {
                rig.rec.event("junkRest", a.id, name, "len", miss);
                send(b2);
                return;
            }
            if (x.form.equals("TRUNC_FEW_SPLIT")) {
                emit(a, x, y, Arrays.copyOf(b2, miss), Form.TRUNC_FEW_SPLIT);
                Rig.sleep(20 + r.nextInt(200));
                quietly(Arrays.copyOfRange(b2, miss, b2.length), a.id, "splitRest");
                return;
            }
            emit(a, x, y, b2, Form.TRUNC_KEEP);
        }

        private void like(Rec.Ans x, Random r) throws IOException {
            String[] all = {
                "HTTP/1.1 200 OK\r\n", "\r\nHTTP/1.1 500 S\r\nX-Attempt-Id: " + x.attempt + "\r\n\r\n", "HTTP/1.1", "HTTP/1.0 200 OK\n"
            };
            byte[] in = all[r.nextInt(all.length)].getBytes(StandardCharsets.ISO_8859_1);
            x.body = Arrays.copyOf(big(x, 1000 + r.nextInt(1000)), 2000);
            System.arraycopy(in, 0, x.body, r.nextInt(900), in.length);
            sendAnswer(x, "", r.nextInt(2));
        }

        private byte[] big(Rec.Ans x, int len) {
            byte[] p = x.body;
            byte[] b = new byte[len];
            for (int i = 0; i < len; i++) {
                b[i] = p.length == 0 ? (byte) ('a' + i % 23) : p[i % p.length];
            }
            return b;
        }

        /** Writes a long answer over up to 1.5 s; some end early. */
        private void drip(Rec.Ans x, Form f, Random r) throws IOException {
            boolean large = f.name().startsWith("BIG");
            int len = large ? 3_000_000 + r.nextInt(9_000_000) : 20_000 + r.nextInt(r.nextBoolean() ? 60_000 : 1_500_000);
            x.body = big(x, len);
            boolean open = f.name().contains("NOLEN");
            boolean cut = f.name().contains("RESET") || f.name().contains("CUT");
            byte[] b = bytes(x, open ? "Connection: close\r\n" : "", open ? 3 : f == Form.DRIP_CHUNK ? 1 : 0, false, x.attempt);
            x.whole = !cut;
            rig.rec.wrote(x, "drip", b.length);
            int end = cut ? b.length - 1 - r.nextInt(len) : b.length;
            int step = b.length / (2 + r.nextInt(12)) + 1;
            try {
                for (int i = 0; i < end; i += step) {
                    send(Arrays.copyOfRange(b, i, Math.min(end, i + step)));
                    Rig.sleep(20 + r.nextInt(100));
                }
            } catch (IOException e) {
                rig.rec.event("dripFailed", x.attempt, name);
                x.whole = false;
                throw e;
            }
            if (open && cut || cut && r.nextBoolean()) {
                dead = true;
                reset(s);
            } else if (cut) {
                close();
            } else if (open) {
                s.shutdownOutput();
                Rig.sleep(5);
                close();
            }
        }

        private void noLength(Rec.Attempt a, int no, Rec.Ans x, Form f, Random r) throws IOException {
            byte[] b = bytes(x, "Connection: close\r\n", 3, false, x.attempt);
            if (f == Form.NOLEN_RESET || f == Form.EARLY_NOLEN_RESET) {
                x.whole = false;
                rig.rec.wrote(x, "reset", true);
                send(Arrays.copyOf(b, b.length - x.body.length / 2));
                Rig.sleep(r.nextInt(60));
                dead = true;
                reset(s);
                return;
            }
            byte[] b2 = new byte[0];
            if (f == Form.NOLEN_SECOND) {
                Rec.Ans y = extraOf(a, no, x, r);
                b2 = bytes(y, "", 0, false, a.id);
                ByteArrayOutputStream w = new ByteArrayOutputStream();
                w.writeBytes(x.body);
                w.writeBytes(b2);
                x.wire = w.toByteArray();
                rig.judge.seconds.incrementAndGet();
                if (y != x) {
                    rig.rec.wrote(y, "mode", f.name());
                }
            }
            rig.rec.wrote(x, "until", "close");
            send(b);
            if (b2.length > 0) {
                Rig.sleep(r.nextInt(60));
                send(b2);
            }
            s.shutdownOutput();
            Rig.sleep(5);
            close();
        }
    }
}
