package second;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Counts every clause of MIXED, and REFUSED, TWICE and UNASKED, over what was seen on the sockets. */
final class Judge {
    /** What a client got for one request. */
    static final class Got {
        int status;
        Wire.Head head;
        byte[] body = new byte[0];
        /** OK, NOTHING, FIN, RESET, TIMEOUT, BROKEN. */
        String end = "NOTHING";

        String why = "";
        boolean untilClose;
        int interim;

        boolean success() {
            return end.equals("OK") && status / 100 == 2;
        }
    }

    private static final class Case {
        Rule rule;
        String attempt;
        String other;
        String conn;
        String text;
    }

    private static final Pattern MARK = Pattern.compile("<([0-9a-f]{16})\\.\\d+>");
    private final Rec rec;
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private final List<Case> cases = new ArrayList<>();
    private final Map<String, Integer> ends = new TreeMap<>();
    final AtomicInteger arrivals = new AtomicInteger();
    final AtomicInteger seconds = new AtomicInteger();
    final AtomicInteger probes = new AtomicInteger();
    int answers;
    int successes;

    Judge(Rec rec) {
        this.rec = rec;
    }

    synchronized void reset() {
        counts.clear();
        cases.clear();
        ends.clear();
        arrivals.set(0);
        seconds.set(0);
        probes.set(0);
        answers = 0;
        successes = 0;
    }

    synchronized int count(Rule r) {
        return counts.getOrDefault(r, 0);
    }

    synchronized int broken() {
        int n = 0;
        for (Rule r : Rule.values()) {
            n += r.breaks ? count(r) : 0;
        }
        return n;
    }

    synchronized Map<Rule, Integer> all() {
        return new EnumMap<>(counts);
    }

    synchronized Map<String, Integer> ends() {
        return new TreeMap<>(ends);
    }

    private synchronized void hit(Rule r, String attempt, String other, String conn, String text) {
        counts.merge(r, 1, Integer::sum);
        rec.event("rule", attempt, null, "rule", r.name(), "text", text);
        if (count(r) > 8) {
            return;
        }
        Case c = new Case();
        c.rule = r;
        c.attempt = attempt;
        c.other = other;
        c.conn = conn;
        c.text = text;
        cases.add(c);
    }

    // At the upstreams

    void unaskedId(String head) {
        hit(Rule.UNASKED_ID, null, null, null, Wire.cut(head));
    }

    void unaskedBytes(String conn, String text) {
        hit(Rule.UNASKED_BYTES, null, null, conn, text);
    }

    void request(Rec.Attempt a, String method, String target, byte[] body, Wire.Head h, String conn) {
        if (a.caller.equals("?")) {
            return;
        }
        if (!method.equals(a.method) || !target.equals(a.target) || !Arrays.equals(body, a.body)) {
            hit(
                    Rule.UNASKED_CONTENT, a.id, null, conn,
                    method + " " + target + " body " + body.length + " for " + a.method + " " + a.target + " body "
                            + a.body.length);
        }
        if (!a.caller.equals(h.get("X-Caller-Service")) || h.all("X-Caller-Service").size() != 1) {
            hit(Rule.UNASKED_CALLER, a.id, null, conn, h.all("X-Caller-Service") + " for " + a.caller);
        }
    }

    void ran(Rec.Attempt a, String inst, String conn) {
        rec.event("run", a.id, conn);
        int n;
        synchronized (a) {
            n = ++a.runs;
        }
        if (n == 2 && !a.route.idempotent) {
            hit(Rule.TWICE, a.id, null, conn, "ran twice");
        }
    }

    // At the clients

    void got(Rec.Attempt a, Got g, String conn) {
        rec.event(
                "got", a.id, null, "client", conn, "status", g.status, "end", g.end, "why", g.why.isEmpty() ? null : g.why,
                "sig", g.head == null ? null : g.head.get("X-Server-Signature"), "echo",
                g.head == null ? null : g.head.get("X-Attempt-Id"), "len", g.body.length, "crc", Rec.crc(g.body), "head",
                g.head == null ? null : g.head.toString(), "interim", g.interim == 0 ? null : g.interim);
        synchronized (this) {
            ends.merge(g.end.equals("OK") ? g.status + (g.untilClose ? "close" : "") : g.end, 1, Integer::sum);
            if (g.end.equals("OK")) {
                answers++;
                successes += g.status / 100 == 2 ? 1 : 0;
            }
        }
        if (g.end.equals("BROKEN")) {
            hit(a.brokeOff ? Rule.R_BYTES_BROKE : Rule.BYTES, a.id, null, null, g.why);
            return;
        }
        if (g.head == null) {
            return;
        }
        whose(a, g);
        if (!g.end.equals("OK")) {
            return;
        }
        if (g.status == 429 || g.status == 503 || g.status == 408 || g.status == 421) {
            a.refused = true;
        }
        Rec.Ans x = answer(g);
        a.passed = a.refused && x != null && x.status == g.status && !x.notExecuted && x.order == 1;
        if (g.status / 100 == 2) {
            success(a, g, x);
            return;
        }
        if (x == null) {
            return;
        }
        if (x.status != g.status) {
            hit(Rule.STATUS, a.id, x.attempt, null, g.status + " for the upstream's " + x.status);
        }
        if (x.order == 2) {
            hit(Rule.R_SECOND_FAIL, a.id, null, null, x.sig);
        }
        if (!Arrays.equals(x.body, g.body)) {
            hit(x.whole ? Rule.R_FAIL_BODY : Rule.R_FAIL_CUT, a.id, null, null, g.body.length + " of " + x.body.length);
        }
    }

    private Rec.Ans answer(Got g) {
        String sig = g.head.get("X-Server-Signature");
        return sig == null ? null : rec.bySig.get(sig);
    }

    /** An answer of another request, also one that ended early. */
    private void whose(Rec.Attempt a, Got g) {
        if (g.head.all("X-Server-Signature").size() > 1 || g.head.all("X-Attempt-Id").size() > 1) {
            hit(Rule.R_DUP, a.id, null, null, g.head.toString());
        }
        String echo = g.head.get("X-Attempt-Id");
        if (echo != null && !echo.equals(a.id)) {
            hit(Rule.OTHER_ID, a.id, echo, null, "id " + echo);
        }
        Rec.Ans x = answer(g);
        if (x != null && !x.attempt.equals(a.id)) {
            hit(Rule.OTHER, a.id, x.attempt, x.inst + "#" + x.conn, "signature of " + x.attempt);
        }
        if (x == null) {
            String other = marked(g.body);
            if (other != null && !other.equals(a.id)) {
                hit(Rule.OTHER_BODY, a.id, other, null, "body of " + other);
            }
        }
    }

    private static String marked(byte[] b) {
        Matcher m = MARK.matcher(new String(b, 0, Math.min(b.length, 400), StandardCharsets.ISO_8859_1));
        return m.find() ? m.group(1) : null;
    }

    private void success(Rec.Attempt a, Got g, Rec.Ans x) {
        if (g.head.get("X-Server-Signature") == null) {
            hit(Rule.NOSIG, a.id, null, null, g.head.toString());
            return;
        }
        if (x == null) {
            hit(Rule.FOREIGN_SIG, a.id, null, null, g.head.get("X-Server-Signature"));
            return;
        }
        if (g.head.get("Content-Encoding") != null) {
            hit(Rule.ENCODED, a.id, null, null, g.head.get("Content-Encoding"));
        }
        if (g.head.get("X-Attempt-Id") == null) {
            hit(Rule.R_NOECHO, a.id, null, null, x.sig);
        }
        if (x.status / 100 != 2) {
            hit(Rule.FAILED, a.id, null, null, "the upstream gave " + x.status);
        } else if (x.status != g.status) {
            hit(Rule.SUCCESS_STATUS, a.id, null, null, g.status + " for " + x.status);
        }
        String conn = x.inst + "#" + x.conn;
        if (!Arrays.equals(x.body, g.body)) {
            if (x.wire != null && Arrays.equals(x.wire, g.body)) {
                hit(Rule.R_WIRE_BODY, a.id, null, conn, x.form);
            } else if (!x.whole) {
                hit(
                        x.form.contains("NOLEN_RESET") ? Rule.NOLEN_RESET : Rule.EARLY_END, a.id, null, conn,
                        g.body.length + " of " + x.body.length + " " + x.form);
            } else {
                hit(Rule.BODY, a.id, null, conn, g.body.length + " of " + x.body.length + " " + x.form);
            }
        } else if (!x.whole && !x.form.contains("NOLEN_RESET")) {
            hit(Rule.EARLY_END, a.id, null, conn, "whole, though cut at the upstream " + x.form);
        }
        if (x.order == 2 && x.first != null) {
            if (x.first.status / 100 != 2) {
                hit(Rule.FAILED, a.id, null, conn, "second answer behind " + x.first.status + " " + x.form);
            } else {
                hit(x.first.whole ? Rule.R_SECOND : Rule.R_SECOND_AFTER_BREAK, a.id, null, conn, x.form);
            }
        }
        synchronized (a) {
            for (Rec.Ans o : a.answers) {
                if (o.status / 100 != 2 && o.order == 1 && !(o.inst.equals(x.inst) && o.conn == x.conn
                        && o.arrival == x.arrival)) {
                    hit(Rule.R_FAILED_ANY, a.id, null, null, o.status + " at " + o.inst + (o.notExecuted ? " not run" : ""));
                    return;
                }
            }
        }
    }

    /** Bytes on a client's connection with no request waiting; {@code g} is what they parse to. */
    void idle(String conn, Rec.Attempt last, Got g) {
        rec.event(
                "idle", last == null ? null : last.id, null, "client", conn, "status", g.status, "end", g.end, "why", g.why,
                "head", g.head == null ? null : g.head.toString(), "len", g.body.length);
        String id = last == null ? null : last.id;
        if (g.end.equals("BROKEN") || g.head == null) {
            hit(last != null && last.brokeOff ? Rule.R_BYTES_BROKE : Rule.BYTES, id, null, null, "idle: " + g.why);
            return;
        }
        hit(g.status / 100 == 2 ? Rule.IDLE : Rule.R_IDLE_FAIL, id, null, null, g.head.toString());
    }

    /** What only the end of a run shows. */
    void close(String phase) {
        for (Rec.Attempt a : rec.attempts.values()) {
            if (a.phase.equals(phase) && a.refused && a.runs > 0) {
                Rule not = a.passed ? Rule.REFUSED_PASSED : Rule.REFUSED;
                hit(a.route.idempotent ? Rule.R_REFUSED_IDEM : not, a.id, null, null, "runs " + a.runs);
            }
        }
    }

    synchronized void print(int perRule) {
        for (Rule r : Rule.values()) {
            int n = 0;
            for (Case c : cases) {
                if (c.rule == r && r.shown() && n++ < perRule) {
                    print(c);
                }
            }
        }
    }

    private void print(Case c) {
        System.out.println("CASE " + c.rule + " (" + c.rule.text + ") id " + c.attempt + ": " + c.text);
        Set<String> conns = new LinkedHashSet<>();
        if (c.conn != null) {
            conns.add(c.conn);
        }
        for (String id : new String[] {c.attempt, c.other}) {
            Rec.Attempt a = id == null ? null : rec.attempts.get(id);
            if (a == null) {
                continue;
            }
            System.out.println("  request " + id + (a.route.idempotent ? " idempotent " : " not idempotent ") + a.target
                    + " at machine " + a.machine + (a.nested ? " (call of an upstream)" : ""));
            synchronized (a) {
                for (String e : a.events) {
                    System.out.println("    " + e);
                    Matcher m = Pattern.compile("\"conn\":\"([^\"]+)\"").matcher(e);
                    if (m.find() && conns.size() < 3) {
                        conns.add(m.group(1));
                    }
                }
            }
        }
        for (String n : conns) {
            List<String> l = rec.conns.get(n);
            if (l == null) {
                continue;
            }
            synchronized (l) {
                int at = l.size();
                for (int i = 0; i < l.size() && c.attempt != null; i++) {
                    if (l.get(i).contains(c.attempt)) {
                        at = i;
                        break;
                    }
                }
                System.out.println("  connection " + n + ", " + l.size() + " events");
                for (int i = Math.max(0, at - 10); i < Math.min(l.size(), at + 8); i++) {
                    System.out.println("    " + Wire.cut(l.get(i)));
                }
            }
        }
    }
}
