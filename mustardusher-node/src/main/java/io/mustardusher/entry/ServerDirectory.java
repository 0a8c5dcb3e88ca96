package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.SessionProtocol;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.call.Lazy;
import io.mustardusher.catalogue.ServiceName;
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
    private final TransferMemory transferMemory = new TransferMemory();

    /** Present nodes by their process. */
    private Map<String, KnownNode> nodes = Map.of();

    /** Links to the gates of the servers' nodes. */
    private volatile Map<ServerLoad, GateLink> links = Map.of();

    /** Servers by service. */
    private volatile Map<ServiceName, ServerPool> pools = Map.of();

    /** Version of the member table from which the directory was built. */
    private long version = -1;

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
     * Sends calls to other nodes as frames. Applies to links created after this call.
     *
     * @param frames the transport of frames
     */
    public void useFrames(FrameTransport frames) {
        transport = frames;
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

    /** Rebuilds the directory if the member table has changed. */
    public synchronized void refresh() {
        long currentVersion = members.version();
        if (currentVersion == version) {
            return;
        }
        version = currentVersion;
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
                loadsByService
                        .computeIfAbsent(ServiceName.of(member.getService()), name -> new ArrayList<>())
                        .add(node.load);
            }
        }
        nodes = nextNodes;
        Map<ServerLoad, GateLink> nextLinks = new IdentityHashMap<>();
        nextNodes.values().forEach(node -> nextLinks.put(node.load, node.link));
        links = nextLinks;
        Map<ServiceName, ServerPool> nextPools = new HashMap<>();
        loadsByService.forEach((name, loads) -> nextPools.put(name, ServerPool.of(loads)));
        pools = nextPools;
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
                rate);
        GateLink link = known == null ? createLink(member, rate) : known.link;
        return new KnownNode(load, link, member.getSince());
    }

    /**
     * Creates a link to the gate of a member.
     *
     * @param member record of the gate's node
     * @param rate   learns from transfers of large answers
     * @return the link
     */
    private GateLink createLink(MemberRecord member, TransferRate rate) {
        if (member.getId().equals(members.self().getId())) {
            return new GateLink.ForLocal(gate);
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
        InetSocketAddress address = new InetSocketAddress(member.getHost(), (int) member.getFramePort());
        return new GateLink.ForFrames(
                transport.peers(),
                address,
                member.getBoot(),
                transport.packing(),
                transport.callNumbers()::incrementAndGet,
                transport.loop(),
                clock,
                new PartFetcher(transport.peers(), address, transferMemory, rate, clock),
                streams);
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
     * @param callNumbers last call number; starts at an arbitrary value, so that the numbers of two entries differ
     * @param loop        executor that aggregates requests
     */
    public record FrameTransport(Peers peers, HeaderPacking packing, AtomicLong callNumbers, EventExecutor loop) {}
}
