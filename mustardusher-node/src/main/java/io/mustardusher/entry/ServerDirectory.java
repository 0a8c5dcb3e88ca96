package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.SessionProtocol;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.call.Lazy;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.evacuation.EvacuationOrders;
import io.mustardusher.frame.Credential;
import io.mustardusher.frame.Peers;
import io.mustardusher.gate.Gate;
import io.mustardusher.generated.DistanceSettings;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.membership.FailureDomain;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.membership.NodeId;
import io.mustardusher.routing.ServerLoad;
import io.mustardusher.routing.ServerPool;
import io.mustardusher.routing.TransferRate;
import io.mustardusher.routing.UsualServiceTime;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.EventExecutor;

/**
 * The backend servers of each service and the links to their gates, derived from the member table. The directory is
 * rebuilt when the table changes; the recorded load of a server that remains is preserved.
 *
 * <p>Lock order: this directory before the member table.
 */
public final class ServerDirectory {

    private final MemberTable members;

    /** The gate of this node. */
    private final Gate gate;

    /** Network distances between failure domains. */
    private final DistanceSettings distances;

    private final Supplier<ClientFactory> clientFactory;

    private final Credential credential;

    private final Clock clock;

    /** Memory for large responses that are arriving from other nodes. */
    private TransferMemory transferMemory = new TransferMemory();

    /** Present nodes by their process. */
    private Map<String, KnownNode> nodes = Map.of();

    /** Links to the gates of the servers' nodes. */
    private volatile Map<ServerLoad, GateLink> links = Map.of();

    /** Servers by service. */
    private volatile Map<ServiceName, ServerPool> pools = Map.of();

    /** Version of the member table from which the directory was built. */
    private long version = -1;

    private Supplier<EvacuationOrders> evacuation = () -> EvacuationOrders.NONE;

    /** Orders from which the directory was built. */
    private EvacuationOrders appliedOrders = EvacuationOrders.NONE;

    /** Whether the slow start of a service's servers ends with the usual service time. */
    private Predicate<ServiceName> measured = service -> false;

    private final Map<ServiceName, UsualServiceTime> usualServiceTimes = new HashMap<>();

    private volatile Consumer<NodeId> evacuatedGateListener = node -> {};

    /** Transport of calls to other nodes; {@code null} if all calls are sent as HTTP streams. */
    private FrameTransport transport;

    /**
     * Creates an empty directory.
     *
     * @param members       the member table
     * @param gate          the gate of this node
     * @param distances     network distances between failure domains
     * @param clientFactory client factory for HTTP streams to other nodes
     * @param credential    shared secret of the nodes
     * @param clock         source of time
     */
    public ServerDirectory(
            MemberTable members,
            Gate gate,
            DistanceSettings distances,
            Supplier<ClientFactory> clientFactory,
            Credential credential,
            Clock clock) {
        this.members = members;
        this.gate = gate;
        this.distances = distances;
        this.clientFactory = clientFactory;
        this.credential = credential;
        this.clock = clock;
    }

    /**
     * Sets the size of the memory for long responses of other nodes. Applies to links created after this call.
     *
     * @param bytes size in bytes
     */
    public void limitTransfers(long bytes) {
        transferMemory = new TransferMemory(bytes);
    }

    /**
     * Sends calls to other nodes as frames. Applies to links created after this call.
     *
     * @param frames the transport of frames
     */
    public void useFrames(FrameTransport frames) {
        transport = frames;
    }

    /**
     * Ends the slow start of servers of some services as soon as they report the usual service time of their service.
     *
     * @param services returns whether this applies to a service
     */
    public synchronized void endSlowStartWhenMeasured(Predicate<ServiceName> services) {
        measured = services;
        usualServiceTimes.forEach((service, usual) -> usual.setEnabled(services.test(service)));
    }

    /**
     * Leaves out the servers of evacuated failure domains.
     *
     * @param orders        supplies the orders in force; {@link #refresh()} has to be called after each change
     * @param evacuatedGate receives each node whose gate refused a call of this node because of an order that is not in
     *     force here
     */
    public synchronized void followOrders(Supplier<EvacuationOrders> orders, Consumer<NodeId> evacuatedGate) {
        evacuation = orders;
        evacuatedGateListener = evacuatedGate;
    }

    /**
     * Records that a gate refused a call because its failure domain is evacuated, although this node chose its server.
     *
     * @param server the server beside the gate
     */
    void recordEvacuatedGate(ServerLoad server) {
        evacuatedGateListener.accept(server.node());
    }

    /**
     * Returns the servers of a service.
     *
     * @param service name of the service
     * @return the servers
     */
    public ServerPool pool(ServiceName service) {
        return pools.getOrDefault(service, ServerPool.EMPTY);
    }

    /**
     * Returns the link to the gate of a server's node.
     *
     * @param server the server
     * @return the link, or empty if the node is no longer a member
     */
    Optional<GateLink> link(ServerLoad server) {
        return Optional.ofNullable(links.get(server));
    }

    /**
     * Returns the link to the gate of a process.
     *
     * @param id   id of the node
     * @param boot start time of its process, in milliseconds since the Unix epoch
     * @return the link, or empty if the process is not known
     */
    synchronized Optional<GateLink> link(String id, long boot) {
        return Optional.ofNullable(nodes.get(id + "@" + boot)).map(KnownNode::link);
    }

    /**
     * Returns the number of large responses that arrived whole in parts.
     *
     * @return number since the start of the process
     */
    public long streamedResponses() {
        return transferMemory.transferred();
    }

    /** Rebuilds the directory if the member table or the evacuation orders have changed. */
    public synchronized void refresh() {
        long currentVersion = members.version();
        EvacuationOrders orders = evacuation.get();
        if (currentVersion == version && orders.equals(appliedOrders)) {
            return;
        }
        version = currentVersion;
        EvacuationOrders previousOrders = appliedOrders;
        appliedOrders = orders;
        List<ServerLoad> returned = new ArrayList<>();
        Map<String, KnownNode> nextNodes = new HashMap<>();
        Map<ServiceName, List<ServerLoad>> loadsByService = new HashMap<>();
        for (MemberRecord member : members.members()) {
            if (!MemberState.of(member).isActive()) {
                continue;
            }
            KnownNode node = findOrCreate(member);
            nextNodes.put(processName(member), node);
            if (member.getService() != null) {
                node.load.setServing(member.isServing() && MemberState.of(member) != MemberState.LEAVING);
            }
            if (member.getService() != null && !orders.isEvacuated(member.getDomain())) {
                loadsByService
                        .computeIfAbsent(ServiceName.of(member.getService()), name -> new ArrayList<>())
                        .add(node.load);
                if (previousOrders.isEvacuated(member.getDomain())) {
                    returned.add(node.load);
                }
            }
        }
        nodes = nextNodes;
        Map<ServerLoad, GateLink> nextLinks = new IdentityHashMap<>();
        nextNodes.values().forEach(node -> nextLinks.put(node.load, node.link));
        links = nextLinks;
        loadsByService.values().forEach(loads -> assumeServiceTimes(loads, returned, clock.nanoTime()));
        Map<ServiceName, ServerPool> nextPools = new HashMap<>();
        loadsByService.forEach((name, loads) -> nextPools.put(name, ServerPool.of(loads)));
        pools = nextPools;
    }

    /**
     * Assumes that servers whose domain is no longer evacuated take as long as the fastest other one of their service.
     * Their last reports date from before the evacuation, and one that was slow then would not be chosen again.
     *
     * @param loads    servers of a service
     * @param returned servers of all services whose domain is no longer evacuated
     * @param now      current time, in nanoseconds
     */
    private static void assumeServiceTimes(List<ServerLoad> loads, List<ServerLoad> returned, long now) {
        loads.stream()
                .filter(load -> !returned.contains(load) && load.reportAgeNanos(now) != Long.MAX_VALUE)
                .mapToLong(ServerLoad::serviceNanos)
                .min()
                .ifPresent(fastest ->
                        loads.stream().filter(returned::contains).forEach(load -> load.assumeServiceTime(fastest)));
    }

    /**
     * Returns the known node of a member, or a new one if the node was not known or its server has been replaced. The
     * link to the gate is kept as long as the node's process is the same.
     *
     * @param member record of the node
     * @return the node
     */
    private KnownNode findOrCreate(MemberRecord member) {
        KnownNode known = nodes.get(processName(member));
        if (known != null && known.since == member.getSince()) {
            return known;
        }
        long ageMillis = clock.epochMillis() - member.getSince();
        TransferRate rate = known == null ? new TransferRate() : known.load.transferRate();
        ServerLoad load = new ServerLoad(
                NodeId.of(member.getId()),
                (int) member.getSlots(),
                failureDomain(members.self()).latencyMicrosTo(failureDomain(member), distances),
                clock.nanoTime() - ageMillis * Clock.NANOS_PER_MILLI,
                usualServiceTime(member),
                rate);
        if (isSelf(member)) {
            load.readLoadFrom(() -> gate.load());
        }
        GateLink link = known == null ? createLink(member, rate) : known.link;
        return new KnownNode(load, link, member.getSince());
    }

    private boolean isSelf(MemberRecord member) {
        return member.getId().equals(members.self().getId());
    }

    private UsualServiceTime usualServiceTime(MemberRecord member) {
        if (member.getService() == null) {
            return new UsualServiceTime(false);
        }
        return usualServiceTimes.computeIfAbsent(
                ServiceName.of(member.getService()), service -> new UsualServiceTime(measured.test(service)));
    }

    /**
     * Creates a link to the gate of a member.
     *
     * @param member record of the gate's node
     * @param rate   learns from transfers of large answers
     * @return the link
     */
    private GateLink createLink(MemberRecord member, TransferRate rate) {
        if (isSelf(member)) {
            return new GateLink.ForLocal(gate, Optional.ofNullable(transport).map(FrameTransport::loop));
        }
        Endpoint endpoint = Endpoint.of(member.getHost(), (int) member.getGatePort());
        SessionProtocol protocol = transport == null ? SessionProtocol.H2C : SessionProtocol.H1C;
        Supplier<WebClient> client = new Lazy<>(() -> WebClient.builder(protocol, endpoint)
                .factory(clientFactory.get())
                .build());
        GateLink streams = new GateLink.ForRemote(client, credential.authorization());
        if (transport == null) {
            return streams;
        }
        Supplier<CompletableFuture<GateLink>> opening = new Lazy<>(() -> CompletableFuture.supplyAsync(() -> {
            client.get();
            return streams;
        }));
        InetSocketAddress address = new InetSocketAddress(member.getHost(), (int) member.getFramePort());
        return new GateLink.ForFrames(
                transport.peers(),
                address,
                member.getBoot(),
                transport.packing(),
                transport.callNumbers()::incrementAndGet,
                transport.loop(),
                transport.bodyMemory(),
                clock,
                new PartFetcher(transport.peers(), address, transferMemory, rate, clock),
                new GateLink.ForOpening(opening, transport.loop()));
    }

    /**
     * Returns the failure domain of a member.
     *
     * @param member the member
     * @return its failure domain
     */
    private static FailureDomain failureDomain(MemberRecord member) {
        return FailureDomain.of(member.getRegion(), member.getDomain());
    }

    /**
     * Returns a name that distinguishes successive processes of the same node.
     *
     * @param member the member
     * @return name of the node and start of its process
     */
    private static String processName(MemberRecord member) {
        return member.getId() + "@" + member.getBoot();
    }

    /**
     * A node that is currently a member.
     *
     * @param load  load of its backend server
     * @param link  link to its gate
     * @param since time from which the server has served, in milliseconds since the Unix epoch
     */
    private record KnownNode(ServerLoad load, GateLink link, long since) {}

    /**
     * Transport of calls in frames.
     *
     * @param peers       client of other nodes
     * @param packing     encoding of headers
     * @param callNumbers last call number; starts at a value that differs from those of other entries
     * @param loop        executor that aggregates requests
     * @param bodyMemory  memory for the bodies of requests
     */
    public record FrameTransport(
            Peers peers, HeaderPacking packing, AtomicLong callNumbers, EventExecutor loop, BodyMemory bodyMemory) {

        /**
         * Returns the value at which the call numbers of a process start. Gates know a call by its number alone.
         *
         * @param node   id of the node
         * @param boot   start time of its process, in milliseconds since the Unix epoch
         * @param random source of randomness, which may have the same seed as that of another process
         * @return the value
         */
        public static long firstCallNumber(String node, long boot, Random random) {
            return new SplittableRandom(((long) node.hashCode() << Integer.SIZE) ^ boot).nextLong() ^ random.nextLong();
        }
    }
}
