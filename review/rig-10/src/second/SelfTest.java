package second;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.Set;

/** A fake node that gives one wrong answer per clause; the judge must count exactly that clause. */
final class SelfTest {
    private static int bad;
    private static int n;

    private SelfTest() {}

    /** One exchange: what the upstream wrote, what the fake node gives the client. */
    private static final class Turn {
        final Rec rec;
        final Judge judge;
        final Rec.Attempt a = new Rec.Attempt();
        Rec.Ans x;

        Turn(boolean idempotent) throws IOException {
            rec = new Rec(null);
            judge = new Judge(rec);
            a.id = String.format("%016x", 0xabc000 + n++);
            a.phase = "self";
            a.caller = "sa";
            a.method = "GET";
            a.target = "/ga/1?q=1";
            a.body = new byte[0];
            a.route = new Rec.Route("h", "/ga/", idempotent, null);
            rec.attempts.put(a.id, a);
            x = ans(a.id, 200, 1);
            rec.wrote(x);
        }

        Rec.Ans ans(String id, int status, int order) {
            Rec.Ans y = new Rec.Ans();
            y.attempt = id;
            y.inst = "i-1";
            y.conn = 1;
            y.arrival = 1;
            y.order = order;
            y.status = status;
            y.form = "SELF";
            y.sig = "s" + n++;
            y.body = ("<" + id + "." + n + ">body").getBytes(StandardCharsets.ISO_8859_1);
            return y;
        }

        Rec.Attempt other() {
            Rec.Attempt b = new Rec.Attempt();
            b.id = String.format("%016x", 0xdef000 + n++);
            b.phase = "self";
            b.caller = "sa";
            b.route = a.route;
            b.method = "GET";
            b.target = "/";
            rec.attempts.put(b.id, b);
            return b;
        }

        /** The fake node sends {@code raw} and ends as told: keep, fin or reset. */
        void gives(byte[] raw, String end) throws IOException {
            try (ServerSocket ss = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
                Thread t = Rig.thread("fake", () -> {
                    try (Socket s = ss.accept()) {
                        s.getOutputStream().write(raw);
                        Rig.sleep(30);
                        if (end.equals("reset")) {
                            s.setSoLinger(true, 0);
                        } else if (end.equals("keep")) {
                            Rig.sleep(400);
                        }
                    } catch (IOException e) {
                        System.out.println(e);
                    }
                });
                Machine m = new Machine(0, "127.0.0.1", "z", "sa", null, "x");
                Client.Kept k = Client.connect(m, "127.0.0.1", ss.getLocalPort(), 500);
                k.last = a;
                Judge.Got g = Client.read(k, 250);
                judge.got(a, g, k.name);
                if (g.end.equals("OK") && !g.untilClose) {
                    idle(k);
                }
                k.close();
                t.join();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        private void idle(Client.Kept k) throws IOException {
            k.in.deadline = System.nanoTime() + 100_000_000;
            try {
                if (k.in.more()) {
                    judge.idle(k.name, a, Client.read(k, 100));
                }
            } catch (java.net.SocketTimeoutException e) {
                return;
            }
        }

        void expect(String name, Rule... want) {
            judge.close("self");
            Set<Rule> w = EnumSet.noneOf(Rule.class);
            w.addAll(java.util.List.of(want));
            Set<Rule> got = EnumSet.noneOf(Rule.class);
            got.addAll(judge.all().keySet());
            boolean ok = w.equals(got);
            bad += ok ? 0 : 1;
            System.out.println((ok ? "ok   " : "BAD  ") + name + " " + got + (ok ? "" : " wanted " + w));
        }
    }

    static byte[] raw(int status, String sig, String echo, byte[] body, String more) {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        b.writeBytes(("HTTP/1.1 " + status + " X\r\n" + (echo == null ? "" : "X-Attempt-Id: " + echo + "\r\n")
                        + (sig == null ? "" : "X-Server-Signature: " + sig + "\r\n") + more
                        + (more.contains("nolen") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        b.writeBytes(body);
        return b.toByteArray();
    }

    private static byte[] cat(byte[] a, byte[] b) {
        ByteArrayOutputStream o = new ByteArrayOutputStream();
        o.writeBytes(a);
        o.writeBytes(b);
        return o.toByteArray();
    }

    static boolean run() throws IOException {
        answers();
        seconds();
        upstreams();
        System.out.println(bad == 0 ? "self-test: all clauses seen" : "self-test: " + bad + " wrong");
        return bad == 0;
    }

    private static void answers() throws IOException {
        Turn t = new Turn(true);
        t.gives(raw(200, t.x.sig, t.a.id, t.x.body, ""), "keep");
        t.expect("whole answer");
        t = new Turn(true);
        t.gives(raw(503, null, t.a.id, new byte[0], ""), "keep");
        t.expect("own 503, not run");
        t = new Turn(true);
        t.gives(raw(200, null, t.a.id, t.x.body, ""), "keep");
        t.expect("no signature", Rule.NOSIG);
        t = new Turn(true);
        t.gives(raw(200, "nobody", t.a.id, t.x.body, ""), "keep");
        t.expect("unknown signature", Rule.FOREIGN_SIG);
        t = new Turn(true);
        t.gives(raw(200, t.x.sig, t.a.id, "short".getBytes(StandardCharsets.US_ASCII), ""), "keep");
        t.expect("other body", Rule.BODY);
        t = new Turn(true);
        t.gives(raw(200, t.x.sig, t.a.id, t.x.body, "Content-Encoding: gzip\r\n"), "keep");
        t.expect("encoded", Rule.ENCODED);
        t = new Turn(true);
        t.x.whole = false;
        t.gives(raw(200, t.x.sig, t.a.id, new byte[3], ""), "keep");
        t.expect("cut at the upstream, looks complete", Rule.EARLY_END);
        t = new Turn(true);
        t.x.whole = false;
        t.x.form = "NOLEN_RESET";
        t.gives(raw(200, t.x.sig, t.a.id, new byte[3], "nolen: 1\r\n"), "fin");
        t.expect("no length, reset, looks complete", Rule.NOLEN_RESET);
        t = new Turn(true);
        t.x.whole = false;
        t.x.form = "NOLEN_RESET";
        t.gives(raw(200, t.x.sig, t.a.id, new byte[3], "nolen: 1\r\n"), "reset");
        t.expect("no length, reset, passed on as a reset");
        t = new Turn(true);
        t.x.status = 500;
        t.gives(raw(200, t.x.sig, t.a.id, t.x.body, ""), "keep");
        t.expect("success for the upstream's 500", Rule.FAILED);
        t = new Turn(true);
        t.x.status = 500;
        t.gives(raw(502, t.x.sig, t.a.id, t.x.body, ""), "keep");
        t.expect("signed 502 for the upstream's 500", Rule.STATUS);
        t = new Turn(true);
        t.gives(raw(201, t.x.sig, t.a.id, t.x.body, ""), "keep");
        t.expect("201 for 200", Rule.SUCCESS_STATUS);
        t = new Turn(true);
        t.gives("garbage\r\n\r\n".getBytes(StandardCharsets.US_ASCII), "keep");
        t.expect("no answer in the protocol", Rule.BYTES);
        t = new Turn(true);
        t.a.brokeOff = true;
        t.gives("garbage\r\n\r\n".getBytes(StandardCharsets.US_ASCII), "keep");
        t.expect("the same, the upstream broke off", Rule.R_BYTES_BROKE);
    }

    private static void seconds() throws IOException {
        Turn t = new Turn(true);
        Rec.Attempt b = t.other();
        Rec.Ans y = t.ans(b.id, 200, 1);
        t.rec.wrote(y);
        t.gives(raw(200, y.sig, t.a.id, y.body, ""), "keep");
        t.expect("signature of another request", Rule.OTHER);
        t = new Turn(true);
        b = t.other();
        y = t.ans(b.id, 200, 1);
        t.rec.wrote(y);
        t.gives(raw(200, y.sig, b.id, y.body, ""), "keep");
        t.expect("answer of another request", Rule.OTHER, Rule.OTHER_ID);
        t = new Turn(true);
        b = t.other();
        t.gives(raw(500, null, t.a.id, t.ans(b.id, 500, 1).body, ""), "keep");
        t.expect("unsigned failure of another request", Rule.OTHER_BODY);
        t = new Turn(true);
        byte[] one = raw(200, t.x.sig, t.a.id, t.x.body, "");
        t.gives(cat(one, one), "keep");
        t.expect("success with no request waiting", Rule.IDLE);
        t = new Turn(true);
        t.gives(cat(raw(200, t.x.sig, t.a.id, t.x.body, ""), raw(502, null, null, new byte[0], "")), "keep");
        t.expect("failure with no request waiting", Rule.R_IDLE_FAIL);
        t = new Turn(true);
        t.gives(cat(raw(200, t.x.sig, t.a.id, t.x.body, ""), "xx\r\n".getBytes(StandardCharsets.US_ASCII)), "keep");
        t.expect("bytes with no request waiting", Rule.BYTES);
        t = new Turn(true);
        t.x.status = 500;
        y = t.ans(t.a.id, 200, 2);
        y.first = t.x;
        t.rec.wrote(y);
        t.gives(raw(200, y.sig, t.a.id, y.body, ""), "keep");
        t.expect("second answer, a success behind a failure", Rule.FAILED);
        t = new Turn(true);
        y = t.ans(t.a.id, 200, 2);
        y.first = t.x;
        t.rec.wrote(y);
        t.gives(raw(200, y.sig, t.a.id, y.body, ""), "keep");
        t.expect("second answer behind a success", Rule.R_SECOND);
    }

    private static void upstreams() throws IOException {
        Turn t = new Turn(false);
        t.judge.ran(t.a, "i-1", "i-1#1");
        t.gives(raw(503, null, t.a.id, new byte[0], ""), "keep");
        t.expect("503 for what has run", Rule.REFUSED);
        t = new Turn(true);
        t.judge.ran(t.a, "i-1", "i-1#1");
        t.gives(raw(429, null, t.a.id, new byte[0], ""), "keep");
        t.expect("429 for an idempotent one that has run", Rule.R_REFUSED_IDEM);
        t = new Turn(false);
        t.judge.ran(t.a, "i-1", "i-1#1");
        t.judge.ran(t.a, "i-2", "i-2#1");
        t.expect("ran twice", Rule.TWICE);
        t = new Turn(true);
        Wire.Head h = new Wire.Head();
        h.fields.add(new String[] {"X-Caller-Service", "sa"});
        t.judge.request(t.a, "GET", "/ga/1?q=1", new byte[0], h, "i-1#1");
        t.expect("the request unchanged");
        t.judge.request(t.a, "GET", "/ga/1", new byte[0], h, "i-1#1");
        t.expect("query dropped", Rule.UNASKED_CONTENT);
        t = new Turn(true);
        t.judge.request(t.a, "GET", "/ga/1?q=1", new byte[1], h, "i-1#1");
        t.expect("body changed", Rule.UNASKED_CONTENT);
        t = new Turn(true);
        h.fields.get(0)[1] = "sb";
        t.judge.request(t.a, "GET", "/ga/1?q=1", new byte[0], h, "i-1#1");
        t.expect("caller changed", Rule.UNASKED_CALLER);
        t = new Turn(true);
        t.judge.unaskedId("GET / HTTP/1.1");
        t.expect("unknown id", Rule.UNASKED_ID);
    }
}
