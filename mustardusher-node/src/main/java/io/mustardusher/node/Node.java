package io.mustardusher.node;

import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.client.WebClient;
import io.mustardusher.admin.CatalogueResource;
import io.mustardusher.admin.NodeResource;
import io.mustardusher.admission.Admission;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.call.NodeMemory;
import io.mustardusher.catalogue.Catalogue;
import io.mustardusher.catalogue.CatalogueEntry;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.claim.Keeper;
import io.mustardusher.entry.Entry;
import io.mustardusher.entry.HomeRouter;
import io.mustardusher.entry.Prober;
import io.mustardusher.entry.RetryPolicyFactory;
import io.mustardusher.entry.Router;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.generated.Announcement;
import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.CataloguePull;
import io.mustardusher.generated.ConfirmRequest;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.NodeSettings;
import io.mustardusher.generated.PortSettings;
import io.mustardusher.generated.ProbeQuestion;
import io.mustardusher.generated.WitnessRequest;
import io.mustardusher.gossip.CatalogueReplica;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.keys.GroupCache;
import io.mustardusher.keys.KeeperStore;
import io.mustardusher.keys.KeyedCalls;
import io.mustardusher.keys.LocalKeeper;
import io.mustardusher.log.LogOutput;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberState;
import io.mustardusher.server.ServerLink;
import io.mustardusher.store.CatalogueStore;
import io.mustardusher.store.HttpTableService;
import io.mustardusher.store.TableService;
import io.mustardusher.time.Clock;

/**
 * A node with the native interface of mustardusher: a catalogue of services, services addressed by name, and
 * idempotency keys.
 */
public final class Node {

    /** Interval between two rounds of the keepers, in milliseconds. */
    private static final long KEEPER_INTERVAL_MILLIS = 700;

    /** Interval between two rounds of load probes, in milliseconds. */
    private static final long PROBE_INTERVAL_MILLIS = 25;

    private final NodeSettings settings;
    private final NodeCore core;
    private final Clock clock;
    private final Entry entry;
    private final Prober prober;
    private final CatalogueReplica catalogue;
    private final LocalKeeper keepers;
    private final Listeners listeners;
    private volatile boolean warm;
    private volatile boolean stopping;

    /**
     * Creates a node without starting it.
     *
     * @param settings the settings
     */
    public Node(NodeSettings settings) {
        this.settings = settings;
        core = new NodeCore(
                settings,
                created -> ServerLink.ForStreams.factory(created.clientFactory().get()),
                Admission::new,
                SuspectTable.Policy.ISOLATE,
                call -> "-",
                NodeMemory.DEFAULT_HEAP_SHARE);
        clock = core.clock();
        TableService table = createTableService(settings);
        CatalogueStore store = new CatalogueStore(table, clock);
        catalogue = new CatalogueReplica(store, core.frames(), core.members(), clock, core.random(), this::applyLimits);
        core.configureGossip(catalogue, table);
        MemberRecord self = core.members().self();
        Keeper keeper = new Keeper(self.getId(), self.getBoot(), self.getRegion() + "/" + self.getDomain());
        KeeperStore keeperStore = new KeeperStore(table);
        keepers = new LocalKeeper(keeper, keeperStore, core.frames(), core.members(), clock, core.random());
        Router router = new Router(
                core.directory(),
                core.suspects(),
                core.suspectListener(),
                RetryPolicyFactory.ForRatio.INSTANCE,
                core.timers(),
                clock,
                core.metrics());
        GroupCache groups = new GroupCache(core.members(), keepers, core.frames(), keeperStore, clock);
        HomeRouter homes = new HomeRouter(keeper, groups, router, new KeyedCalls(keepers), core.timers(), clock);
        prober = new Prober(
                core.directory(),
                core.gate(),
                catalogue::current,
                server -> core.frameAddress(server.node().value()),
                core.frames(),
                clock,
                core.metrics());
        CallerProtocol protocol = new CallerProtocol.ForCatalogue(catalogue::current);
        entry = new Entry(router, homes, protocol, prober::recordCall, core.eventLoopDelay(), clock, core.metrics());
        registerFrameHandlers();
        listeners = Listeners.of(
                settings.getHost(),
                ports(settings.getPorts()),
                core.group(),
                entry,
                core.gate(),
                new CatalogueResource(store, catalogue, core.members()),
                new NodeResource(
                        core.members(),
                        catalogue,
                        core.directory(),
                        core.metrics(),
                        this::isReady,
                        this::handleAnnouncement,
                        clock),
                core.credential());
        addGauges();
    }

    /** Starts the node: opens the listeners, warms up, joins the cluster and loads the catalogue. */
    public void start() {
        core.listen();
        listeners.start();
        LogOutput.withoutDecisionLog(
                () -> new Warmup(core.group(), core.clientFactory().get(), core.timers(), clock)
                        .run(settings.getWarmUpMillis()));
        warm = true;
        long gossip = settings.getGossipIntervalMillis();
        core.repeat(catalogue::tick, gossip, gossip);
        core.repeat(prober::tick, PROBE_INTERVAL_MILLIS, PROBE_INTERVAL_MILLIS);
        core.repeat(keepers::tick, KEEPER_INTERVAL_MILLIS, KEEPER_INTERVAL_MILLIS);
        core.start().thenCompose(discovered -> catalogue.load());
        NodeLog.LOG.started(settings.getId(), settings.getFailureDomain());
    }

    /**
     * Stops gracefully: rejects new calls, leaves the cluster, waits for calls in flight until the grace time ends, and
     * closes.
     *
     * @return number of calls cut off because the grace time ended
     */
    public int stop() {
        stopping = true;
        NodeLog.LOG.stopping(settings.getId(), inFlight());
        long endNanos = core.clock().nanoTime() + settings.getStopGraceMillis() * Clock.NANOS_PER_MILLI;
        entry.stop(endNanos);
        CompletableFuture<Void> keepersLeft = keepers.leave();
        core.leave(endNanos);
        keepersLeft.join();
        core.awaitIdle(this::inFlight, settings.getStopGraceMillis());
        int cutOff = inFlight();
        listeners.stop();
        core.announceEnd().join();
        core.close();
        NodeLog.LOG.stopped(settings.getId(), cutOff);
        return cutOff;
    }

    /**
     * Returns whether the node accepts calls.
     *
     * @return {@code true} if it has warmed up, has a catalogue and is not stopping
     */
    public boolean isReady() {
        return warm && !stopping && catalogue.current() != null;
    }

    /**
     * Returns whether the backend server beside the node accepts new calls.
     *
     * @return {@code true} if it does
     */
    public boolean isServing() {
        return core.members().self().isServing();
    }

    /**
     * Returns the catalogue revision in force.
     *
     * @return the revision; 0 before the first
     */
    public long revision() {
        return catalogue.revision();
    }

    /**
     * Applies an announcement of the backend server beside the node. Announcements are ignored before the warm-up is
     * complete and while the node stops.
     *
     * @param announcement the announcement
     */
    public void handleAnnouncement(Announcement announcement) {
        if (stopping || !warm) {
            return;
        }
        core.handleAnnouncement(announcement, () -> applyLimits(catalogue.current()));
    }

    private void registerFrameHandlers() {
        core.frameServer()
                .on(FrameKind.PULL, (CataloguePull request) -> catalogue.answer(request))
                .on(FrameKind.PUSH, (CatalogueDelta delta) -> catalogue.answer(delta))
                .on(FrameKind.WITNESS, (WitnessRequest request) -> keepers.answer(request))
                .on(FrameKind.CONFIRM, (ConfirmRequest request) -> keepers.answer(request))
                .on(FrameKind.GROUP, (ProbeQuestion request) -> keepers.answer(request))
                .on(FrameKind.PROBE, (ProbeQuestion request) -> prober.answer(request));
    }

    private void addGauges() {
        core.metrics().gauge("catalogue.revision", () -> catalogue::revision);
        core.metrics().gauge("keys.remembered", () -> keepers::claimCount);
    }

    /**
     * Returns the number of calls in flight.
     *
     * @return calls at the entry and at the gate
     */
    public int inFlight() {
        return entry.inFlight() + core.gate().inFlight();
    }

    /**
     * Applies the catalogue's limits to the gate.
     *
     * @param current the catalogue in force, or {@code null}
     */
    private void applyLimits(Catalogue current) {
        core.gate().announcement().ifPresent(announcement -> {
            ServiceName service = ServiceName.of(announcement.getService());
            CatalogueEntry found = current == null ? null : current.find(service);
            if (found != null) {
                core.gate().configureLimits(found.queuePerSlot(), limitShare(found, announcement));
                keepers.serve(announcement.getService(), found.keyRetentionMillis());
            }
        });
    }

    /**
     * Returns this gate's share of the service's concurrency limit, in proportion to the slots of the known backend
     * servers.
     *
     * @param found        entry of the service
     * @param announcement announcement of the backend server
     * @return maximum number of concurrent calls, at least 1; 0 for no limit
     */
    private int limitShare(CatalogueEntry found, Announcement announcement) {
        if (found.concurrency() == 0) {
            return 0;
        }
        long slots = core.members().members().stream()
                .filter(member -> announcement.getService().equals(member.getService()))
                .filter(member -> MemberState.of(member).isActive() && member.isServing())
                .mapToLong(MemberRecord::getSlots)
                .sum();
        return (int)
                Math.max(1, found.concurrency() * announcement.getSlots() / Math.max(announcement.getSlots(), slots));
    }

    /**
     * Creates the client of the table service.
     *
     * @param settings the settings
     * @return the client
     */
    private TableService createTableService(NodeSettings settings) {
        WebClient client = WebClient.builder(settings.getPlatform().getUrl())
                .factory(core.clientFactory().get())
                .responseTimeoutMillis(settings.getPlatform().getTimeoutMillis())
                .build();
        return new HttpTableService(client);
    }

    /**
     * Returns the ports of the HTTP listeners.
     *
     * @param ports the settings
     * @return ports for callers, nodes and operators
     */
    private static int[] ports(PortSettings ports) {
        return new int[] {(int) ports.getCaller(), (int) ports.getGate(), (int) ports.getAdmin()};
    }
}
