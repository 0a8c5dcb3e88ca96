package io.mustardusher.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntSupplier;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryBuilder;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import io.mustardusher.admission.Admission;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.call.Lazy;
import io.mustardusher.call.NodeMemory;
import io.mustardusher.entry.ServerDirectory;
import io.mustardusher.evacuation.EvacuationOrders;
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
import io.mustardusher.gossip.DepartureLog;
import io.mustardusher.gossip.Gossiper;
import io.mustardusher.gossip.PeerDiscovery;
import io.mustardusher.gossip.ReplicatedConfiguration;
import io.mustardusher.gossip.SuspectReplicator;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.http.Transport;
import io.mustardusher.log.LogOutput;
import io.mustardusher.log.LoggedTask;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.server.IrregularResponses;
import io.mustardusher.server.ServerLink;
import io.mustardusher.server.StreamedResponses;
import io.mustardusher.store.TableService;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollEventLoopGroup;

/**
 * The components shared by all kinds of nodes: threads, connections, cluster membership, and the gate to the backend
 * server.
 */
final class NodeCore {

    /** Number of event loops; with a single one, no step of a call waits for another thread. */
    private static final int EVENT_LOOPS = 1;

    /** Connect timeout to another node or to the backend server, in milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 500;

    /** Time after which an idle connection is closed, in milliseconds. */
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;

    /** Time after a change of the member table until the server directory reflects it, in milliseconds. */
    private static final long DIRECTORY_REFRESH_MILLIS = 50;

    /** Number of members to which a change of this node's record is sent immediately. */
    private static final int CHANGE_FANOUT = 8;

    /** Number of rounds in which a leaving node sends its record to other nodes. */
    private static final int LEAVE_ROUNDS = 3;

    /** Maximum time that a node waits for the responses to its last messages, in milliseconds. */
    private static final long LEAVE_NOTICE_TIMEOUT_MILLIS = 400;

    /** Interval at which a stopping node checks for calls in flight, in milliseconds. */
    private static final long STOP_POLL_MILLIS = 20;

    private final NodeSettings settings;
    private final Clock clock = Clock.ForSystem.INSTANCE;
    private final Random random = new Random();
    private final MetricRegistry metrics = new MetricRegistry();
    private final EventLoopGroup group = Transport.newEventLoops(EVENT_LOOPS, "mushd");
    private final ScheduledExecutorService timers = createTimers();

    /**
     * Created on first use: the factory takes longer to create than the rest of a node because of encryption and name
     * resolution, which many nodes never use.
     */
    private final Lazy<ClientFactory> clientFactory = new Lazy<>(() -> createClientFactory(group, metrics));

    private final NodeMemory memory;

    private final EventLoopDelay eventLoopDelay = new EventLoopDelay(clock);
    private final FrameTraffic traffic = new FrameTraffic();
    private final Credential credential;
    private final MemberTable members;
    private final FrameClient frames;
    private final FrameServer frameServer;
    private final SuspectTable suspects;
    private final SuspectReplicator suspectReplicator;
    private final Gate gate;
    private final ServerDirectory directory;
    private Gossiper gossiper;
    private PeerDiscovery discovery;
    private DepartureLog departures;

    /**
     * Creates the components without starting them.
     *
     * @param settings  the settings
     * @param servers   creates the factory of connections to the backend server
     * @param admission creates the admission control of the gate
     * @param suspicion how calls that were in flight in crashes are treated
     * @param callNames returns the name of a call from its headers
     * @param heapShare part of the heap for what the node holds for callers and servers
     */
    NodeCore(
            NodeSettings settings,
            Function<NodeCore, ServerLink.Factory> servers,
            Function<Clock, Admission> admission,
            SuspectTable.Policy suspicion,
            Function<RequestHeaders, String> callNames,
            double heapShare) {
        this.settings = settings;
        memory = NodeMemory.ofHeap(heapShare);
        credential = new Credential(settings.getCredential());
        MemberRecord self = selfRecord(settings, clock.epochMillis());
        members = new MemberTable(self, clock, random);
        frames = new FrameClient(group, Transport.of(group).socketChannelType(), credential, traffic, clock);
        frameServer =
                new FrameServer(credential, traffic, cause -> NodeLog.LOG.frameConnectionClosed(cause.toString()));
        suspects = new SuspectTable(clock, suspicion);
        suspectReplicator = new SuspectReplicator(suspects, frames, members);
        CrashDetector crashes = new CrashDetector(
                crashOrigin(self), this::serverAddress, timers, suspectReplicator::add, this::handleServerCrash);
        gate = new Gate(
                clock,
                suspects,
                servers.apply(this),
                timers,
                crashes,
                admission.apply(clock),
                eventLoopDelay,
                callNames,
                metrics);
        directory = new ServerDirectory(
                members, gate, settings.getRegionDistancesMicros(), clientFactory, credential, clock);
        frameServer
                .on(FrameKind.GOSSIP, (Gossip request) -> gossiper.answer(request))
                .on(FrameKind.SUSPECT, (SuspectRecord message) -> suspectReplicator.answer(message));
        memory.register(metrics);
        metrics.gauge("log.dropped", () -> LogOutput::droppedEvents);
        metrics.gauge("frames.sentBytes", () -> traffic::sentBytes);
        metrics.gauge("frames.receivedBytes", () -> traffic::receivedBytes);
        metrics.gauge("frames.silentConnections", () -> traffic::silentConnections);
        metrics.gauge("frames.resumedCalls", () -> traffic::resumedCalls);
        metrics.gauge("frames.malformedAnswers", () -> traffic::malformedAnswers);
        metrics.gauge("entry.streamedResponses", () -> directory::streamedResponses);
        metrics.gauge("members.known", () -> () -> members.members().size());
    }

    /**
     * Sets the configuration to replicate and the table service for peer discovery. Called once before {@link
     * #start()}.
     *
     * @param configuration configuration whose revision is part of gossip messages
     * @param table         holds the addresses of nodes
     */
    void configureGossip(ReplicatedConfiguration configuration, TableService table) {
        gossiper = new Gossiper(members, frames, configuration, suspectReplicator, clock);
        discovery = new PeerDiscovery(table, seeds(settings), members, gossiper, clock, random);
        departures = new DepartureLog(table, members, gossiper, clock);
        new EvacuationControl(settings.getFailureDomain(), gate, directory, members, gossiper, timers, clock, metrics);
    }

    /**
     * Puts evacuation orders into force unless newer ones are.
     *
     * @param orders orders as read from the table service
     */
    void offerEvacuation(EvacuationOrders orders) {
        gossiper.evacuation().offer(orders);
    }

    /**
     * Returns the evacuation orders in force.
     *
     * @return the orders
     */
    EvacuationOrders evacuationOrders() {
        return gossiper.evacuation().current();
    }

    /**
     * Returns what stores departures of the backend server beside the node.
     *
     * @return the log
     */
    DepartureLog departures() {
        return departures;
    }

    /**
     * Restores the departures that were stored by an earlier process of this node. Called before {@link #listen()},
     * from which on other nodes may report them.
     *
     * @param server receives the departures, whenever they become known
     */
    void restoreDepartures(ServerTracker server) {
        gossiper.onDeparturesLearned(learned ->
                learned.forEach(departure -> server.restoreDeparture(departure.getInstance(), departure.getStart())));
        departures.restored().thenRun(server::completeDepartures);
        repeatWhile(departures::tick, DepartureLog.INTERVAL_MILLIS);
    }

    /** Starts the listener for frames. */
    void listen() {
        frameServer.start(
                settings.getHost(),
                (int) settings.getPorts().getFrame(),
                group,
                Transport.of(group).serverChannelType());
    }

    /**
     * Registers this node in the table service and starts gossip and peer discovery.
     *
     * @return completes when the discovered nodes have responded or failed
     */
    CompletableFuture<Void> start() {
        long gossip = settings.getGossipIntervalMillis();
        repeat(discovery::tick, PeerDiscovery.INTERVAL_MILLIS / 2, PeerDiscovery.INTERVAL_MILLIS);
        repeatWhile(discovery::retryContacts, PeerDiscovery.RETRY_INTERVAL_MILLIS);
        // On the event loop, which sends the messages: another thread would have to wake it up.
        group.next()
                .scheduleWithFixedDelay(
                        new LoggedTask("gossip", gossiper::tick), gossip, gossip, TimeUnit.MILLISECONDS);
        CoalescingTask refresh = new CoalescingTask(group.next(), DIRECTORY_REFRESH_MILLIS, directory::refresh);
        members.onChange(refresh::request);
        refresh.request();
        return discovery.register().thenCompose(registered -> discovery.discover());
    }

    /**
     * Applies an announcement of the backend server beside the node, and sends the updated record to other nodes if it
     * changes.
     *
     * @param announcement the announcement
     * @param applyLimits  applies the limits in force to the gate
     */
    void handleAnnouncement(Announcement announcement, Runnable applyLimits) {
        Announcement previous = gate.announcement().orElse(null);
        boolean serving = announcement.getState() == Announcement.State.SERVING;
        boolean wasServing = members.self().isServing();
        gate.applyAnnouncement(announcement);
        applyLimits.run();
        boolean unchanged = previous != null
                && wasServing == serving
                && previous.getSlots() == announcement.getSlots()
                && previous.getService().equals(announcement.getService());
        if (unchanged) {
            return;
        }
        String address = announcement.getHost() + ":" + announcement.getPort();
        NodeLog.LOG.serverAnnounced(
                announcement.getService(), address, announcement.getState().value(), announcement.getSlots());
        members.updateSelf(self -> {
            self.setService(announcement.getService());
            self.setSlots(announcement.getSlots());
            self.setServing(serving);
            if (serving && !wasServing) {
                self.setSince(clock.epochMillis());
            }
        });
        directory.refresh();
        gossiper.sendToRandomMembers(CHANGE_FANOUT);
    }

    /**
     * Stops the gate and notifies other nodes that this one accepts no more calls.
     *
     * @param endNanos time at which the node ends, in nanoseconds of its clock
     */
    void leave(long endNanos) {
        gate.stop(endNanos);
        members.updateSelf(self -> {
            self.setState(MemberState.LEAVING.toRecordState());
            self.setServing(false);
        });
        for (int i = 0; i < LEAVE_ROUNDS; i++) {
            gossiper.sendToRandomMembers(CHANGE_FANOUT).join();
        }
    }

    /**
     * Notifies other nodes and the table service that this node has left. Waits for a short time only: a node that does
     * not stop in time is killed, and other nodes detect its end in any case.
     *
     * @return completes when all have responded, at the latest after {@value #LEAVE_NOTICE_TIMEOUT_MILLIS} ms
     */
    CompletableFuture<Void> announceEnd() {
        members.updateSelf(self -> self.setState(MemberState.LEFT.toRecordState()));
        return CompletableFuture.allOf(
                        gossiper.sendToRandomMembers(CHANGE_FANOUT),
                        discovery.unregister(settings.getId(), members.self().getBoot()))
                .completeOnTimeout(null, LEAVE_NOTICE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Closes all connections. */
    void close() {
        timers.shutdownNow();
        frameServer.close();
        frames.close();
        clientFactory.ifCreated(ClientFactory::close);
        group.shutdownGracefully();
    }

    /**
     * Runs a task repeatedly. A failed run is logged and does not cancel the following ones.
     *
     * @param task           the task
     * @param delayMillis    delay before the first run, in milliseconds
     * @param intervalMillis delay between two runs, in milliseconds
     */
    void repeat(Runnable task, long delayMillis, long intervalMillis) {
        timers.scheduleWithFixedDelay(
                new LoggedTask("scheduled task", task), delayMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task repeatedly until it has nothing left to do. A failed run is logged and repeated.
     *
     * @param task           the task; returns whether it has to run again
     * @param intervalMillis delay between two runs, in milliseconds
     */
    void repeatWhile(BooleanSupplier task, long intervalMillis) {
        timers.execute(new RepeatedTask(timers, intervalMillis, task));
    }

    /**
     * Waits until no call is in flight or the grace time has ended.
     *
     * @param inFlight    returns the number of calls in flight
     * @param graceMillis maximum wait, in milliseconds
     */
    void awaitIdle(IntSupplier inFlight, long graceMillis) {
        long end = clock.nanoTime() + graceMillis * Clock.NANOS_PER_MILLI;
        while (inFlight.getAsInt() > 0 && clock.nanoTime() - end < 0) {
            try {
                TimeUnit.MILLISECONDS.sleep(STOP_POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /**
     * Returns the memory for what the node holds for callers and servers.
     *
     * @return the memory
     */
    NodeMemory memory() {
        return memory;
    }

    /**
     * Returns the address at which a node accepts frames.
     *
     * @param id id of the node
     * @return the address, or empty if the node is unknown, has failed or has left
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

    Lazy<ClientFactory> clientFactory() {
        return clientFactory;
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

    Consumer<SuspectTable.SuspectReport> suspectListener() {
        return suspectReplicator::add;
    }

    EventLoopDelay eventLoopDelay() {
        return eventLoopDelay;
    }

    /** Measures the scheduling delay of the event loop that handles calls, while there are calls. */
    void measureEventLoopDelay() {
        eventLoopDelay.onStart(this::sampleEventLoopDelayLater);
    }

    private void sampleEventLoopDelayLater() {
        group.next()
                .schedule(
                        () -> {
                            if (eventLoopDelay.sample()) {
                                sampleEventLoopDelayLater();
                            }
                        },
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
     * Returns the number of nodes that have a row in the table service.
     *
     * @return the number; 0 before the first complete scan
     */
    int registeredNodes() {
        return discovery.registeredNodes();
    }

    private void handleServerCrash() {
        gate.close();
        members.updateSelf(self -> self.setServing(false));
        gossiper.sendToRandomMembers(CHANGE_FANOUT);
    }

    private InetSocketAddress serverAddress() {
        Announcement announcement = gate.announcement().orElseThrow();
        return new InetSocketAddress(announcement.getHost(), (int) announcement.getPort());
    }

    private static ClientFactory createClientFactory(EventLoopGroup group, MetricRegistry metrics) {
        ClientFactoryBuilder builder = StreamedResponses.checkIn(
                        ClientFactory.builder(), IrregularResponses.ofStreams(metrics))
                .workerGroup(group, false)
                .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
                .idleTimeoutMillis(IDLE_TIMEOUT_MILLIS)
                .meterRegistry(NoopMeterRegistry.get());
        if (group instanceof EpollEventLoopGroup) {
            builder.channelOption(EpollChannelOption.TCP_USER_TIMEOUT, DeadPeerDetection.USER_TIMEOUT_MILLIS);
        }
        return builder.build();
    }

    static MemberRecord selfRecord(NodeSettings settings, long boot) {
        return new MemberRecord()
                .withId(settings.getId())
                .withBoot(boot)
                .withIncarnation(1)
                .withState(MemberState.ALIVE.toRecordState())
                .withHost(Optional.ofNullable(settings.getAdvertisedHost()).orElse(settings.getHost()))
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

    private static ScheduledExecutorService createTimers() {
        ScheduledThreadPoolExecutor timers =
                new ScheduledThreadPoolExecutor(1, task -> daemonThread(task, "mushd-timers"));
        // A cancelled task would hold its call until the call's deadline.
        timers.setRemoveOnCancelPolicy(true);
        return timers;
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
