package second;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients on the machines, and the upstreams' own calls. */
final class Client {
    /** A connection that a client keeps open. */
    static final class Kept {
        final Socket s;
        final Wire in;
        final OutputStream out;
        final String name;
        long idleSince;
        Rec.Attempt last;

        Kept(Socket s, String name) throws IOException {
            this.s = s;
            this.in = new Wire(s);
            this.out = s.getOutputStream();
            this.name = name;
        }

        void close() {
            try {
                s.close();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static final AtomicInteger CONNS = new AtomicInteger();
    private final Rig rig;
    final AtomicInteger gaveUp = new AtomicInteger();

    Client(Rig rig) {
        this.rig = rig;
    }

    static Kept connect(Machine m, String addr, int port, int ms) throws IOException {
        Socket s = new Socket();
        s.setTcpNoDelay(true);
        s.connect(new InetSocketAddress(addr, port), ms);
        return new Kept(s, "c" + m.no + "-" + CONNS.incrementAndGet());
    }

    /** One client of a machine, until the phase ends. */
    void loop(Machine m, Random r, String phase, long end) {
        Kept k = null;
        while (System.nanoTime() < end) {
            if (!m.ready) {
                if (k != null) {
                    k.close();
                    k = null;
                }
                Rig.sleep(100);
                continue;
            }
            Rec.Route route = rig.routes.get(r.nextInt(rig.routes.size()));
            if (k != null && r.nextInt(6) == 0) {
                k.close();
                k = null;
            }
            try {
                k = work(m, k, route, r, phase);
                if (k == null) {
                    continue;
                }
                int pause = r.nextInt(40) == 0 ? 2000 : r.nextInt(rig.pause);
                if (!quiet(k, pause)) {
                    k.close();
                    k = null;
                }
            } catch (RuntimeException e) {
                e.printStackTrace();
            }
        }
        if (k != null) {
            quiet(k, 1500);
            k.close();
        }
    }

    /** Watches an idle connection; false if it can't be used any more. */
    boolean quiet(Kept k, int ms) {
        k.in.deadline = System.nanoTime() + ms * 1_000_000L + 1_000_000;
        try {
            if (!k.in.more()) {
                return false;
            }
        } catch (SocketTimeoutException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
        Judge.Got g = read(k, 300);
        rig.judge.idle(k.name, k.last, g);
        return false;
    }

    /** A request with its retries; the connection if it may be used on. */
    private Kept work(Machine m, Kept k, Rec.Route route, Random r, String phase) {
        long limit = 1500 + r.nextInt(2500);
        long end = System.nanoTime() + limit * 1_000_000;
        String method = route.idempotent ? "GET" : "POST";
        int pick = r.nextInt(100);
        int size = pick < 40 ? 0 : pick < 70 ? 100 : pick < 90 ? 5000 : pick < 99 ? 100_000 : 700_000;
        if (route.idempotent && size > 5000) {
            method = "PUT";
        } else if (route.idempotent) {
            size = 0;
        }
        String target = route.prefix + Integer.toHexString(r.nextInt()) + (r.nextInt(3) == 0 ? "?q=" + r.nextInt(99) : "");
        for (int n = 0; n < 4; n++) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left < 20) {
                return null;
            }
            Rec.Attempt a = attempt(m, route, method, target, size, r, phase, left);
            boolean early = r.nextInt(40) == 0;
            Judge.Got[] g = new Judge.Got[1];
            k = send(m, k, a, early ? r.nextInt(300) : left, r.nextInt(3) == 0, r.nextInt(3) == 0 ? r.nextInt(20) : 0, g);
            if (early && g[0].end.equals("TIMEOUT")) {
                gaveUp.incrementAndGet();
                return null;
            }
            if (!again(route, g[0])) {
                return k;
            }
            if (k != null) {
                k.close();
                k = null;
            }
            if (g[0].end.equals("NOTHING")) {
                Rig.sleep(50);
            }
            pause(g[0], end);
        }
        return k;
    }

    private static boolean again(Rec.Route route, Judge.Got g) {
        if (!g.end.equals("OK")) {
            return route.idempotent;
        }
        switch (g.status) {
            case 400:
            case 401:
            case 404:
            case 413:
            case 431:
                return false;
            case 429:
            case 503:
            case 408:
            case 421:
                return true;
            default:
                return g.status / 100 != 2 && route.idempotent;
        }
    }

    private static void pause(Judge.Got g, long end) {
        String ra = g.head == null ? null : g.head.get("Retry-After");
        if (ra == null) {
            return;
        }
        long left = (end - System.nanoTime()) / 1_000_000;
        Rig.sleep((int) Math.max(0, Math.min(Double.parseDouble(ra) * 1000, left / 3.0)));
    }

    Rec.Attempt attempt(
            Machine m, Rec.Route route, String method, String target, int size, Random r, String phase, long left) {
        Rec.Attempt a = new Rec.Attempt();
        a.id = String.format("%016x", r.nextLong());
        a.phase = phase;
        a.caller = m.service;
        a.machine = m.no;
        a.route = route;
        a.method = method;
        a.target = target;
        a.body = new byte[size];
        byte[] mark = (a.id + "/").getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < size; i++) {
            a.body[i] = mark[i % mark.length];
        }
        a.timeoutMs = left;
        rig.rec.attempts.put(a.id, a);
        return a;
    }

    /** The calls that a run makes; false if one of them failed. */
    boolean nested(Machine m, String service, Rec.Attempt parent, long end, Random r) {
        String[] hp = parent.route.nested.split(" ");
        Rec.Route route = null;
        for (Rec.Route o : rig.routes) {
            if (o.host.equals(hp[0]) && o.prefix.equals(hp[1])) {
                route = o;
            }
        }
        String target = route.prefix + "n" + Integer.toHexString(r.nextInt());
        for (int n = 0; n < 3; n++) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left < 20) {
                return false;
            }
            Kept k = n > 0 ? null : m.pool.pollFirst();
            if (k != null && (System.nanoTime() - k.idleSince > 10_000_000_000L || !quiet(k, 0))) {
                k.close();
                k = null;
            }
            Random rr = new Random();
            Rec.Attempt a =
                    attempt(m, route, route.idempotent ? "GET" : "POST", target, 0, rr, parent.phase, left);
            a.caller = service;
            a.nested = true;
            Judge.Got[] g = new Judge.Got[1];
            k = send(m, k, a, left, false, 0, g);
            if (k != null) {
                k.idleSince = System.nanoTime();
                m.pool.addFirst(k);
            }
            if (g[0].success()) {
                return true;
            }
            if (!again(route, g[0])) {
                return false;
            }
            pause(g[0], end);
        }
        return false;
    }

    private Kept send(Machine m, Kept k, Rec.Attempt a, long wait, boolean chunked, int slow, Judge.Got[] g) {
        g[0] = new Judge.Got();
        String name = k == null ? "new" : k.name;
        try {
            if (k == null) {
                k = connect(m, m.ip, Rig.OUT, 1000);
                name = k.name;
            }
            k.last = a;
            rig.rec.event(
                    "sent", a.id, null, "client", name, "machine", m.no, "line", a.method + " " + a.route.host + a.target,
                    "timeout", a.timeoutMs, "len", a.body.length, "idempotent", a.route.idempotent, "nested", a.nested);
            a.sent = System.nanoTime();
            Kept kk = k;
            Thread w = null;
            if (a.body.length > 20_000) {
                w = Rig.thread("body", () -> quietWrite(kk, a, chunked, slow));
            } else {
                write(k, a, chunked, 0);
            }
            g[0] = read(k, wait);
            if (w != null) {
                w.join(g[0].end.equals("OK") ? 3000 : 1);
                if (w.isAlive()) {
                    k.close();
                    rig.judge.got(a, g[0], name);
                    return null;
                }
            }
        } catch (IOException e) {
            if (g[0].end.equals("NOTHING")) {
                g[0].why = e.toString();
                if (k != null && !(e instanceof SocketTimeoutException)) {
                    g[0] = read(k, 100);
                }
            }
        } catch (InterruptedException e) {
            g[0].why = e.toString();
        }
        rig.judge.got(a, g[0], name);
        boolean keep = g[0].end.equals("OK") && !g[0].untilClose && !g[0].head.says("Connection", "close");
        if (!keep && k != null) {
            k.close();
            return null;
        }
        return k;
    }

    private static void quietWrite(Kept k, Rec.Attempt a, boolean chunked, int slow) {
        try {
            write(k, a, chunked, slow);
        } catch (IOException e) {
            return;
        }
    }

    private static void write(Kept k, Rec.Attempt a, boolean chunked, int slow) throws IOException {
        StringBuilder h = new StringBuilder(a.method + " " + a.target + " HTTP/1.1\r\nHost: " + a.route.host
                + "\r\nX-Attempt-Id: " + a.id + "\r\nX-Timeout-Ms: " + a.timeoutMs + "\r\n");
        boolean chunks = chunked && a.body.length > 0;
        if (chunks) {
            h.append("Transfer-Encoding: chunked\r\n");
        } else if (a.body.length > 0 || a.method.equals("POST")) {
            h.append("Content-Length: ").append(a.body.length).append("\r\n");
        }
        h.append("\r\n");
        k.out.write(h.toString().getBytes(StandardCharsets.ISO_8859_1));
        int step = 16_000;
        for (int i = 0; i < a.body.length; i += step) {
            int n = Math.min(step, a.body.length - i);
            if (chunks) {
                k.out.write((Integer.toHexString(n) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            }
            k.out.write(a.body, i, n);
            if (chunks) {
                k.out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
            if (slow > 0) {
                Rig.sleep(slow);
            }
        }
        if (chunks) {
            k.out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Reads one answer, past interim ones. */
    static Judge.Got read(Kept k, long ms) {
        Judge.Got g = new Judge.Got();
        k.in.deadline = System.nanoTime() + ms * 1_000_000;
        k.in.part.reset();
        try {
            while (true) {
                Wire.Head h = k.in.head(true);
                if (h == null) {
                    g.why = "closed";
                    return g;
                }
                g.head = h;
                g.status = h.status();
                if (g.status >= 200) {
                    break;
                }
                g.interim++;
            }
            g.untilClose = g.head.get("Content-Length") == null
                    && g.head.get("Transfer-Encoding") == null
                    && g.status != 204
                    && g.status != 304;
            g.body = k.in.body(g.head, true, g.status);
            g.end = "OK";
        } catch (Wire.Broken e) {
            g.end = "BROKEN";
            g.why = e.getMessage();
        } catch (Wire.Ended e) {
            g.end = "FIN";
            g.why = e.getMessage();
        } catch (SocketTimeoutException e) {
            g.end = "TIMEOUT";
        } catch (IOException e) {
            g.end = "RESET";
            g.why = String.valueOf(e.getMessage());
        }
        if (!g.end.equals("OK")) {
            g.body = k.in.part.toByteArray();
        }
        return g;
    }
}
