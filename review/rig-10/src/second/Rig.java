package second;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.Paths;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the machines and plays phases on them: {@code Rig ROOT PHASE...}, PHASE is seed:seconds:forms:rate:faults. */
final class Rig {
    static final int APP = 8301;
    static final int OUT = 8304;
    static final int READY = 8302;
    static final int CONTROL = 8306;
    private static final String NET = "127.77.0.";
    private static final String[] SERVICES = {"sa", "sa", "sa", "sa", "sb", "sb", "sb", "sc", "sc", "sd"};
    private static final String[] ZONES = {"halle-nord", "halle-sued", "ulm-west"};

    final Rec rec;
    final Judge judge;
    final Client client = new Client(this);
    final List<Machine> machines = new ArrayList<>();
    final List<Rec.Route> routes = new ArrayList<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(8, r -> {
        Thread t = new Thread(r, "timer");
        t.setDaemon(true);
        return t;
    });
    private final Path root;
    private Store store;
    private final String storeAddr = NET + "200:8309";
    volatile long seed;
    volatile String phase = "start";
    private volatile List<Form> forms = List.of();
    private volatile double rate;
    volatile int pause = 150;
    private volatile int only = -1;
    private int version = 5;
    private int boots;

    private Rig(Path root, Path record) throws IOException {
        this.root = root;
        rec = new Rec(record);
        judge = new Judge(rec);
    }

    static Thread thread(String name, Runnable r) {
        Thread t = new Thread(null, r, name, 256 * 1024);
        t.setDaemon(true);
        t.start();
        return t;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void later(int ms, Runnable r) {
        timer.schedule(r, ms, TimeUnit.MILLISECONDS);
    }

    /** The form of one answer; by {@code only} a single upstream misbehaves. */
    Form form(Upstream u, Random r, boolean longBody) {
        List<Form> l = forms;
        boolean sound = only >= 0 ? u.machine.no != only : u.machine.no % 4 == 3;
        if (l.isEmpty() || sound || r.nextDouble() >= rate) {
            return Form.PLAIN;
        }
        Form f = l.get(r.nextInt(l.size()));
        return f.early() && !longBody ? Form.PLAIN : f;
    }

    /** A signature; the pages show one and don't say what its parts mean. */
    String sign(int n, int conn, int no, byte[] body) {
        String s = Integer.toHexString(n);
        switch (System.getProperty("sig", "opaque")) {
            case "length":
                return s + "." + Integer.toHexString(conn) + "." + no + "." + body.length + ".0." + Rec.crc(body);
            case "moved":
                return "3e1b.07." + s + "." + (100 + n % 900) + ".0." + Integer.toHexString(n * 0x9e3779b1);
            default:
                return s + "-" + Integer.toHexString(n * 0x9e3779b1);
        }
    }

    private String manifest() {
        version += 1 + new Random(version).nextInt(3);
        List<Object> listeners = new ArrayList<>();
        Map<String, String> where = Map.of("/ga/", "sa", "/pa/", "sa", "/na/", "sa", "/npa/", "sa", "/gb/", "sb", "/pb/",
                "sb", "/pc/", "sc", "/gd/", "sd", "/gc/", "sc");
        int n = 0;
        for (String host : List.of("ha.example", "hb.example", "hc.example")) {
            List<Object> rules = new ArrayList<>();
            for (Rec.Route r : routes) {
                if (!r.host.equals(host)) {
                    continue;
                }
                Map<String, Object> action = r.prefix.equals("/wc/")
                        ? Json.map(
                                "weightedClusters",
                                List.of(
                                        Json.map("service", "sa", "weight", 70 - version % 7),
                                        Json.map("service", "sc", "weight", 30 + version % 7)))
                        : Json.map("service", where.get(r.prefix));
                action.put("timeout", version % 2 == 0 ? "2500ms" : "3s");
                action.put("maxAttempts", r.idempotent ? 3 : 2);
                rules.add(Json.map(
                        "name", "r-" + n++, "kind", r.idempotent ? "idempotent" : "non_idempotent", "targetLatency", "400ms",
                        "priority", n % 3, "match", Json.map("prefix", r.prefix), "action", action));
            }
            listeners.add(Json.map("host", host, "rules", rules));
        }
        List<Object> clusters = new ArrayList<>();
        for (String s : List.of("sa", "sb", "sc", "sd")) {
            clusters.add(Json.map(
                    "name", s, "healthPath", "/health", "maxConnections", 260, "protocol", "h1", "tls", false));
        }
        return Json.text(Json.map(
                "version", "r" + version, "limits",
                Json.map(
                        "maxHeaderBytes", 16384, "maxBodyBytes", 67108864, "headerTimeout", "3000ms", "idleTimeout", "15000ms"),
                "listeners", listeners, "clusters", clusters));
    }

    private void start() throws IOException {
        String run = null;
        Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (m.find()) {
            run = m.group(1);
        }
        routes.add(new Rec.Route("ha.example", "/ga/", true, null));
        routes.add(new Rec.Route("ha.example", "/pa/", false, null));
        routes.add(new Rec.Route("ha.example", "/na/", true, "hb.example /gb/"));
        routes.add(new Rec.Route("ha.example", "/npa/", false, "hb.example /pb/"));
        routes.add(new Rec.Route("hb.example", "/gb/", true, null));
        routes.add(new Rec.Route("hb.example", "/pb/", false, null));
        routes.add(new Rec.Route("hc.example", "/wc/", true, null));
        routes.add(new Rec.Route("hc.example", "/pc/", false, null));
        routes.add(new Rec.Route("hc.example", "/gc/", true, null));
        routes.add(new Rec.Route("hc.example", "/gd/", true, null));
        store = new Store(NET + "200", 8309);
        store.put("op", "config", manifest());
        for (int i = 0; i < SERVICES.length; i++) {
            Machine x = new Machine(i, NET + (i + 1), ZONES[i % 3], SERVICES[i], root, run);
            machines.add(x);
            x.start(storeAddr);
        }
        for (Machine x : machines) {
            boot(x);
            thread("ready", () -> asks(x));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> machines.forEach(Machine::kill)));
    }

    private void boot(Machine m) throws IOException {
        boots++;
        m.upstream = new Upstream(this, m, "i-" + m.no + "b" + boots, m.service, 6 + m.no % 3, 3 + m.no * 2);
    }

    private void asks(Machine m) {
        while (true) {
            boolean ok = false;
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(m.ip, READY), 900);
                s.getOutputStream()
                        .write("GET /mustardusher/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                Wire w = new Wire(s);
                w.deadline = System.nanoTime() + 900_000_000L;
                Wire.Head h = w.head(true);
                ok = h != null && h.status() == 200;
            } catch (IOException e) {
                ok = false;
            }
            m.asked(ok);
            sleep(1000);
        }
    }

    private boolean awaitReady(int s) {
        long end = System.nanoTime() + s * 1_000_000_000L;
        while (System.nanoTime() < end) {
            if (machines.stream().allMatch(m -> m.ready)) {
                return true;
            }
            sleep(200);
        }
        System.out.println("ready: " + machines.stream().filter(m -> m.ready).count() + " of " + machines.size());
        return machines.stream().anyMatch(m -> m.ready);
    }

    private static List<Form> formsOf(String s) {
        Set<Form> l = EnumSet.noneOf(Form.class);
        for (String p : s.split("\\+")) {
            for (Form f : Form.values()) {
                boolean not = f == Form.ENCODED || f == Form.PLAIN;
                boolean fits = p.equals("ALL") ? !not : p.endsWith("*")
                        ? f.name().startsWith(p.substring(0, p.length() - 1)) : f.name().equals(p);
                if (fits) {
                    l.add(f);
                }
            }
        }
        return new ArrayList<>(l);
    }

    /** Plays one phase; the number of broken rules. */
    private int play(String spec) throws IOException {
        String[] p = spec.split(":");
        seed = Long.parseLong(p[0]);
        phase = spec;
        forms = formsOf(p[2]);
        rate = Double.parseDouble(p[3]);
        String faults = p.length > 4 ? p[4] : "";
        only = p.length > 5 ? Integer.parseInt(p[5]) : -1;
        rec.forget(phase);
        rec.conns.clear();
        judge.reset();
        client.gaveUp.set(0);
        rec.event("phase", null, null, "spec", spec);
        long end = System.nanoTime() + Long.parseLong(p[1]) * 1_000_000_000L;
        List<Thread> all = new ArrayList<>();
        int perMachine = Integer.getInteger("clients", 5);
        for (Machine m : machines) {
            for (int i = 0; i < perMachine; i++) {
                Random r = new Random(seed * 1000 + m.no * 37 + i);
                all.add(thread("client", () -> client.loop(m, r, spec, end)));
            }
        }
        Thread f = faults.isEmpty() || faults.equals("-") ? null : thread("faults", () -> faults(faults, end));
        try {
            for (Thread t : all) {
                t.join(Math.max(1, (end - System.nanoTime()) / 1_000_000 + 15_000));
            }
            if (f != null) {
                f.join(30_000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        forms = List.of();
        sleep(2500);
        judge.close(spec);
        rec.flush();
        StringBuilder b = new StringBuilder();
        for (Map.Entry<Rule, Integer> e : judge.all().entrySet()) {
            b.append(' ').append(e.getKey()).append('=').append(e.getValue());
        }
        System.out.println("RUN " + spec + " answers=" + judge.answers + " successes=" + judge.successes + " arrivals="
                + judge.arrivals + " seconds=" + judge.seconds + " probes=" + judge.probes + " gaveUp=" + client.gaveUp
                + " broken=" + judge.broken() + " |" + b + " | ends " + judge.ends());
        judge.print(Integer.getInteger("cases", 2));
        awaitReady(20);
        return judge.broken();
    }

    private void faults(String kinds, long end) {
        Random r = new Random(seed);
        String[] k = kinds.split(",");
        while (System.nanoTime() < end - 3_000_000_000L) {
            sleep(1000 + r.nextInt(2500));
            Machine m = machines.get(r.nextInt(machines.size()));
            String what = k[r.nextInt(k.length)];
            if (m.busy) {
                continue;
            }
            m.busy = true;
            rec.event("fault", null, null, "kind", what, "machine", m.no);
            thread("fault", () -> {
                try {
                    fault(m, what, r.nextInt(1000));
                } catch (IOException e) {
                    System.out.println("fault: " + e);
                }
                m.busy = false;
            });
        }
        for (Machine m : machines) {
            for (int i = 0; i < 150 && m.busy; i++) {
                sleep(100);
            }
        }
    }

    private void fault(Machine m, String what, int r) throws IOException {
        switch (what) {
            case "kill":
                m.kill();
                sleep(300 + r);
                m.start(storeAddr);
                return;
            case "term":
                m.term();
                sleep(300 + r);
                m.start(storeAddr);
                return;
            case "stop":
                m.signal("STOP");
                sleep(300 + 2 * r);
                m.signal("CONT");
                return;
            case "crash":
                m.upstream.end();
                sleep(1000 + r);
                boot(m);
                return;
            case "manifest":
                store.put("op", "config", manifest());
                return;
            case "drain":
                drain(m, r);
                return;
            default:
                throw new IllegalArgumentException(what);
        }
    }

    /** An upstream leaves with its machine; the address goes to another service. */
    private void drain(Machine m, int r) throws IOException {
        long same = machines.stream().filter(x -> x != m && !x.busy && x.service.equals(m.service)).count();
        if (same == 0) {
            return;
        }
        Upstream u = m.upstream;
        u.state = "draining";
        u.beat();
        sleep(2000 + r);
        u.leave();
        u.state = "gone";
        u.end();
        m.term();
        sleep(2000);
        m.service = r % 2 == 0 ? m.service : List.of("sa", "sb", "sc", "sd").get(r % 4);
        m.start(storeAddr);
        boot(m);
    }

    public static void main(String[] args) throws IOException {
        Path root = Paths.get(args[0]).toAbsolutePath().normalize();
        if (args[1].equals("selftest")) {
            System.exit(SelfTest.run() ? 0 : 1);
        }
        String file = System.getenv("RECORD");
        Rig rig = new Rig(root, file == null ? root.resolve("target/second-run.jsonl") : Paths.get(file));
        rig.start();
        if (!rig.awaitReady(60)) {
            System.out.println("nothing judged: no node is ready");
            System.exit(2);
        }
        System.out.println("ready " + rig.machines.stream().filter(m -> m.ready).count() + " store calls " + rig.store.calls);
        int broken = 0;
        int judged = 0;
        for (int i = 1; i < args.length; i++) {
            broken += rig.play(args[i]);
            judged += rig.judge.successes > 0 ? 1 : 0;
        }
        rig.rec.flush();
        System.exit(broken > 0 ? 1 : judged == args.length - 1 ? 0 : 2);
    }
}
