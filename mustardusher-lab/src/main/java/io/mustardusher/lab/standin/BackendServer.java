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
 * Simulates a backend server: it queues calls for a fixed number of slots, draws random service times, announces itself
 * periodically to its node, and injects the faults that a scenario sets.
 */
public final class BackendServer implements AutoCloseable {

    /** Request header that carries the id of the request. */
    public static final String REQUEST_ID = "x-request-id";

    /** Request header that carries the requested length of the response body, in bytes. */
    public static final String ANSWER_BYTES = "x-answer-bytes";

    /** Request header that makes the server crash, whatever its value. */
    public static final String CRASH = "x-crash";

    /** Delay between two announcements and response timeout of each. */
    private static final long ANNOUNCE_INTERVAL_MILLIS = 400;

    /** Limit that is enforced on accepted connections and announced to the node. */
    private static final int MAX_CONNECTIONS = 260;

    private final String name;

    private final String service;

    private final Slots slots;

    private final int port;

    private final ExecutionLog executions;

    private final EventLoopGroup eventLoops;

    private final ScheduledExecutorService timers;

    /** Client for the admin listener of this server's node. */
    private final WebClient node;

    /** Shared secret that authorizes announcements to the node. */
    private final String credential;

    /** Source of the service times. Guarded by itself, because requests run on several event loops. */
    private final Random random;

    private volatile Behaviour behaviour;

    /** State that announcements carry. */
    private volatile Announcement.State state = Announcement.State.SERVING;

    /** HTTP server, or {@code null} while this backend server is down. */
    private volatile Server server;

    /** {@link System#nanoTime()} of the latest start; a cold start is measured from it. */
    private volatile long startNanos;

    private ScheduledFuture<?> announceTask;

    /**
     * Creates a server without starting it.
     *
     * @param name       name of the server
     * @param service    name of the service that it belongs to
     * @param slots      number of calls that it runs at the same time
     * @param port       port to listen on, on the loopback address
     * @param nodeUrl    base URL of the admin listener of its node
     * @param credential shared secret of the node
     * @param behaviour  initial service times and faults
     * @param seed       seed of the random service times
     * @param shared     resources shared by all backend servers of the process
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
            SharedResources shared) {
        this.name = name;
        this.service = service;
        this.slots = new Slots(slots);
        this.port = port;
        this.credential = credential;
        this.behaviour = behaviour;
        this.random = new Random(seed);
        this.executions = shared.executions;
        this.eventLoops = shared.eventLoops;
        this.timers = shared.timers;
        this.node = WebClient.builder(nodeUrl)
                .responseTimeoutMillis(ANNOUNCE_INTERVAL_MILLIS)
                .build();
    }

    /**
     * Returns the name of the server, which its responses also carry.
     *
     * @return the name of the server
     */
    public String name() {
        return name;
    }

    /** Starts listening and announcing; does nothing if the server already runs. */
    public synchronized void start() {
        if (server != null) {
            return;
        }
        startNanos = System.nanoTime();
        server = Server.builder()
                .http(new InetSocketAddress("127.0.0.1", port))
                .workerGroup(eventLoops, false)
                .maxRequestLength(0)
                .requestTimeoutMillis(0)
                .maxNumConnections(MAX_CONNECTIONS)
                .gracefulShutdownTimeout(Duration.ZERO, Duration.ZERO)
                .serviceUnder("/", this::serve)
                .build();
        server.start().join();
        announceTask =
                timers.scheduleWithFixedDelay(this::announce, 0, ANNOUNCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Closes all connections and stops announcing, without announcing that the server leaves. */
    public synchronized void crash() {
        Server running = server;
        if (running == null) {
            return;
        }
        server = null;
        announceTask.cancel(false);
        slots.clear();
        running.stop();
    }

    /** Announces that the server is draining and accepts no new calls. */
    public void drain() {
        state = Announcement.State.DRAINING;
        announce();
    }

    /** Announces that the server accepts calls again. */
    public void resume() {
        state = Announcement.State.SERVING;
        announce();
    }

    /**
     * Sets the service times and faults of calls that start from now on.
     *
     * @param next the new behaviour
     */
    public void setBehaviour(Behaviour next) {
        behaviour = next;
    }

    /**
     * Returns the current service times and faults.
     *
     * @return the current behaviour
     */
    public Behaviour behaviour() {
        return behaviour;
    }

    /**
     * Returns the number of calls at the server.
     *
     * @return number of running and queued calls
     */
    public int currentCalls() {
        return slots.currentCalls();
    }

    @Override
    public void close() {
        crash();
    }

    /**
     * Handles a request: crashes, fails fast or sheds it if a fault asks for that, or runs it once it has a slot.
     *
     * @param context context of the request
     * @param request request to handle
     * @return the response; it never completes if the request makes the server crash
     */
    private HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        Behaviour current = behaviour;
        if (request.headers().contains(CRASH)) {
            executions.record(request.headers().get(REQUEST_ID, "none"), name);
            timers.execute(this::crash);
            return HttpResponse.streaming();
        }
        if (current.failFast()) {
            executions.record(request.headers().get(REQUEST_ID, "none"), name);
            return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE, MediaType.PLAIN_TEXT, "failing");
        }
        if (current.shedThreshold() > 0 && slots.currentCalls() >= current.shedThreshold()) {
            return HttpResponse.of(ResponseHeaders.builder(HttpStatus.SERVICE_UNAVAILABLE)
                    .set(CallHeaders.OUTCOME, Outcome.NOT_RUN.token())
                    .build());
        }
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        request.aggregate().thenAccept(aggregated -> slots.submit(() -> run(context, aggregated.headers(), response)));
        return HttpResponse.of(response);
    }

    /**
     * Runs a request that holds a slot, and releases the slot when the service time has elapsed. A request that was
     * cancelled in the queue releases it at once and isn't recorded as an execution.
     *
     * @param context  context of the request
     * @param headers  headers of the request
     * @param response completed when the service time has elapsed
     */
    private void run(ServiceRequestContext context, RequestHeaders headers, CompletableFuture<HttpResponse> response) {
        if (context.isCancelled()) {
            slots.release();
            return;
        }
        String id = headers.get(REQUEST_ID, "none");
        executions.record(id, name);
        long uptimeMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        long micros;
        synchronized (random) {
            micros = behaviour.serviceMicros(random, uptimeMillis);
        }
        context.eventLoop()
                .schedule(
                        () -> {
                            byte[] body = Payload.of(id, headers.getInt(ANSWER_BYTES, 0));
                            ResponseHeaders ok = ResponseHeaders.builder(HttpStatus.OK)
                                    .contentType(MediaType.OCTET_STREAM)
                                    .set("x-server", name)
                                    .build();
                            response.complete(HttpResponse.of(ok, HttpData.wrap(body)));
                            slots.release();
                        },
                        micros,
                        TimeUnit.MICROSECONDS);
    }

    /** Announces the server to its node. Failures are ignored because the announcement is repeated. */
    private void announce() {
        if (server == null) {
            return;
        }
        Announcement announcement = new Announcement()
                .withService(service)
                .withHost("127.0.0.1")
                .withPort(port)
                .withSlots(slots.size())
                .withConnections(MAX_CONNECTIONS)
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
     * Resources shared by all backend servers of a process.
     *
     * @param executions log of all executions
     * @param eventLoops event loops that serve the requests
     * @param timers     executor of announcements and crashes
     */
    public record SharedResources(
            ExecutionLog executions, EventLoopGroup eventLoops, ScheduledExecutorService timers) {}
}
