package io.mustardusher.node;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;

import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import io.mustardusher.admin.MetricsResource;
import io.mustardusher.admission.Admission;
import io.mustardusher.budget.SharedAllowance;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.entry.Entry;
import io.mustardusher.entry.RetryPolicyFactory;
import io.mustardusher.entry.Router;
import io.mustardusher.entry.ServerDirectory;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.gate.FramedGate;
import io.mustardusher.generated.Announcement;
import io.mustardusher.generated.CataloguePull;
import io.mustardusher.generated.NodeSettings;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberState;
import io.mustardusher.route.RouteTable;
import io.mustardusher.server.BufferedServerLink;
import io.mustardusher.spread.RouteSpread;
import io.mustardusher.store.TableService;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.EventExecutor;

/** A running node that is driven by routes on a platform of its users. It keeps no keys and changes no catalogue. */
public final class RoutedNode {

    /** Calls that may wait at a gate for each slot of its server. */
    private static final int QUEUE_PER_SLOT = 2;

    /** Share of a server's slots that is used: beyond four fifths of them servers take much longer for each call. */
    private static final double USABLE_SHARE = 0.8;

    /** Time between two looks after calls that wait for a slow server, in milliseconds. */
    private static final long POLL_MILLIS = 20;

    /** Most probes of a server in a second: half of what its operator allows. */
    private static final double PROBES_PER_SECOND = 30;

    /** Largest header block that is read at all, in bytes; the operator's limit lies below and is told with 431. */
    private static final int MAX_HEADER_BYTES = 64 << 10;

    /** Time for which an idle connection is kept, in milliseconds: longer than callers trust one to be open. */
    private static final long IDLE_MILLIS = 300_000;

    private final NodeSettings settings;
    private final Surroundings surroundings;
    private final RetryBounds bounds;
    private final Mesh mesh;
    private final Clock clock;
    private final RouteSpread routes;
    private final Entry entry;
    private final ServerBuilder listeners;
    private final ServerWatch server;
    private Server httpServer;
    private volatile boolean stopping;

    /**
     * Creates a node that is not started.
     *
     * @param settings     the settings
     * @param bounds       bounds of retries
     * @param surroundings what the platform brings
     */
    public RoutedNode(NodeSettings settings, RetryBounds bounds, Surroundings surroundings) {
        this.settings = settings;
        this.surroundings = surroundings;
        this.bounds = bounds;
        mesh = new Mesh(
                settings,
                made -> BufferedServerLink.factory(
                        made.group(),
                        surroundings.servers(),
                        load -> made.gate().recordServerLoad(load),
                        made.clock()),
                time -> Admission.withLatencyTargets(time, USABLE_SHARE),
                SuspectTable.Policy.REJECT_AFTER_THREE_CRASHES,
                surroundings::callName);
        clock = mesh.clock();
        mesh.gate().enableProbes(service -> routes().current().healthPath(service), PROBES_PER_SECOND);
        server = new ServerWatch(clock, this::announced);
        routes = new RouteSpread(surroundings::decode, mesh.frames(), mesh.timers(), this::routesChanged);
        TableService table = surroundings.table(mesh.group());
        mesh.join(routes, table);
        HeaderPacking packing = new HeaderPacking(surroundings.frequentHeaders());
        EventExecutor loop = mesh.group().next();
        FramedGate gate =
                new FramedGate(mesh.gate(), packing, mesh.members().self().getBoot(), loop, clock);
        mesh.frameServer().on(FrameKind.CALL, (CallMessage call) -> gate.call(call));
        mesh.frameServer().on(FrameKind.RESUME, (CallMessage question) -> gate.resume(question));
        mesh.frameServer().on(FrameKind.CANCEL, (CallMessage call) -> gate.cancel(call));
        mesh.directory()
                .useFrames(new ServerDirectory.FrameTransport(
                        mesh.frames(), packing, new AtomicLong(mesh.random().nextLong()), loop));
        mesh.frameServer().on(FrameKind.ROUTES, (CataloguePull question) -> routes.answer(question));
        Router router = new Router(
                mesh.directory(),
                mesh.suspects(),
                mesh.sightings(),
                new RetryPolicyFactory.ForWindow(
                        clock, bounds.windowNanos(), new SharedAllowance(clock, bounds.allowance(), () -> mesh.members()
                                .members()
                                .size())),
                mesh.timers(),
                clock,
                mesh.metrics());
        entry = new Entry(
                router, null, surroundings.callers(routes::current), call -> {}, mesh.stall(), clock, mesh.metrics());
        listeners = Listeners.base(mesh.group())
                .childChannelPipelineCustomizer(entry.connections()::accept)
                .maxRequestLength(0)
                .http1MaxHeaderSize(MAX_HEADER_BYTES)
                .idleTimeoutMillis(IDLE_MILLIS)
                .disableServerHeader()
                .disableDateHeader();
        mesh.metrics().gauge("routes.version", () -> routes::revision);
    }

    /**
     * Adds a listener; it opens with the node.
     *
     * @param host    address to bind
     * @param port    port to bind
     * @param service handles requests
     */
    public void listen(String host, int port, HttpService service) {
        // One server for all listeners: each further one would take a twentieth of a node's start.
        listeners.http(new InetSocketAddress(host, port)).virtualHost(port).serviceUnder("/", service);
    }

    /** Starts the node: listens, meets other nodes, and follows the operator's configuration. */
    public void start() {
        String host = settings.getHost();
        mesh.listen();
        listen(host, (int) settings.getPorts().getCaller(), entry);
        listen(host, (int) settings.getPorts().getAdmin(), new MetricsResource(mesh.metrics()));
        listen(
                host,
                (int) settings.getPorts().getGate(),
                Listeners.guard(
                        (context, request) -> mesh.gate().handle(request, context.whenRequestCancelling()),
                        mesh.credential()));
        httpServer = listeners.build();
        httpServer.start().join();
        surroundings.watchRoutes(document -> routes.offer(document, "store"));
        mesh.measureStall();
        Surroundings.Neighbour neighbour = surroundings.neighbour();
        FirstLook look = new FirstLook(
                neighbour,
                surroundings.servers(),
                service -> routes.current().healthPath(service),
                BufferedServerLink.toService(mesh.group(), neighbour.address(), clock),
                server);
        mesh.repeat(look::tick, 0, FirstLook.EVERY_MILLIS);
        mesh.repeat(mesh.gate()::poll, POLL_MILLIS, POLL_MILLIS);
        mesh.start();
        NodeLog.LOG.started(settings.getId(), settings.getFailureDomain());
    }

    /**
     * Stops gracefully: lets callers go elsewhere while it still serves them, hands back what waits, lets calls in
     * flight end, and leaves the membership.
     *
     * @return calls that were cut off because the grace time ended
     */
    public int stop() {
        stopping = true;
        NodeLog.LOG.stopping(settings.getId(), inside());
        entry.drainConnections();
        long end = clock.nanoTime() + settings.getStopGraceMillis() * Clock.NANOS_PER_MILLI;
        pause(bounds.goodbyeMillis());
        mesh.leave();
        entry.stop();
        mesh.awaitIdle(this::inside, (end - clock.nanoTime()) / Clock.NANOS_PER_MILLI);
        int cutOff = inside();
        close();
        NodeLog.LOG.stopped(settings.getId(), cutOff);
        return cutOff;
    }

    /** Ends at once. */
    public void close() {
        httpServer.stop().join();
        mesh.close();
    }

    /**
     * Tells whether the node takes calls.
     *
     * @return {@code true} if it does
     */
    public boolean isReady() {
        return !stopping && routes.revision() > 0;
    }

    /**
     * Returns the watch over the backend server beside the node, to be told of its announcements.
     *
     * @return the watch
     */
    public ServerWatch server() {
        return server;
    }

    private void announced(Announcement announced) {
        if (MemberState.of(mesh.members().self()) == MemberState.ALIVE) {
            mesh.announced(announced, () -> mesh.gate().configureLimits(QUEUE_PER_SLOT, 0));
        }
    }

    /**
     * Returns the calls inside.
     *
     * @return calls at the entry and at the gate
     */
    public int inside() {
        return entry.inFlight() + mesh.gate().callsInProgress();
    }

    private RouteSpread routes() {
        return routes;
    }

    private void routesChanged(RouteTable table) {
        mesh.directory().refresh();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Bounds that hold for all nodes together.
     *
     * @param windowNanos   length of the window of the retry budget, in nanoseconds
     * @param allowance     further sends of one service that the window allows without any requests
     * @param goodbyeMillis time for which a stopping node still serves, so that callers notice, in milliseconds
     */
    public record RetryBounds(long windowNanos, double allowance, long goodbyeMillis) {}
}
