package io.mustardusher.node;

import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.client.WebClient;
import io.mustardusher.admin.CatalogueResource;
import io.mustardusher.admin.NodeResource;
import io.mustardusher.admission.Admission;
import io.mustardusher.call.CallerProtocol;
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
import io.mustardusher.health.SuspectTable;
import io.mustardusher.keys.GroupCache;
import io.mustardusher.keys.KeeperStore;
import io.mustardusher.keys.KeyedCalls;
import io.mustardusher.keys.LocalKeeper;
import io.mustardusher.log.LogOutput;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberState;
import io.mustardusher.server.ServerLink;
import io.mustardusher.spread.CatalogueSpread;
import io.mustardusher.store.CatalogueStore;
import io.mustardusher.store.HttpTableService;
import io.mustardusher.store.TableService;
import io.mustardusher.time.Clock;

/** A running node with the product's own interface: the catalogue, keys, and services named by callers. */
public final class Node {

    /** Time between two rounds of keepers, in milliseconds. */
    private static final long KEEPER_MILLIS = 700;

    /** Time between two rounds of probes, in milliseconds. */
    private static final long PROBE_MILLIS = 25;

    private final NodeSettings settings;
    private final Mesh mesh;
    private final Clock clock;
    private final Entry entry;
    private final Prober prober;
    private final CatalogueSpread catalogue;
    private final LocalKeeper keepers;
    private final Listeners listeners;
    private volatile boolean warm;
    private volatile boolean stopping;

    /**
     * Creates a node that is not started.
     *
     * @param settings the settings
     */
    public Node(NodeSettings settings) {
        this.settings = settings;
        mesh = new Mesh(
                settings,
                made -> ServerLink.ForStreams.factory(made.connections().get()),
                Admission::new,
                SuspectTable.Policy.ISOLATE,
                call -> "-");
        clock = mesh.clock();
        TableService table = table(settings);
        CatalogueStore store = new CatalogueStore(table, clock);
        catalogue = new CatalogueSpread(store, mesh.frames(), mesh.members(), clock, mesh.random(), this::applyLimits);
        mesh.join(catalogue, table);
        MemberRecord self = mesh.members().self();
        Keeper keeper = new Keeper(self.getId(), self.getBoot(), self.getRegion() + "/" + self.getDomain());
        KeeperStore keeperStore = new KeeperStore(table);
        keepers = new LocalKeeper(keeper, keeperStore, mesh.frames(), mesh.members(), clock, mesh.random());
        Router router = new Router(
                mesh.directory(),
                mesh.suspects(),
                mesh.sightings(),
                RetryPolicyFactory.ForRatio.INSTANCE,
                mesh.timers(),
                clock,
                mesh.metrics());
        GroupCache groups = new GroupCache(mesh.members(), keepers, mesh.frames(), keeperStore, clock);
        HomeRouter homes = new HomeRouter(keeper, groups, router, new KeyedCalls(keepers), mesh.timers(), clock);
        prober = new Prober(
                mesh.directory(),
                mesh.gate(),
                catalogue::current,
                server -> mesh.frameAddress(server.node().value()),
                mesh.frames(),
                clock,
                mesh.metrics());
        CallerProtocol protocol = new CallerProtocol.ForCatalogue(catalogue::current);
        entry = new Entry(router, homes, protocol, prober::recordCall, mesh.stall(), clock, mesh.metrics());
        answerFrames();
        listeners = Listeners.of(
                settings.getHost(),
                ports(settings.getPorts()),
                mesh.group(),
                entry,
                mesh.gate(),
                new CatalogueResource(store, catalogue, mesh.members()),
                new NodeResource(
                        mesh.members(),
                        catalogue,
                        mesh.directory(),
                        mesh.metrics(),
                        this::isReady,
                        this::announced,
                        clock),
                mesh.credential());
        addGauges();
    }

    /** Starts the node: listens, meets other nodes, and takes the catalogue. */
    public void start() {
        mesh.listen();
        listeners.start();
        LogOutput.withoutDecisionLog(
                () -> new Warmup(mesh.group(), mesh.connections().get(), mesh.timers(), clock)
                        .run(settings.getWarmUpMillis()));
        warm = true;
        long gossip = settings.getGossipIntervalMillis();
        mesh.repeat(catalogue::tick, gossip, gossip);
        mesh.repeat(prober::tick, PROBE_MILLIS, PROBE_MILLIS);
        mesh.repeat(keepers::tick, KEEPER_MILLIS, KEEPER_MILLIS);
        mesh.start().thenCompose(done -> catalogue.load());
        NodeLog.LOG.started(settings.getId(), settings.getFailureDomain());
    }

    /**
     * Stops gracefully: refuses new work, lets calls in flight end, leaves the membership, and closes.
     *
     * @return calls that were cut off because the grace time ended
     */
    public int stop() {
        stopping = true;
        NodeLog.LOG.stopping(settings.getId(), inside());
        entry.stop();
        CompletableFuture<Void> left = keepers.leave();
        mesh.leave();
        left.join();
        mesh.awaitIdle(this::inside, settings.getStopGraceMillis());
        int cutOff = inside();
        listeners.stop();
        mesh.close();
        NodeLog.LOG.stopped(settings.getId(), cutOff);
        return cutOff;
    }

    /**
     * Tells whether the node takes calls.
     *
     * @return {@code true} if it does
     */
    public boolean isReady() {
        return warm && !stopping && catalogue.current() != null;
    }

    /**
     * Tells whether the backend server beside the node takes new work.
     *
     * @return {@code true} if it does
     */
    public boolean isServing() {
        return mesh.members().self().isServing();
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
     * Takes an announcement of the backend server beside the node.
     *
     * @param announced the announcement
     */
    public void announced(Announcement announced) {
        if (stopping || !warm) {
            return;
        }
        mesh.announced(announced, () -> applyLimits(catalogue.current()));
    }

    private void answerFrames() {
        mesh.frameServer()
                .on(FrameKind.PULL, (CataloguePull question) -> catalogue.answer(question))
                .on(FrameKind.PUSH, (CatalogueDelta delta) -> catalogue.answer(delta))
                .on(FrameKind.WITNESS, (WitnessRequest request) -> keepers.handle(request))
                .on(FrameKind.CONFIRM, (ConfirmRequest request) -> keepers.handle(request))
                .on(FrameKind.GROUP, (ProbeQuestion question) -> keepers.handle(question))
                .on(FrameKind.PROBE, (ProbeQuestion question) -> prober.answer(question));
    }

    private void addGauges() {
        mesh.metrics().gauge("catalogue.revision", () -> catalogue::revision);
        mesh.metrics().gauge("keys.remembered", () -> keepers::claimCount);
    }

    /**
     * Returns the calls inside.
     *
     * @return calls at the entry and at the gate
     */
    public int inside() {
        return entry.inFlight() + mesh.gate().callsInProgress();
    }

    /**
     * Applies the catalogue's limits to the gate.
     *
     * @param present the catalogue, or {@code null}
     */
    private void applyLimits(Catalogue present) {
        mesh.gate().announcement().ifPresent(announced -> {
            ServiceName service = ServiceName.of(announced.getService());
            CatalogueEntry found = present == null ? null : present.find(service);
            if (found != null) {
                mesh.gate().configureLimits(found.queuePerSlot(), share(found, announced));
                keepers.serve(announced.getService(), found.keyRetentionMillis());
            }
        });
    }

    /**
     * Returns the share of the service's limit that falls to this gate: by slots among the servers known.
     *
     * @param found     entry of the service
     * @param announced announcement of the backend server
     * @return calls, at least 1; 0 for no limit
     */
    private int share(CatalogueEntry found, Announcement announced) {
        if (found.concurrency() == 0) {
            return 0;
        }
        long slots = mesh.members().members().stream()
                .filter(member -> announced.getService().equals(member.getService()))
                .filter(member -> MemberState.of(member).isActive() && member.isServing())
                .mapToLong(MemberRecord::getSlots)
                .sum();
        return (int) Math.max(1, found.concurrency() * announced.getSlots() / Math.max(announced.getSlots(), slots));
    }

    /**
     * Creates the adapter of the table service.
     *
     * @param settings the settings
     * @return the adapter
     */
    private TableService table(NodeSettings settings) {
        WebClient client = WebClient.builder(settings.getPlatform().getUrl())
                .factory(mesh.connections().get())
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
