package io.mustardusher.entry;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.call.Problem;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.Credential;
import io.mustardusher.frame.FrameClient;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.FrameServer;
import io.mustardusher.frame.FrameTraffic;
import io.mustardusher.frame.SilentRelay;
import io.mustardusher.gate.FramedGate;
import io.mustardusher.gate.GateFixture;
import io.mustardusher.generated.DistanceSettings;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.http.HttpListener;
import io.mustardusher.http.Transport;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.server.ServerLink;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;

/**
 * Callers on real connections to entries, whose calls cross real connections to shared gates that are reset or silent
 * while gates restart and callers leave. Each node has its own event loop, so that nodes run at the same time. Servers
 * refuse some requests, fail the first run of many, and serve later ones.
 */
final class CallersAndGatesExchange implements AutoCloseable {

    private static final int ENTRIES = 4;
    private static final int GATES = 3;
    private static final int CALLERS_PER_ENTRY = 6;
    private static final int SLOTS = 64;
    private static final long CALL_TIMEOUT_MILLIS = 1_500;
    private static final long NOTICE_MILLIS = 60;
    private static final long SETTLING_MILLIS = 8_000;
    private static final int MAX_PIPELINED = 4;
    private static final String ID_PREFIX = "/call/";
    private static final String RUN = "x-run";
    private static final Clock CLOCK = Clock.ForSystem.INSTANCE;
    private static final Credential CREDENTIAL = new Credential("secret");

    private final Random random;
    private final Map<Condition, AtomicInteger> conditions;
    private final HeaderPacking packing = new HeaderPacking(List.of());
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final List<GateNode> gates = new ArrayList<>();
    private final List<EntryNode> entries = new ArrayList<>();
    private final AtomicInteger lastId = new AtomicInteger();
    private final AtomicInteger lastRun = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final Map<Integer, Run> runs = new ConcurrentHashMap<>();
    private final Map<Integer, AtomicInteger> runsById = new ConcurrentHashMap<>();
    private final Map<Integer, String> reportedNotRun = new ConcurrentHashMap<>();
    private final AtomicReference<String> violation = new AtomicReference<>();
    private volatile boolean ending;

    /**
     * Starts the nodes.
     *
     * @param seed       seed of what happens to connections and nodes
     * @param conditions counts what has happened
     * @throws IOException if a relay cannot listen
     */
    CallersAndGatesExchange(long seed, Map<Condition, AtomicInteger> conditions) throws IOException {
        this.random = new Random(seed);
        this.conditions = conditions;
        for (int i = 0; i < GATES; i++) {
            gates.add(new GateNode(i + 1));
        }
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new EntryNode());
        }
    }

    /**
     * Lets callers send requests.
     *
     * @param answers number of answers after which they stop
     * @return description of the first violation, or an empty string
     */
    String play(int answers) throws IOException, InterruptedException {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < ENTRIES * CALLERS_PER_ENTRY; i++) {
            Caller caller = new Caller(entries.get(i % ENTRIES), random.nextLong());
            callers.add(new Thread(caller::run, "caller-" + i));
        }
        callers.forEach(Thread::start);
        while (answered.get() < answers && violation.get() == null) {
            TimeUnit.MILLISECONDS.sleep(20 + random.nextInt(100));
            disturb(gates.get(random.nextInt(GATES)));
        }
        ending = true;
        for (Thread caller : callers) {
            caller.join(SETTLING_MILLIS);
            if (caller.isAlive()) {
                violate("a request got neither an answer nor the end of its connection");
            }
        }
        reportedNotRun.forEach((id, status) -> {
            if (runsById.containsKey(id)) {
                violate("call " + id + " ran, but was answered with " + status);
            }
        });
        entries.forEach(entry -> {
            count(Condition.CONNECTION_GIVEN_UP, (int) entry.traffic.silentConnections());
            count(Condition.CALL_RESUMED, (int) entry.traffic.resumedCalls());
            count(Condition.LARGE_ANSWER, (int) entry.directory.streamedResponses());
        });
        return violation.get() == null ? "" : violation.get();
    }

    private void disturb(GateNode gate) throws IOException {
        int connections = gate.relay.accepted();
        if (connections == 0) {
            return;
        }
        // Mostly one of the newest, which are open.
        int chosen = connections - 1 - random.nextInt(Math.min(connections, ENTRIES + 1));
        switch (random.nextInt(8)) {
            case 0 -> gate.restart();
            case 1, 2 -> gate.relay.silence(chosen);
            default -> {
                count(Condition.CONNECTION_RESET, 1);
                gate.relay.reset(chosen);
            }
        }
    }

    private void violate(String found) {
        violation.compareAndSet(null, found);
    }

    private void count(Condition condition, int number) {
        conditions.get(condition).addAndGet(number);
    }

    @Override
    public void close() throws IOException {
        for (EntryNode entry : entries) {
            entry.close();
        }
        for (GateNode gate : gates) {
            gate.close();
        }
        timers.shutdownNow();
    }

    /** Returns counts of all conditions, which are 0. */
    static Map<Condition, AtomicInteger> noConditions() {
        Map<Condition, AtomicInteger> none = new EnumMap<>(Condition.class);
        for (Condition condition : Condition.values()) {
            none.put(condition, new AtomicInteger());
        }
        return none;
    }

    /** What the exchanges have to meet, so that their result says something. */
    enum Condition {
        SUCCESS,
        SUCCESS_AFTER_EARLIER_RUN,
        FAILURE_OF_SERVER,
        REPORTED_AS_NOT_RUN,
        UNKNOWN_OUTCOME,
        PIPELINED,
        CALLER_LEFT,
        CONNECTION_RESET,
        CONNECTION_GIVEN_UP,
        CALL_RESUMED,
        GATE_RESTARTED,
        LARGE_ANSWER
    }

    private record Run(int number, int id, int status, int length) {

        byte[] body() {
            byte[] bytes = new byte[length];
            new Random(number).nextBytes(bytes);
            return bytes;
        }
    }

    /** A node whose server is called. */
    private final class GateNode {

        private final int number;
        private final EventLoopGroup group = Transport.newEventLoops(1, "gate");
        private final FrameServer server = new FrameServer(CREDENTIAL, new FrameTraffic(), cause -> {});
        private final SilentRelay relay;
        private long boot = CLOCK.epochMillis();

        GateNode(int number) throws IOException {
            this.number = number;
            start();
            int port = server.start("127.0.0.1", 0, group, Transport.of(group).serverChannelType());
            relay = new SilentRelay(new InetSocketAddress("127.0.0.1", port));
        }

        // A new process at the same address, which other nodes notice some time later.
        void restart() throws IOException {
            count(Condition.GATE_RESTARTED, 1);
            boot = Math.max(boot + 1, CLOCK.epochMillis());
            start();
            for (int i = 0; i < relay.accepted(); i++) {
                relay.reset(i);
            }
            MemberRecord restarted = member();
            timers.schedule(
                    () -> entries.forEach(entry -> entry.learn(restarted)), NOTICE_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void start() {
            EventLoop loop = group.next();
            FramedGate gate =
                    new FramedGate(GateFixture.of(CLOCK, timers, SLOTS, new Server(loop)), packing, boot, loop, CLOCK);
            server.on(FrameKind.CALL, (CallMessage call) -> gate.call(call))
                    .on(FrameKind.RESUME, (CallMessage call) -> gate.resume(call))
                    .on(FrameKind.CANCEL, (CallMessage call) -> gate.cancel(call))
                    .on(FrameKind.PART, (CallMessage call) -> gate.part(call));
        }

        MemberRecord member() {
            return record("gate-" + number, boot)
                    .withFramePort(relay.address().getPort())
                    .withGatePort(1)
                    .withService(RouterFixture.SERVICE.value())
                    .withSlots(SLOTS)
                    .withSince(boot)
                    .withServing(true);
        }

        void close() throws IOException {
            relay.close();
            server.close();
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }

    private static MemberRecord record(String id, long boot) {
        return new MemberRecord()
                .withId(id)
                .withBoot(boot)
                .withIncarnation(1)
                .withState(MemberState.ALIVE.toRecordState())
                .withHost("127.0.0.1")
                .withRegion("r")
                .withDomain("d");
    }

    /** A node that callers use. */
    private final class EntryNode {

        private final EventLoopGroup group = Transport.newEventLoops(1, "entry");
        private final FrameTraffic traffic = new FrameTraffic();
        private final FrameClient client =
                new FrameClient(group, Transport.of(group).socketChannelType(), CREDENTIAL, traffic, CLOCK);
        private final MemberTable members;
        private final ServerDirectory directory;
        private final HttpListener listener;
        private final int port;

        EntryNode() {
            members = new MemberTable(record("entry", 1), CLOCK, new Random(1));
            directory = new ServerDirectory(
                    members,
                    null,
                    new DistanceSettings(),
                    () -> {
                        throw new AssertionError("no call is streamed");
                    },
                    CREDENTIAL,
                    CLOCK);
            directory.useFrames(new ServerDirectory.FrameTransport(
                    client, packing, new AtomicLong(new Random(random.nextLong()).nextLong()), group.next()));
            gates.forEach(gate -> learn(gate.member()));
            Router router = new Router(
                    directory,
                    new SuspectTable(CLOCK),
                    report -> {},
                    new RetryPolicyFactory.ForWindow(CLOCK, 1_000 * Clock.NANOS_PER_MILLI, () -> 1_000),
                    timers,
                    CLOCK,
                    new MetricRegistry());
            Entry entry = new Entry(
                    router,
                    null,
                    new PlainProtocol(CALL_TIMEOUT_MILLIS, RequestLimits.NONE),
                    call -> {},
                    new EventLoopDelay(CLOCK),
                    CLOCK,
                    new MetricRegistry());
            listener = new HttpListener(group, CLOCK, new MetricRegistry());
            port = listener.bind(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), entry, () -> RequestLimits.NONE);
        }

        void learn(MemberRecord gate) {
            members.merge(List.of(gate));
            directory.refresh();
        }

        void close() {
            listener.close();
            client.close();
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }

    /** Refuses some requests, fails the first run of many, and answers late now and then. */
    private final class Server implements ServerLink {

        private final EventLoop loop;
        private final Random choices = new Random(random.nextLong());

        Server(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        public Exchange send(HttpRequest call, long remainingNanos) {
            int id = Integer.parseInt(call.headers().path().substring(ID_PREFIX.length()));
            if (choices.nextInt(8) == 0) {
                return Exchange.ofAggregated(CompletableFuture.completedFuture(refusal()), () -> {});
            }
            boolean again =
                    runsById.computeIfAbsent(id, first -> new AtomicInteger()).incrementAndGet() > 1;
            int status = choices.nextInt(4) < (again ? 1 : 2) ? 500 : 200;
            int length = choices.nextInt(16) == 0 ? 70_000 + choices.nextInt(60_000) : choices.nextInt(400);
            Run run = new Run(lastRun.incrementAndGet(), id, status, length);
            runs.put(run.number, run);
            CompletableFuture<AggregatedHttpResponse> answer = new CompletableFuture<>();
            long delayMillis = choices.nextInt(20) == 0 ? choices.nextInt(400) : choices.nextInt(8);
            loop.schedule(() -> answer.complete(answer(run)), delayMillis, TimeUnit.MILLISECONDS);
            return Exchange.ofAggregated(
                    answer,
                    () -> answer.completeExceptionally(
                            new MustardusherException(ResultCode.DEADLINE_PASSED, "cancelled")));
        }

        private static AggregatedHttpResponse refusal() {
            return AggregatedHttpResponse.of(
                    Problem.headers(ResultCode.SERVER_REFUSED).build());
        }

        private static AggregatedHttpResponse answer(Run run) {
            ResponseHeaders headers = ResponseHeaders.builder(run.status)
                    .set(RUN, Integer.toString(run.number))
                    .set(CallHeaders.OUTCOME, Outcome.RAN.token())
                    .build();
            return AggregatedHttpResponse.of(headers, HttpData.wrap(run.body()));
        }

        @Override
        public CompletableFuture<Void> probe(String path) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void close() {
            // There are no connections.
        }
    }

    /** Sends requests one after another or in a row, and leaves now and then. */
    private final class Caller {

        private final EntryNode entry;
        private final Random choices;

        Caller(EntryNode entry, long seed) {
            this.entry = entry;
            this.choices = new Random(seed);
        }

        void run() {
            while (!ending) {
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), entry.port)) {
                    socket.setTcpNoDelay(true);
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    while (!ending && exchange(socket, in)) {
                        Thread.onSpinWait();
                    }
                } catch (IOException | RuntimeException e) {
                    if (!ending) {
                        violate("the connection of a caller failed: " + e);
                    }
                }
            }
        }

        // Returns whether the connection is kept.
        private boolean exchange(Socket socket, InputStream in) throws IOException {
            int requests = 1 + choices.nextInt(MAX_PIPELINED);
            List<Integer> ids = new ArrayList<>();
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                int id = lastId.incrementAndGet();
                ids.add(id);
                text.append("GET " + ID_PREFIX + id + " HTTP/1.1\r\nhost: s.example\r\n\r\n");
            }
            count(Condition.PIPELINED, requests - 1);
            socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
            int awaited = choices.nextInt(15) == 0 ? choices.nextInt(requests) : requests;
            for (int i = 0; i < awaited; i++) {
                judge(ids.get(i), in);
            }
            if (awaited < requests) {
                count(Condition.CALLER_LEFT, 1);
            }
            return awaited == requests;
        }

        private void judge(int id, InputStream in) throws IOException {
            int status = Integer.parseInt(line(in).split(" ")[1]);
            Map<String, String> headers = new HashMap<>();
            String line = line(in);
            while (!line.isEmpty()) {
                String[] field = line.split(": ", 2);
                headers.put(field[0].toLowerCase(Locale.ROOT), field[1]);
                line = line(in);
            }
            byte[] body = in.readNBytes(Integer.parseInt(headers.get("content-length")));
            answered.incrementAndGet();
            Outcome outcome =
                    Outcome.of(headers.get(CallHeaders.OUTCOME.toString())).orElseThrow();
            if (outcome == Outcome.RAN) {
                judgeAnswer(id, status, headers, body);
            } else if (outcome == Outcome.NOT_RUN) {
                count(Condition.REPORTED_AS_NOT_RUN, 1);
                reportedNotRun.put(id, status + " " + headers);
            } else {
                count(Condition.UNKNOWN_OUTCOME, 1);
            }
        }

        private void judgeAnswer(int id, int status, Map<String, String> headers, byte[] body) {
            Run run = runs.get(Integer.parseInt(headers.get(RUN)));
            if (run.id != id) {
                violate("call " + id + " got the answer to call " + run.id);
            } else if (run.status != status) {
                violate("call " + id + " got " + status + " where its server answered " + run.status);
            } else if (!Arrays.equals(run.body(), body)) {
                violate("call " + id + " got " + body.length + " bytes of another body");
            }
            count(status == 200 ? Condition.SUCCESS : Condition.FAILURE_OF_SERVER, 1);
            if (status == 200 && runsById.get(run.id).get() > 1) {
                count(Condition.SUCCESS_AFTER_EARLIER_RUN, 1);
            }
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            int next = in.read();
            while (next != '\n') {
                if (next < 0) {
                    throw new IOException("the connection ended");
                }
                if (next != '\r') {
                    line.write(next);
                }
                next = in.read();
            }
            return line.toString(StandardCharsets.US_ASCII);
        }
    }
}
