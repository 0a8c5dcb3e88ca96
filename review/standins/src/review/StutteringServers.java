package review;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Upstreams keep a connection after an answer and later write a second answer to the same request, with another
 * status, where the next answer on that connection is due. Meanwhile they leave and return for a moment while requests
 * are at work, so that a repeated request may come back to the same upstream.
 */
final class StutteringServers extends Case {

    /** How an upstream leaves for a moment and returns. */
    private enum Way {
        /** It accepts no connections for a moment and loses some, then checks in as ready; other connections go on. */
        BOUNCE {
            @Override
            void run(StutteringServers run, Upstream upstream, Random random) throws Exception {
                upstream.stopAccepting();
                run.resetSome(upstream, random, 2);
                Thread.sleep(200 + random.nextInt(300));
                upstream.startAccepting();
                upstream.beat();
            }
        },
        /** It checks in as draining, and as ready a moment later. */
        DRAIN {
            @Override
            void run(StutteringServers run, Upstream upstream, Random random) throws Exception {
                upstream.state = "draining";
                upstream.beat();
                Thread.sleep(100 + random.nextInt(300));
                upstream.state = "ready";
                upstream.beat();
            }
        },
        /** The node beside it is frozen until the others take it for failed. */
        FREEZE {
            @Override
            void run(StutteringServers run, Upstream upstream, Random random) throws Exception {
                run.fleet.signal(upstream.machine, "STOP");
                Thread.sleep(2500 + random.nextInt(1500));
                run.fleet.signal(upstream.machine, "CONT");
            }
        },
        /** The node beside it is killed and started again. */
        KILL {
            @Override
            void run(StutteringServers run, Upstream upstream, Random random) throws Exception {
                restart(run, upstream, "KILL");
            }
        },
        /** The node beside it is terminated and started again. */
        TERMINATE {
            @Override
            void run(StutteringServers run, Upstream upstream, Random random) throws Exception {
                restart(run, upstream, "TERM");
            }
        },
        /** It loses some connections, and accepts others all the while. */
        RESET {
            @Override
            void run(StutteringServers run, Upstream upstream, Random random) throws Exception {
                run.resetSome(upstream, random, 3);
            }
        };

        abstract void run(StutteringServers run, Upstream upstream, Random random) throws Exception;

        /** Whether the upstream or its node is away for a moment. */
        boolean leaves() {
            return this != RESET;
        }

        private static void restart(StutteringServers run, Upstream upstream, String signal) throws Exception {
            run.fleet.signal(upstream.machine, signal);
            upstream.machine.node.waitFor();
            run.fleet.startNode(upstream.machine);
            run.fleet.awaitReady(List.of(upstream.machine), 20);
        }
    }

    /** A connection as the upstream sees it. */
    private static final class Connection {

        final int number;

        /** Second answers that have not been written, with the ids of their requests. */
        final Deque<Late> late = new ArrayDeque<>();

        Connection(int number) {
            this.number = number;
        }
    }

    private record Late(String id, byte[] bytes) {}

    /** Counter of the requests that are worth a repetition at an upstream that has been away meanwhile. */
    private static final String RETURNED = "failures and refusals behind a return";

    private static final int TIMEOUT_MILLIS = 8000;
    private static final int THINK_MILLIS = 20;

    private final long seed = Long.parseLong(System.getenv().getOrDefault("SEED", "1"));
    private final int seconds = Integer.parseInt(System.getenv().getOrDefault("DURATION_S", "25"));
    private final int clientCount = Integer.parseInt(System.getenv().getOrDefault("CLIENTS", "24"));
    private final int longestWorkMillis = Integer.parseInt(System.getenv().getOrDefault("LONGEST_WORK_MS", "1200"));
    private final int servers = Integer.parseInt(System.getenv().getOrDefault("SERVERS", "2"));
    private final boolean probes = "1".equals(System.getenv("PROBES"));
    private final boolean nameless = "1".equals(System.getenv("NAMELESS"));
    private final boolean repeats = "1".equals(System.getenv("REPEATS"));
    private final Set<Way> ways = ways(System.getenv().getOrDefault("WAYS", "BOUNCE"));

    /** How often each upstream has returned. */
    private final Map<String, AtomicInteger> returns = new ConcurrentHashMap<>();

    private final Map<Socket, Connection> connections = new ConcurrentHashMap<>();
    private final AtomicInteger connectionCount = new AtomicInteger();
    private final AtomicInteger requestCount = new AtomicInteger();
    private AnswerLedger ledger;
    private volatile boolean ended;

    private static Set<Way> ways(String names) {
        Set<Way> ways = EnumSet.noneOf(Way.class);
        if (!names.isEmpty()) {
            Arrays.stream(names.split(",")).map(Way::valueOf).forEach(ways::add);
        }
        return ways;
    }

    public static void main(String[] arguments) {
        run(arguments, new StutteringServers());
    }

    @Override
    boolean isBroken() throws Exception {
        ledger = new AnswerLedger(record);
        String[][] names = new String[servers + 1][];
        for (int i = 0; i < servers; i++) {
            names[i] = new String[] {"side-" + (i + 1), i < 2 ? "baton-rouge" : "hattiesburg", "hehi12f"};
        }
        names[servers] = new String[] {"side-" + (servers + 1), "baton-rouge", "wuno96b"};
        fleet.addMachines(names);
        fleet.store.put("op", "config", new Manifest()
                .service("hehi12f")
                .service("wuno96b")
                .route("/clip/", "idempotent", "hehi12f", "400ms", "8000ms", 4)
                .route("/claim/", "non_idempotent", "hehi12f", "400ms", "8000ms", 4)
                .text(7));
        List<Upstream> upstreams = new ArrayList<>();
        for (Fleet.Machine machine : fleet.machines) {
            upstreams.add(new Upstream(machine, "i-" + machine.name, 17, record));
        }
        List<Upstream> stuttering = upstreams.subList(0, servers);
        stuttering.forEach(upstream -> upstream.behaviour = (up, exchange) -> up.answer(exchange, 200, new byte[0]));
        startNodes();
        awaitServed("/clip/warm", 20);
        stuttering.forEach(upstream -> upstream.behaviour = this::stutter);
        if (probes) {
            stuttering.forEach(upstream -> upstream.healthBehaviour = this::answerProbe);
        }
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < clientCount; number++) {
            Fleet.Machine machine = fleet.machines.get(number % fleet.machines.size());
            Random random = new Random(seed * 1000 + number);
            clients.add(Fleet.daemon(() -> call(machine, random)));
        }
        disrupt(stuttering);
        ended = true;
        for (Thread client : clients) {
            client.join(TIMEOUT_MILLIS + 4000);
        }
        Thread.sleep(longestWorkMillis);
        ledger.judge();
        String summary = String.format(
                "seed %d, %d servers, %s%s%s%s: %s",
                seed,
                servers,
                ways,
                probes ? ", probes" : "",
                nameless ? ", nameless" : "",
                repeats ? ", repeats" : "",
                ledger.summary());
        record.add("%s", summary);
        System.out.println(summary);
        boolean leaves = ways.stream().anyMatch(Way::leaves);
        boolean met = ledger.counted("second answers") > 0 && (!leaves || ledger.counted(RETURNED) > 0);
        if (trouble && !met && !ledger.isBroken()) {
            throw new IllegalStateException("no request could have been answered by a second answer");
        }
        return ledger.isBroken();
    }

    private void disrupt(List<Upstream> upstreams) throws Exception {
        Random random = new Random(seed);
        List<Way> chosen = List.copyOf(ways);
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        for (int round = 0; System.nanoTime() < end; round++) {
            Thread.sleep(300 + random.nextInt(500));
            if (!chosen.isEmpty()) {
                Way way = chosen.get(random.nextInt(chosen.size()));
                Upstream upstream = upstreams.get(round % upstreams.size());
                record.add("%s at %s", way, upstream.id);
                way.run(this, upstream, random);
                if (way.leaves()) {
                    returnsOf(upstream).incrementAndGet();
                }
            }
        }
    }

    private AtomicInteger returnsOf(Upstream upstream) {
        return returns.computeIfAbsent(upstream.id, id -> new AtomicInteger());
    }

    private void resetSome(Upstream upstream, Random random, int count) throws IOException {
        List<Socket> open = new ArrayList<>(upstream.sockets);
        Collections.shuffle(open, random);
        for (Socket socket : open.subList(0, Math.min(count, open.size()))) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (SocketException e) {
                // Closed meanwhile.
            }
        }
    }

    private void call(Fleet.Machine machine, Random random) throws Exception {
        Client client = null;
        String repeatedId = null;
        while (!ended) {
            boolean idempotent = repeatedId != null || random.nextInt(4) > 0;
            String id = repeatedId;
            if (id == null) {
                id = String.format("%016x", requestCount.incrementAndGet() * 0x9e3779b97f4a7c15L);
            } else {
                ledger.noteRepeated(id);
            }
            try {
                client = client == null ? new Client(machine) : client;
            } catch (IOException e) {
                Thread.sleep(50);
                continue;
            }
            Client.Answer answer = idempotent
                    ? client.get("/clip/" + id, id, TIMEOUT_MILLIS)
                    : client.send("POST", "/claim/" + id, id, TIMEOUT_MILLIS, new byte[200], false);
            ledger.noteAnswer(machine.name, id, idempotent, answer);
            repeatedId = repeats && idempotent && repeatedId == null && answer.status() == 500 ? id : null;
            if (answer.status() <= 0 || "close".equalsIgnoreCase(answer.head().field("Connection"))) {
                client.close();
                client = null;
            }
            Thread.sleep(random.nextInt(THINK_MILLIS));
        }
    }

    private Connection connectionOf(Upstream.Exchange exchange) {
        return connections.computeIfAbsent(
                exchange.socket(), socket -> new Connection(connectionCount.incrementAndGet()));
    }

    /** Writes the second answer that is due before the answer to a request. */
    private void writeLate(Connection connection, String id, Upstream.Exchange exchange, Random random)
            throws IOException {
        synchronized (connection) {
            Late late = connection.late.stream()
                    .filter(kept -> kept.id.equals(id))
                    .findFirst()
                    .orElse(random.nextInt(10) == 0 ? connection.late.peekLast() : null);
            if (late == null) {
                return;
            }
            connection.late.remove(late);
            ledger.count(true, "second answers");
            ledger.count(late.id.equals(id), "second answers before another run of their request");
            exchange.out().write(late.bytes);
            exchange.out().flush();
        }
    }

    private void stutter(Upstream upstream, Upstream.Exchange exchange) throws Exception {
        String id = exchange.id();
        Connection connection = connectionOf(exchange);
        AnswerLedger.Arrival arrival = ledger.arrive(id, upstream.id, connection.number);
        Random random = new Random(seed * 31 + id.hashCode() * 17L + arrival.number);
        writeLate(connection, id, exchange, random);
        boolean first = arrival.number == 1;
        boolean slow = first && random.nextInt(5) < 2;
        int kind = random.nextInt(100);
        boolean refuses = first && kind < (slow ? 25 : 2);
        boolean fails = first && !refuses && kind < (slow ? 75 : 5);
        boolean breaksOff = first && kind > 97;
        int returned = returnsOf(upstream).get();
        arrival.ran = !refuses;
        Thread.sleep(slow ? 300 + random.nextInt(longestWorkMillis - 300) : 3 + random.nextInt(first ? 15 : 100));
        byte[] body = (id + " at " + upstream.id + ", arrival " + arrival.number + " " + "x".repeat(400)).getBytes();
        if (breaksOff) {
            breakOff(upstream, exchange, body, random);
            return;
        }
        ledger.count((refuses || fails) && returnsOf(upstream).get() > returned, RETURNED);
        arrival.body = refuses ? new byte[0] : fails ? "failed".getBytes() : body;
        arrival.status = refuses ? 503 : fails ? 500 : 200;
        boolean stutters = trouble && (refuses || fails || random.nextInt(20) == 0);
        byte[] second = refuses ? refusal(upstream, exchange) : success(upstream, exchange, arrival);
        synchronized (connection) {
            if (refuses) {
                upstream.refuse(exchange);
            } else {
                upstream.answer(exchange, arrival.status, arrival.body);
            }
            if (stutters) {
                connection.late.addFirst(new Late(id, second));
            }
        }
        if (stutters && random.nextInt(8) == 0) {
            int delay = 1 + random.nextInt(60);
            Fleet.daemon(() -> {
                Thread.sleep(delay);
                writeUnasked(connection, id, exchange);
            });
        }
    }

    /** Writes a second answer whether or not a request waits on its connection. */
    private void writeUnasked(Connection connection, String id, Upstream.Exchange exchange) throws IOException {
        synchronized (connection) {
            for (Late late : List.copyOf(connection.late)) {
                if (late.id.equals(id)) {
                    connection.late.remove(late);
                    ledger.count(true, "second answers");
                    exchange.out().write(late.bytes);
                    exchange.out().flush();
                }
            }
        }
    }

    private byte[] refusal(Upstream upstream, Upstream.Exchange exchange) {
        String identifier = nameless ? "" : "\r\nX-Attempt-Id: " + exchange.id();
        return ("HTTP/1.1 503 X\r\nX-Not-Executed: 1" + identifier + "\r\nX-Server-Load: "
                        + upstream.load() + "\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] success(Upstream upstream, Upstream.Exchange exchange, AnswerLedger.Arrival arrival) {
        String body = exchange.id() + " once more, arrival " + arrival.number;
        return (upstream.answerHead(exchange, 200) + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Closes or resets the connection after some bytes of the answer, or after none. */
    private void breakOff(Upstream upstream, Upstream.Exchange exchange, byte[] body, Random random)
            throws IOException {
        byte[] head = (upstream.answerHead(exchange, 200) + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        int length = random.nextInt(head.length + body.length);
        exchange.out().write(head, 0, Math.min(length, head.length));
        exchange.out().write(body, 0, Math.max(0, length - head.length));
        exchange.out().flush();
        exchange.socket().setSoLinger(true, random.nextBoolean() ? 0 : 5);
        exchange.socket().close();
    }

    /** Answers a health probe as a full upstream does, some time after a second answer that stands in its place. */
    private void answerProbe(Upstream upstream, Upstream.Exchange exchange) throws Exception {
        Connection connection = connectionOf(exchange);
        ledger.count(true, "probes");
        synchronized (connection) {
            Late late = connection.late.pollFirst();
            if (late != null) {
                ledger.count(true, "second answers before the answer to a probe");
                exchange.out().write(late.bytes);
                exchange.out().flush();
            }
        }
        Thread.sleep(5);
        Upstream.write(exchange.out(), "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Instance-Id: " + upstream.id
                + "\r\nX-Server-Load: " + upstream.load() + "\r\nContent-Length: 0\r\n\r\n");
    }
}
