package io.mustardusher.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntSupplier;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryBuilder;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.common.util.EventLoopGroups;
import com.linecorp.armeria.common.util.TransportType;
import io.mustardusher.admission.Admission;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.call.Lazy;
import io.mustardusher.entry.ServerDirectory;
import io.mustardusher.frame.Credential;
import io.mustardusher.frame.DeadPeerDetection;
import io.mustardusher.frame.FrameClient;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.FrameServer;
import io.mustardusher.frame.FrameTraffic;
import io.mustardusher.gate.CrashDetector;
import io.mustardusher.gate.Gate;
import io.mustardusher.generated.Announcement;
import io.mustardusher.generated.Gossip;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.NodeSettings;
import io.mustardusher.generated.SuspectRecord;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.server.ServerLink;
import io.mustardusher.spread.Gossiper;
import io.mustardusher.spread.Meeting;
import io.mustardusher.spread.RevisionSpread;
import io.mustardusher.spread.SuspectSpread;
import io.mustardusher.store.TableService;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollEventLoopGroup;

/**
 * What every node has whatever its interface: threads, connections, the other nodes, and the gate beside its server.
 */
final class Mesh {

    /** Event loops of a node; with a single one, no step of a call waits for another thread. */
    private static final int EVENT_LOOPS = 1;

    /** Time allowed to connect to another node or to the backend server, in milliseconds. */
    private static final long CONNECT_MILLIS = 500;

    /** Time for which an idle connection is kept, in milliseconds. */
    private static final long IDLE_MILLIS = 60_000;

    /** Time between two looks whether the member table has changed, in milliseconds. */
    private static final long REFRESH_MILLIS = 50;

    /** Time between two tries to meet other nodes, in milliseconds. */
    private static final long MEET_MILLIS = 2_000;

    /** Rounds, on average, between two meetings of a node that knows no others, and so of all nodes together. */
    private static final int MEET_ROUNDS = 15;

    /** Members told at once of a change of this node's record. */
    private static final int TOLD = 8;

    /** Rounds in which a leaving node tells others. */
    private static final int LEAVE_ROUNDS = 3;

    /** Time between two looks at the calls left, in milliseconds. */
    private static final long STOP_POLL_MILLIS = 20;

    private final NodeSettings settings;
    private final Clock clock = Clock.ForSystem.INSTANCE;
    private final Random random = new Random();
    private final MetricRegistry metrics = new MetricRegistry();
    private final EventLoopGroup group = EventLoopGroups.newEventLoopGroup(EVENT_LOOPS, "mushd", true);
    private final ScheduledExecutorService timers =
            Executors.newScheduledThreadPool(1, task -> daemon(task, "mushd-timers"));
    /** Takes longer to make than the rest of a node, for encryption and name lookups that many nodes never use. */
    private final Lazy<ClientFactory> connections = new Lazy<>(() -> connections(group));

    private final EventLoopDelay stall = new EventLoopDelay(clock);
    private final FrameTraffic traffic = new FrameTraffic();
    private final Credential credential;
    private final MemberTable members;
    private final FrameClient frames;
    private final FrameServer frameServer;
    private final SuspectTable suspects;
    private final SuspectSpread suspectSpread;
    private final Gate gate;
    private final ServerDirectory directory;
    private Gossiper gossiper;
    private Meeting meeting;

    /**
     * Creates what a node needs; nothing is started.
     *
     * @param settings  the settings
     * @param servers   makes the way to the backend server
     * @param admission makes what admits calls to it
     * @param suspicion what becomes of calls that were in flight in crashes
     * @param callNames finds the name of a call in its headers
     */
    Mesh(
            NodeSettings settings,
            Function<Mesh, ServerLink.Factory> servers,
            Function<Clock, Admission> admission,
            SuspectTable.Policy suspicion,
            Function<RequestHeaders, String> callNames) {
        this.settings = settings;
        credential = new Credential(settings.getCredential());
        MemberRecord self = selfRecord(settings, clock.epochMillis());
        members = new MemberTable(self, clock, random);
        frames = new FrameClient(group, TransportType.socketChannelType(group), credential, traffic);
        frameServer =
                new FrameServer(credential, traffic, cause -> NodeLog.LOG.frameConnectionClosed(cause.toString()));
        suspects = new SuspectTable(clock, suspicion);
        suspectSpread = new SuspectSpread(suspects, frames, members);
        CrashDetector crashes = new CrashDetector(
                crashOrigin(self), this::serverAddress, timers, suspectSpread::add, this::serverCrashed);
        gate = new Gate(
                clock,
                suspects,
                servers.apply(this),
                timers,
                crashes,
                admission.apply(clock),
                stall,
                callNames,
                metrics);
        directory =
                new ServerDirectory(members, gate, settings.getRegionDistancesMicros(), connections, credential, clock);
        frameServer
                .on(FrameKind.GOSSIP, (Gossip question) -> gossiper.answer(question))
                .on(FrameKind.SUSPECT, (SuspectRecord message) -> suspectSpread.answer(message));
        metrics.gauge("frames.sentBytes", () -> traffic::sentBytes);
        metrics.gauge("frames.receivedBytes", () -> traffic::receivedBytes);
        metrics.gauge("members.known", () -> () -> members.members().size());
    }

    /**
     * Sets how other nodes are found.
     *
     * @param configuration what gossip compares revisions of
     * @param table         holds the addresses of nodes
     */
    void join(RevisionSpread configuration, TableService table) {
        gossiper = new Gossiper(members, frames, configuration, suspectSpread, clock);
        meeting = new Meeting(table, seeds(settings), members, gossiper, random);
    }

    /** Listens for frames. */
    void listen() {
        frameServer.start(
                settings.getHost(),
                (int) settings.getPorts().getFrame(),
                group,
                TransportType.serverChannelType(group));
    }

    /**
     * Makes this node known and begins to gossip.
     *
     * @return completes when nodes that are there have been met
     */
    CompletableFuture<Void> start() {
        long gossip = settings.getGossipIntervalMillis();
        repeat(this::meetSometimes, MEET_MILLIS / 2, MEET_MILLIS);
        repeat(gossiper::tick, gossip, gossip);
        repeat(directory::refresh, REFRESH_MILLIS, REFRESH_MILLIS);
        return meeting.register().thenCompose(done -> meeting.meet());
    }

    /**
     * Takes an announcement of the backend server beside the node, and tells other nodes what it changes.
     *
     * @param announced   the announcement
     * @param applyLimits applies the limits in force to the gate
     */
    void announced(Announcement announced, Runnable applyLimits) {
        Announcement before = gate.announcement().orElse(null);
        boolean serving = announced.getState() == Announcement.State.SERVING;
        boolean wasServing = members.self().isServing();
        gate.applyAnnouncement(announced);
        applyLimits.run();
        boolean same = before != null
                && wasServing == serving
                && before.getSlots() == announced.getSlots()
                && before.getService().equals(announced.getService());
        if (same) {
            return;
        }
        String address = announced.getHost() + ":" + announced.getPort();
        NodeLog.LOG.serverAnnounced(
                announced.getService(), address, announced.getState().value(), announced.getSlots());
        members.updateSelf(self -> {
            self.setService(announced.getService());
            self.setSlots(announced.getSlots());
            self.setServing(serving);
            if (serving && !wasServing) {
                self.setSince(clock.epochMillis());
            }
        });
        directory.refresh();
        gossiper.tell(TOLD);
    }

    /** Closes the gate and tells other nodes that this one takes no more work. */
    void leave() {
        gate.close();
        members.updateSelf(self -> {
            self.setState(MemberState.LEAVING.toRecordState());
            self.setServing(false);
        });
        for (int i = 0; i < LEAVE_ROUNDS; i++) {
            gossiper.tell(TOLD).join();
        }
    }

    /** Tells other nodes that this one has left, and ends all connections. */
    void close() {
        members.updateSelf(self -> self.setState(MemberState.LEFT.toRecordState()));
        gossiper.tell(TOLD).join();
        meeting.unregister(settings.getId(), members.self().getBoot()).join();
        timers.shutdownNow();
        frameServer.close();
        frames.close();
        connections.ifCreated(ClientFactory::close);
        group.shutdownGracefully();
    }

    /**
     * Repeats a task; a failure of one run is logged and does not end the others.
     *
     * @param task        the task
     * @param delayMillis time before the first run, in milliseconds
     * @param everyMillis time between two runs, in milliseconds
     */
    void repeat(Runnable task, long delayMillis, long everyMillis) {
        Runnable safe = () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                NodeLog.LOG.warn("a repeated task failed", e);
            }
        };
        timers.scheduleWithFixedDelay(safe, delayMillis, everyMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Waits until no call is inside, or the grace time ends.
     *
     * @param inside      counts the calls inside
     * @param graceMillis longest wait, in milliseconds
     */
    void awaitIdle(IntSupplier inside, long graceMillis) {
        long end = clock.nanoTime() + graceMillis * Clock.NANOS_PER_MILLI;
        while (inside.getAsInt() > 0 && clock.nanoTime() - end < 0) {
            try {
                TimeUnit.MILLISECONDS.sleep(STOP_POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /**
     * Returns the address of a node for frames.
     *
     * @param id name of the node
     * @return its address, or empty if it is not known as present
     */
    Optional<InetSocketAddress> frameAddress(String id) {
        return members.find(id).flatMap(member -> members.frameAddress(id, member.getBoot()));
    }

    Clock clock() {
        return clock;
    }

    Random random() {
        return random;
    }

    MetricRegistry metrics() {
        return metrics;
    }

    EventLoopGroup group() {
        return group;
    }

    ScheduledExecutorService timers() {
        return timers;
    }

    Lazy<ClientFactory> connections() {
        return connections;
    }

    Credential credential() {
        return credential;
    }

    MemberTable members() {
        return members;
    }

    FrameClient frames() {
        return frames;
    }

    FrameServer frameServer() {
        return frameServer;
    }

    SuspectTable suspects() {
        return suspects;
    }

    Consumer<SuspectTable.SuspectReport> sightings() {
        return suspectSpread::add;
    }

    EventLoopDelay stall() {
        return stall;
    }

    /** Begins to measure how far the node is behind, on the event loop that handles calls. */
    void measureStall() {
        group.next()
                .scheduleWithFixedDelay(
                        stall::sample,
                        EventLoopDelay.SAMPLE_INTERVAL_MILLIS,
                        EventLoopDelay.SAMPLE_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    Gate gate() {
        return gate;
    }

    ServerDirectory directory() {
        return directory;
    }

    /**
     * Meets other nodes if none is known, and otherwise now and then, seldom enough that all nodes together cost the
     * table service one scan in a while whatever their number.
     */
    private void meetSometimes() {
        int known = members.members().size();
        boolean alone = members.randomMembers(1, "").isEmpty();
        boolean turn = random.nextInt(MEET_ROUNDS + known) == 0;
        boolean leaving = MemberState.of(members.self()) != MemberState.ALIVE;
        if (leaving) {
            return;
        }
        meeting.register();
        if (alone || turn) {
            meeting.meet();
        }
    }

    private void serverCrashed() {
        gate.close();
        members.updateSelf(self -> self.setServing(false));
        gossiper.tell(TOLD);
    }

    private InetSocketAddress serverAddress() {
        Announcement announced = gate.announcement().orElseThrow();
        return new InetSocketAddress(announced.getHost(), (int) announced.getPort());
    }

    private static ClientFactory connections(EventLoopGroup group) {
        ClientFactoryBuilder builder = ClientFactory.builder()
                .workerGroup(group, false)
                .connectTimeoutMillis(CONNECT_MILLIS)
                .idleTimeoutMillis(IDLE_MILLIS)
                .meterRegistry(NoopMeterRegistry.get());
        if (group instanceof EpollEventLoopGroup) {
            builder.channelOption(EpollChannelOption.TCP_USER_TIMEOUT, DeadPeerDetection.USER_TIMEOUT_MILLIS);
        }
        return builder.build();
    }

    private static MemberRecord selfRecord(NodeSettings settings, long boot) {
        return new MemberRecord()
                .withId(settings.getId())
                .withBoot(boot)
                .withIncarnation(1)
                .withState(MemberState.ALIVE.toRecordState())
                .withHost(settings.getHost())
                .withGatePort(settings.getPorts().getGate())
                .withFramePort(settings.getPorts().getFrame())
                .withRegion(settings.getRegion())
                .withDomain(settings.getFailureDomain());
    }

    private static long crashOrigin(MemberRecord self) {
        return (self.getId().hashCode() * 31L + self.getBoot()) << 16 & Long.MAX_VALUE;
    }

    private static List<InetSocketAddress> seeds(NodeSettings settings) {
        return settings.getSeeds().stream()
                .map(seed -> {
                    int colon = seed.lastIndexOf(':');
                    return new InetSocketAddress(seed.substring(0, colon), Integer.parseInt(seed.substring(colon + 1)));
                })
                .toList();
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
