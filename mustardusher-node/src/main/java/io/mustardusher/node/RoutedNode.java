package io.mustardusher.node;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import io.mustardusher.admin.KnownServers;
import io.mustardusher.admin.MetricsResource;
import io.mustardusher.admin.RoutedNodeResource;
import io.mustardusher.admission.Admission;
import io.mustardusher.admission.ColdPolicy;
import io.mustardusher.allowance.AllowanceBounds;
import io.mustardusher.budget.SharedAllowance;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.call.Lazy;
import io.mustardusher.call.NestedCallProtocol;
import io.mustardusher.call.Problem;
import io.mustardusher.entry.AccountAllowances;
import io.mustardusher.entry.Entry;
import io.mustardusher.entry.RetryPolicyFactory;
import io.mustardusher.entry.Router;
import io.mustardusher.entry.ServerDirectory;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.gate.ColdState;
import io.mustardusher.gate.FramedGate;
import io.mustardusher.gate.GateReports;
import io.mustardusher.generated.AllowanceRequest;
import io.mustardusher.generated.Announcement;
import io.mustardusher.generated.CataloguePull;
import io.mustardusher.generated.FreshnessRecord;
import io.mustardusher.generated.NodeSettings;
import io.mustardusher.gossip.RouteFreshness;
import io.mustardusher.gossip.RouteReplica;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.http.HttpListener;
import io.mustardusher.http.RequestExchange;
import io.mustardusher.http.RequestHandler;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberState;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.route.RouteTable;
import io.mustardusher.server.BufferedServerLink;
import io.mustardusher.server.IrregularResponses;
import io.mustardusher.store.TableService;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.EventExecutor;

/**
 * A node that is configured by the routes of the platform it runs on. It keeps no idempotency keys and has no
 * catalogue.
 */
public final class RoutedNode {

    /** Maximum number of queued calls at the gate per slot of the backend server. */
    private static final int QUEUE_PER_SLOT = 2;

    /**
     * Fraction of a server's slots that is always used. Beyond four fifths of their slots, some servers take much
     * longer for each call.
     */
    private static final double SAFE_SLOT_FRACTION = 0.8;

    /** Interval at which the gate checks calls that wait for a slow server, in milliseconds. */
    private static final long GATE_POLL_MILLIS = 20;

    /** Part of the health requests allowed by the operator that a gate sends; a starting node sends a few more. */
    private static final double PROBE_SHARE = 0.5;

    /** Maximum number of probes of a backend server per second; more of them do not make choices better. */
    private static final double MAX_PROBES_PER_SECOND = 30;

    private final NodeSettings settings;
    private final NodeEnvironment environment;
    private final RetryBounds bounds;
    private final NodeCore core;
    private final Clock clock;
    private final RouteReplica routes;
    private final Entry entry;
    private final CallerProtocol protocol;
    private final HttpListener listener;
    private final Map<InetSocketAddress, RequestHandler> addresses = new LinkedHashMap<>();
    private final ServerTracker serverTracker;

    /** Present where revoked keys have to be refused within a bound. */
    private final Optional<RouteFreshness> freshness;

    private final AccountAllowances allowances;
    private FramedGate framedGate;
    private volatile boolean stopping;

    /**
     * Creates a node without starting it, with the default bounds on the requests of client accounts.
     *
     * @param settings    the settings
     * @param bounds      bounds of retries
     * @param environment adapter to the platform
     */
    public RoutedNode(NodeSettings settings, RetryBounds bounds, NodeEnvironment environment) {
        this(settings, bounds, AllowanceBounds.DEFAULT, environment);
    }

    /**
     * Creates a node without starting it.
     *
     * @param settings        the settings
     * @param bounds          bounds of retries
     * @param allowanceBounds bound on the requests of a client account
     * @param environment     adapter to the platform
     */
    public RoutedNode(
            NodeSettings settings, RetryBounds bounds, AllowanceBounds allowanceBounds, NodeEnvironment environment) {
        this.settings = settings;
        this.environment = environment;
        this.bounds = bounds;
        core = new NodeCore(
                settings,
                created -> BufferedServerLink.factory(
                        created.group(),
                        environment.serverDialect(),
                        new GateReports(created::gate, created.metrics()),
                        created.memory(),
                        created.clock()),
                time -> Admission.withLatencyTargets(time, SAFE_SLOT_FRACTION),
                SuspectTable.Policy.REJECT_AFTER_THREE_CRASHES,
                environment::callName,
                environment.heldHeapShare());
        clock = core.clock();
        core.gate()
                .enableProbes(
                        service -> routes().current().healthPath(service),
                        Math.min(MAX_PROBES_PER_SECOND, PROBE_SHARE * environment.probesPerSecond()));
        core.gate().configureColdStart(ColdPolicy.UNKNOWN);
        serverTracker = new ServerTracker(clock, this::handleAnnouncement, (instance, startMillis) -> core.departures()
                .record(instance, startMillis));
        core.gate().onServerLeaving(serverTracker::recordLeaving);
        routes = new RouteReplica(environment::decodeRoutes, core.frames(), core.timers(), this::routesChanged);
        TableService table = environment.openTable(core.group(), core.metrics());
        core.configureGossip(routes, table);
        serveCalls();
        Router router = new Router(
                core.directory(),
                core.suspects(),
                core.suspectListener(),
                new RetryPolicyFactory.ForWindow(
                        clock, bounds.windowNanos(), new SharedAllowance(clock, bounds.allowance(), () -> core.members()
                                .members()
                                .size())),
                core.timers(),
                clock,
                core.metrics());
        freshness = environment.revocationBoundNanos().stream()
                .mapToObj(this::createFreshness)
                .findFirst();
        CallerProtocol callers = environment.callerProtocol(
                routes::current,
                version -> freshness.isEmpty() || freshness.get().acceptsKeys(version));
        protocol = new NestedCallProtocol(callers, core.gate().runningCalls(), core.metrics());
        entry = new Entry(router, null, protocol, call -> {}, core.eventLoopDelay(), clock, core.metrics());
        allowances = createAllowances(allowanceBounds);
        entry.limitAccounts(allowances);
        entry.collectLongBodies(core.memory().longBodies());
        listener = new HttpListener(
                core.group(), core.memory().shortBodies(), core.memory().responses(), clock, core.metrics());
        registerGauges();
    }

    /**
     * Adds an address to listen at, which is opened when the node starts.
     *
     * @param address address to bind
     * @param handler handles requests
     */
    public void listen(InetSocketAddress address, RequestHandler handler) {
        addresses.put(address, handler);
    }

    /** Starts the node: opens the listeners, joins the cluster and watches the operator's configuration. */
    public void start() {
        core.restoreDepartures(serverTracker);
        core.listen();
        Lazy<RoutedNodeResource> admin = new Lazy<>(this::createAdminResource);
        listen(address(settings.getPorts().getAdmin()), (request, exchange) -> admin.get()
                .handle(request));
        listen(address(settings.getPorts().getGate()), this::handleStreamedCall);
        listener.bind(address(settings.getPorts().getCaller()), entry, protocol::limits);
        addresses.forEach((address, handler) -> listener.bind(address, handler, () -> RequestLimits.NONE));
        environment.watchEvacuation(core::offerEvacuation);
        routes.onPulledVersion(environment::renewWatch);
        environment.watchRoutes(document -> routes.offer(document, "store"));
        freshness.ifPresent(proof -> core.repeat(proof::tick, RouteFreshness.TICK_MILLIS, RouteFreshness.TICK_MILLIS));
        core.measureEventLoopDelay();
        NodeEnvironment.LocalServer localServer = environment.localServer();
        InitialServerProbe probe = new InitialServerProbe(
                localServer,
                environment.serverDialect(),
                service -> routes.current().healthPath(service),
                BufferedServerLink.toService(
                        core.group(), localServer.address(), IrregularResponses.ofBackendServer(core.metrics()), clock),
                serverTracker);
        core.repeatWhile(probe::tick, InitialServerProbe.INTERVAL_MILLIS);
        core.gate()
                .pollDeferredCalls(
                        new CoalescingTask(core.group().next(), GATE_POLL_MILLIS, core.gate()::poll)::request);
        core.start();
        NodeLog.LOG.started(settings.getId(), settings.getFailureDomain());
    }

    /**
     * Stops gracefully: signals callers to use other nodes while it still serves them, rejects calls that have not
     * reached a backend server, waits for calls in flight until the grace time ends, and leaves the cluster.
     *
     * @return number of calls cut off because the grace time ended
     */
    public int stop() {
        stopping = true;
        NodeLog.LOG.stopping(settings.getId(), inFlight());
        entry.drainConnections();
        long endNanos = clock.nanoTime() + settings.getStopGraceMillis() * Clock.NANOS_PER_MILLI;
        sleep(bounds.drainMillis());
        entry.stop(endNanos);
        core.leave(endNanos);
        core.awaitIdle(this::inFlight, (endNanos - clock.nanoTime()) / Clock.NANOS_PER_MILLI);
        int cutOff = inFlight();
        close();
        NodeLog.LOG.stopped(settings.getId(), cutOff);
        return cutOff;
    }

    /** Closes all listeners and connections without waiting for calls in flight. */
    public void close() {
        core.announceEnd().join();
        listener.close();
        core.close();
    }

    /**
     * Returns whether the node accepts calls.
     *
     * @return {@code true} if it has routes and is not stopping
     */
    public boolean isReady() {
        return !stopping && routes.revision() > 0;
    }

    /**
     * Returns the tracker of the backend server beside the node, which receives the server's announcements.
     *
     * @return the tracker
     */
    public ServerTracker serverTracker() {
        return serverTracker;
    }

    private void handleAnnouncement(Announcement announcement) {
        if (MemberState.of(core.members().self()) == MemberState.ALIVE) {
            core.handleAnnouncement(announcement, () -> core.gate().configureLimits(QUEUE_PER_SLOT, 0));
        }
    }

    /**
     * Returns the number of calls in flight.
     *
     * @return calls at the entry and at the gate
     */
    public int inFlight() {
        return entry.inFlight() + core.gate().inFlight();
    }

    // Calls whose body is too large for a frame arrive as requests, and so do those for responses that are too large.
    private HttpResponse handleStreamedCall(HttpRequest request, RequestExchange exchange) {
        if (!core.credential().matches(request.headers().get(HttpHeaderNames.AUTHORIZATION))) {
            return Problem.response(ResultCode.UNAUTHORIZED, "send the shared credential as a bearer token");
        }
        long stream = request.headers().getLong(CallHeaders.STREAM, 0);
        return stream == 0 ? core.gate().handle(request, exchange.cancelled()) : framedGate.openStream(stream);
    }

    private InetSocketAddress address(long port) {
        return new InetSocketAddress(settings.getHost(), (int) port);
    }

    private RouteReplica routes() {
        return routes;
    }

    private void routesChanged(RouteTable table) {
        core.directory().endSlowStartWhenMeasured(service -> table.coldStart(service.value())
                .isPresent());
        core.directory().refresh();
        allowances.configure(table.version(), table.accounts().accounts());
        core.gate()
                .configureColdStart(environment
                        .coldBounds()
                        .policyFor(table.coldStart(environment.localServer().service())));
        // Without waiting for the next tick: until the first proof, a node that has just started refuses all keys.
        freshness.ifPresent(proof -> core.timers().execute(proof::tick));
    }

    private void serveCalls() {
        HeaderPacking packing = new HeaderPacking(environment.frequentHeaders());
        EventExecutor loop = core.group().next();
        FramedGate gate = new FramedGate(
                core.gate(),
                packing,
                core.members().self().getBoot(),
                loop,
                core.memory().shortBodies(),
                core.memory().responses(),
                clock);
        framedGate = gate;
        core.frameServer().on(FrameKind.CALL, (CallMessage call) -> gate.call(call));
        core.frameServer().on(FrameKind.RESUME, (CallMessage request) -> gate.resume(request));
        core.frameServer().on(FrameKind.PART, (CallMessage request) -> gate.part(request));
        core.frameServer().on(FrameKind.CANCEL, (CallMessage call) -> gate.cancel(call));
        core.frameServer().on(FrameKind.ROUTES, (CataloguePull request) -> routes.answer(request));
        AtomicLong callNumbers = new AtomicLong(ServerDirectory.FrameTransport.firstCallNumber(
                settings.getId(), core.members().self().getBoot(), core.random()));
        core.directory().limitTransfers(core.memory().transferBytes());
        core.directory()
                .useFrames(new ServerDirectory.FrameTransport(
                        core.frames(), packing, callNumbers, loop, core.memory().longBodies()));
    }

    private void registerGauges() {
        core.metrics().gauge("routes.version", () -> routes::revision);
        core.metrics().gauge("routes.unreadable", () -> () -> routes.current().unreadable());
        core.metrics()
                .gauge(
                        "accounts.known",
                        () -> () -> routes.current().accounts().accounts().size());
        core.metrics().gauge("accounts.revokedKeys", () -> routes::revokedKeys);
        core.metrics()
                .gauge(
                        "accounts.unreadable",
                        () -> () -> routes.current().accounts().unreadable());
    }

    // Called by the first request of an operator.
    private RoutedNodeResource createAdminResource() {
        KnownServers servers = new KnownServers(
                core.members(),
                core.directory(),
                core::evacuationOrders,
                service -> routes.current().coldStart(service),
                () -> ColdState.of(core.gate(), core.metrics()),
                clock);
        RoutedNodeResource.Sources sources = new RoutedNodeResource.Sources(
                routes::current,
                () -> freshness.map(proof -> new RoutedNodeResource.FreshnessView(
                        proof.ageMillis(), proof.boundMillis(), proof.acceptsKeys(routes.revision()))),
                allowances::describe,
                core::evacuationOrders,
                servers);
        return new RoutedNodeResource(new MetricsResource(core.metrics()), core.credential(), sources);
    }

    private AccountAllowances createAllowances(AllowanceBounds bound) {
        AccountAllowances created = new AccountAllowances(
                core.members(),
                core::registeredNodes,
                bound,
                core.frames(),
                core.group().next(),
                clock,
                core.random(),
                core.metrics(),
                environment.processStartNanos(clock));
        core.frameServer().on(FrameKind.ALLOWANCE, (AllowanceRequest request) -> created.answer(request));
        return created;
    }

    private RouteFreshness createFreshness(long boundNanos) {
        RouteFreshness created = new RouteFreshness(
                core.members(),
                core.frames(),
                routes,
                environment::readNewestVersion,
                boundNanos,
                clock,
                core.random());
        core.frameServer().on(FrameKind.FRESHNESS, (FreshnessRecord request) -> created.answer(request));
        core.metrics().gauge("routes.freshnessMillis", () -> created::ageMillis);
        return created;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Bounds that apply to all nodes of a deployment.
     *
     * @param windowNanos length of the window of the retry budget, in nanoseconds
     * @param allowance   extra attempts of one service that the window allows without any requests
     * @param drainMillis time during which a stopping node still accepts calls, so that callers notice, in milliseconds
     */
    public record RetryBounds(long windowNanos, double allowance, long drainMillis) {}
}
