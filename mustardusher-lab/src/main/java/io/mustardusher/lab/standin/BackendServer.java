package io.mustardusher.lab.standin;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.generated.Announcement;
import io.mustardusher.result.Outcome;
import io.mustardusher.schema.Schema;
import io.netty.channel.EventLoopGroup;

/**
 * Stand-in for a backend server: slots with a queue behind them, service times, an announcement that it repeats, and
 * the faults that the scenarios ask for.
 */
public final class BackendServer implements AutoCloseable {

    /** Header with the id of a request. */
    public static final String REQUEST_ID = "x-request-id";

    /** Header with the length of the answer that is wanted, in bytes. */
    public static final String ANSWER_BYTES = "x-answer-bytes";

    /** Header that makes the server crash. */
    public static final String CRASH = "x-crash";

    /** Time between two announcements, in milliseconds. */
    private static final long ANNOUNCE_MILLIS = 400;

    /** Connections accepted. */
    private static final int CONNECTIONS = 260;

    /** Name of the server. */
    private final String name;

    private final String service;

    private final Slots slots;

    /** Port on the loopback address. */
    private final int port;

    /** Records executions. */
    private final ExecutionLog executions;

    private final EventLoopGroup group;

    private final ScheduledExecutorService timers;

    /** Admin listener of the node beside it. */
    private final WebClient node;

    /** Shared secret of the node. */
    private final String credential;

    /** Source of random times. */
    private final Random random;

    /** Present behaviour. */
    private volatile Behaviour behaviour;

    /** Announced state. */
    private volatile Announcement.State state = Announcement.State.SERVING;

    /** The listener; {@code null} while the server is down. */
    private volatile Server server;

    /** Start of the present run, in nanoseconds. */
    private volatile long startedNanos;

    /** Repeated announcement. */
    private ScheduledFuture<?> announcing;

    /**
     * Creates a server that is not started.
     *
     * @param name       its name
     * @param service    its service
     * @param slots      its slots
     * @param port       port on the loopback address
     * @param nodeUrl    admin listener of the node beside it
     * @param credential shared secret of the node
     * @param behaviour  its behaviour
     * @param seed       seed of its service times
     * @param shared     what all stand-ins of a process share
     */
    public BackendServer(
            String name,
            String service,
            int slots,
            int port,
            String nodeUrl,
            String credential,
            Behaviour behaviour,
            long seed,
            Shared shared) {
        this.name = name;
        this.service = service;
        this.slots = new Slots(slots);
        this.port = port;
        this.credential = credential;
        this.behaviour = behaviour;
        this.random = new Random(seed);
        this.executions = shared.executions;
        this.group = shared.group;
        this.timers = shared.timers;
        this.node = WebClient.builder(nodeUrl)
                .responseTimeoutMillis(ANNOUNCE_MILLIS)
                .build();
    }

    /**
     * Returns the name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /** Starts to listen and to announce. */
    public synchronized void start() {
        if (server != null) {
            return;
        }
        startedNanos = System.nanoTime();
        server = Server.builder()
                .http(new InetSocketAddress("127.0.0.1", port))
                .workerGroup(group, false)
                .maxRequestLength(0)
                .requestTimeoutMillis(0)
                .maxNumConnections(CONNECTIONS)
                .gracefulShutdownTimeout(Duration.ZERO, Duration.ZERO)
                .serviceUnder("/", this::serve)
                .build();
        server.start().join();
        announcing = timers.scheduleWithFixedDelay(this::announce, 0, ANNOUNCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends without a word: connections are cut and nothing more is announced. */
    public synchronized void crash() {
        Server running = server;
        if (running == null) {
            return;
        }
        server = null;
        announcing.cancel(false);
        slots.clear();
        running.stop();
    }

    /** Announces that it takes no new work. */
    public void drain() {
        state = Announcement.State.DRAINING;
        announce();
    }

    /** Announces that it takes work again. */
    public void resume() {
        state = Announcement.State.SERVING;
        announce();
    }

    /**
     * Changes the behaviour.
     *
     * @param next the behaviour
     */
    public void behave(Behaviour next) {
        behaviour = next;
    }

    /**
     * Returns the behaviour.
     *
     * @return the behaviour
     */
    public Behaviour behaviour() {
        return behaviour;
    }

    /**
     * Returns the calls at the server.
     *
     * @return running and waiting calls
     */
    public int busy() {
        return slots.inside();
    }

    @Override
    public void close() {
        crash();
    }

    /**
     * Serves a request.
     *
     * @param context context of the request
     * @param request the request
     * @return the answer
     */
    private HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        Behaviour present = behaviour;
        if (request.headers().contains(CRASH)) {
            executions.begin(request.headers().get(REQUEST_ID, "none"), name);
            timers.execute(this::crash);
            return HttpResponse.streaming();
        }
        if (present.failFast()) {
            executions.begin(request.headers().get(REQUEST_ID, "none"), name);
            return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE, MediaType.PLAIN_TEXT, "failing");
        }
        if (present.shedAbove() > 0 && slots.inside() >= present.shedAbove()) {
            return HttpResponse.of(ResponseHeaders.builder(HttpStatus.SERVICE_UNAVAILABLE)
                    .set(CallHeaders.OUTCOME, Outcome.NOT_RUN.token())
                    .build());
        }
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        request.aggregate().thenAccept(aggregated -> slots.enter(() -> run(context, aggregated.headers(), answer)));
        return HttpResponse.of(answer);
    }

    /**
     * Runs a request that has a slot.
     *
     * @param context context of the request
     * @param headers its headers
     * @param answer  its answer
     */
    private void run(ServiceRequestContext context, RequestHeaders headers, CompletableFuture<HttpResponse> answer) {
        if (context.isCancelled()) {
            slots.leave();
            return;
        }
        String id = headers.get(REQUEST_ID, "none");
        executions.begin(id, name);
        long uptime = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        long micros;
        synchronized (random) {
            micros = behaviour.serviceMicros(random, uptime);
        }
        context.eventLoop()
                .schedule(
                        () -> {
                            byte[] body = Payload.of(id, headers.getInt(ANSWER_BYTES, 0));
                            ResponseHeaders ok = ResponseHeaders.builder(HttpStatus.OK)
                                    .contentType(MediaType.OCTET_STREAM)
                                    .set("x-server", name)
                                    .build();
                            answer.complete(HttpResponse.of(ok, HttpData.wrap(body)));
                            slots.leave();
                        },
                        micros,
                        TimeUnit.MICROSECONDS);
    }

    /** Announces itself to the node. */
    private void announce() {
        if (server == null) {
            return;
        }
        Announcement announcement = new Announcement()
                .withService(service)
                .withHost("127.0.0.1")
                .withPort(port)
                .withSlots(slots.size())
                .withConnections(CONNECTIONS)
                .withState(state);
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.POST, "/v1/announce")
                .contentType(MediaType.JSON)
                .set("authorization", "Bearer " + credential)
                .build();
        node.execute(headers, HttpData.ofUtf8(Schema.write(announcement)))
                .aggregate()
                .exceptionally(failure -> null);
    }

    /**
     * What all stand-ins of a process share.
     *
     * @param executions records executions
     * @param group      event loops
     * @param timers     runs timers
     */
    public record Shared(ExecutionLog executions, EventLoopGroup group, ScheduledExecutorService timers) {}
}
