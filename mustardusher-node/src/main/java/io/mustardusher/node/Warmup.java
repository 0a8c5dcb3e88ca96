package io.mustardusher.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import io.mustardusher.admission.Admission;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.catalogue.Catalogue;
import io.mustardusher.entry.Entry;
import io.mustardusher.entry.RetryPolicyFactory;
import io.mustardusher.entry.Router;
import io.mustardusher.entry.ServerDirectory;
import io.mustardusher.frame.Credential;
import io.mustardusher.gate.CrashDetector;
import io.mustardusher.gate.Gate;
import io.mustardusher.generated.Announcement;
import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.DistanceSettings;
import io.mustardusher.generated.EntryDocument;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.RevisedEntry;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.server.ServerLink;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;

/**
 * Sends calls through a separate entry, gate and backend server within this process before the node accepts calls, so
 * that the first callers do not wait for classes to be loaded and compiled. The warm-up has no effect outside the
 * process.
 */
final class Warmup {

    /** Service that the calls address. */
    private static final String SERVICE = "warm-up";

    /** Address of all listeners. */
    private static final String LOOPBACK = "127.0.0.1";

    /** Number of concurrent calls. */
    private static final int CONCURRENT_CALLS = 8;

    private final EventLoopGroup group;

    private final ClientFactory connections;

    private final ScheduledExecutorService timers;

    private final Clock clock;

    /**
     * Creates a warm-up.
     *
     * @param group       event loops
     * @param connections creates connections
     * @param timers      schedules timeouts
     * @param clock       source of time
     */
    Warmup(EventLoopGroup group, ClientFactory connections, ScheduledExecutorService timers, Clock clock) {
        this.group = group;
        this.connections = connections;
        this.timers = timers;
        this.clock = clock;
    }

    /**
     * Sends calls for a period of time; does nothing if it is 0.
     *
     * @param millis duration, in milliseconds
     */
    void run(long millis) {
        if (millis == 0) {
            return;
        }
        MetricRegistry metrics = new MetricRegistry();
        SuspectTable suspects = new SuspectTable(clock);
        CrashDetector crashes =
                new CrashDetector(0, () -> new InetSocketAddress(LOOPBACK, 0), timers, seen -> {}, () -> {});
        Gate gate = new Gate(
                clock,
                suspects,
                ServerLink.ForStreams.factory(connections),
                timers,
                crashes,
                new Admission(clock),
                new EventLoopDelay(clock),
                call -> "-",
                metrics);
        Server backend = startServer((context, request) -> HttpResponse.of("warm"));
        Server gates = startServer((context, request) -> gate.handle(request, context.whenRequestCancelling()));
        gate.applyAnnouncement(announcement(backend.activeLocalPort()));
        gate.configureLimits(1, 0);
        MemberTable members = new MemberTable(member("warm-entry", 0, null), clock, new Random());
        members.merge(List.of(member("warm-gate", gates.activeLocalPort(), SERVICE)));
        ServerDirectory directory = new ServerDirectory(
                members, gate, new DistanceSettings(), () -> connections, new Credential(SERVICE), clock);
        directory.refresh();
        Router router = new Router(
                directory, suspects, seen -> {}, RetryPolicyFactory.ForRatio.INSTANCE, timers, clock, metrics);
        Catalogue catalogue = catalogue();
        Entry entry = new Entry(
                router,
                null,
                new CallerProtocol.ForCatalogue(() -> catalogue),
                called -> {},
                new EventLoopDelay(clock),
                clock,
                metrics);
        Server callers = startServer(entry);
        sendUntil(callers.activeLocalPort(), clock.nanoTime() + millis * Clock.NANOS_PER_MILLI);
        CompletableFuture.allOf(callers.stop(), gates.stop(), backend.stop()).join();
    }

    /**
     * Sends concurrent calls until a point in time.
     *
     * @param port     port of the entry
     * @param endNanos end of the warm-up, in nanoseconds
     */
    private void sendUntil(int port, long endNanos) {
        WebClient client = WebClient.builder("h2c://" + LOOPBACK + ":" + port)
                .factory(connections)
                .responseTimeoutMillis(TimeUnit.SECONDS.toMillis(5))
                .build();
        CompletableFuture<?>[] streams = new CompletableFuture<?>[CONCURRENT_CALLS];
        for (int i = 0; i < CONCURRENT_CALLS; i++) {
            streams[i] = new CompletableFuture<Void>();
            sendNext(client, endNanos, streams[i]);
        }
        CompletableFuture.allOf(streams).join();
    }

    /**
     * Sends a call, and the next one when it has been answered.
     *
     * @param client     client of the entry
     * @param endNanos   time after which no call is sent, in nanoseconds
     * @param completion completed after the last call
     */
    private void sendNext(WebClient client, long endNanos, CompletableFuture<?> completion) {
        if (clock.nanoTime() - endNanos >= 0) {
            completion.complete(null);
            return;
        }
        RequestHeaders headers = RequestHeaders.builder()
                .method(com.linecorp.armeria.common.HttpMethod.GET)
                .path("/")
                .set(CallHeaders.SERVICE, SERVICE)
                .build();
        client.execute(headers).aggregate().whenComplete((answer, failure) -> sendNext(client, endNanos, completion));
    }

    /**
     * Starts a listener on a free port.
     *
     * @param service the service to serve
     * @return the listener
     */
    private Server startServer(HttpService service) {
        Server server = Listeners.serverBuilder(LOOPBACK, 0, group)
                .serviceUnder("/", service)
                .build();
        server.start().join();
        return server;
    }

    /**
     * Returns the announcement of the backend server.
     *
     * @param port port of the server
     * @return the announcement
     */
    private static Announcement announcement(int port) {
        return new Announcement()
                .withService(SERVICE)
                .withHost(LOOPBACK)
                .withPort(port)
                .withSlots(CONCURRENT_CALLS)
                .withConnections(CONCURRENT_CALLS)
                .withState(Announcement.State.SERVING);
    }

    /**
     * Returns a catalogue that contains only the service of the calls.
     *
     * @return the catalogue
     */
    private static Catalogue catalogue() {
        EntryDocument entry = new EntryDocument()
                .withService(SERVICE)
                .withOwner(SERVICE)
                .withServiceClass(EntryDocument.ServiceClass.STANDARD);
        RevisedEntry revised =
                new RevisedEntry().withService(SERVICE).withRevision(1).withEntry(entry);
        return Catalogue.EMPTY.merge(
                new CatalogueDelta().withSince(0).withRevision(1).withEntries(List.of(revised)));
    }

    /**
     * Returns a member record.
     *
     * @param id       id of the node
     * @param gatePort port of its gate
     * @param service  service of its backend server, or {@code null} if it has none
     * @return the record
     */
    private static MemberRecord member(String id, int gatePort, String service) {
        return new MemberRecord()
                .withId(id)
                .withIncarnation(1)
                .withState(MemberState.ALIVE.toRecordState())
                .withHost(LOOPBACK)
                .withGatePort(gatePort)
                .withRegion(SERVICE)
                .withDomain(SERVICE)
                .withService(service)
                .withSlots(CONCURRENT_CALLS)
                .withServing(service != null);
    }
}
