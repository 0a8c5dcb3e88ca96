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
import io.mustardusher.call.OnFirstUse;
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
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.EventExecutor;

/**
 * The backend servers of each service, as the member table tells, and the ways to their gates. It is made anew when the
 * table changes; what is known of the load of a server that stays is kept.
 *
 * <p>Lock order: this directory before the member table.
 */
public final class Directory {

    private final MemberTable members;

    /** Gate of this node. */
    private final Gate gate;

    /** Distances of failure domains. */
    private final DistanceSettings distances;

    private final Supplier<ClientFactory> connections;

    private final Credential credential;

    private final Clock clock;

    /** Servers by process of the node. */
    private Map<String, Target> targets = Map.of();

    /** Ways to the gates beside servers. */
    private volatile Map<ServerLoad, GateLink> links = Map.of();

    /** Servers by service. */
    private volatile Map<ServiceName, ServerPool> pools = Map.of();

    /** Version of the member table from which this was made. */
    private long version = -1;

    private Frames frames;

    /**
     * Creates an empty directory.
     *
     * @param members     the member table
     * @param gate        gate of this node
     * @param distances   distances of failure domains
     * @param connections connections to other nodes for what is streamed
     * @param credential  shared secret
     * @param clock       source of time
     */
    public Directory(
            MemberTable members,
            Gate gate,
            DistanceSettings distances,
            Supplier<ClientFactory> connections,
            Credential credential,
            Clock clock) {
        this.members = members;
        this.gate = gate;
        this.distances = distances;
        this.connections = connections;
        this.credential = credential;
        this.clock = clock;
    }

    /**
     * Sends calls to other nodes by frames from now on.
     *
     * @param by how they are sent
     */
    public void useFrames(Frames by) {
        frames = by;
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
     * Returns the way to the gate beside a server.
     *
     * @param server the server
     * @return the way, or empty if the node is gone
     */
    Optional<GateLink> link(ServerLoad server) {
        return Optional.ofNullable(links.get(server));
    }

    /**
     * Returns the way to the gate of a process.
     *
     * @param id   name of the node
     * @param boot start of its process
     * @return the way, or empty if the process is not known
     */
    synchronized Optional<GateLink> link(String id, long boot) {
        return Optional.ofNullable(targets.get(id + "@" + boot)).map(Target::link);
    }

    /** Makes the directory anew if the member table has changed. */
    public synchronized void refresh() {
        long present = members.version();
        if (present == version) {
            return;
        }
        version = present;
        Map<String, Target> next = new HashMap<>();
        Map<ServiceName, List<ServerLoad>> lists = new HashMap<>();
        for (MemberRecord member : members.members()) {
            if (!MemberState.of(member).isActive()) {
                continue;
            }
            Target target = target(member);
            next.put(process(member), target);
            if (member.getService() != null) {
                target.load.serving(member.isServing() && MemberState.of(member) != MemberState.LEAVING);
                lists.computeIfAbsent(ServiceName.of(member.getService()), name -> new ArrayList<>())
                        .add(target.load);
            }
        }
        targets = next;
        Map<ServerLoad, GateLink> ways = new IdentityHashMap<>();
        next.values().forEach(target -> ways.put(target.load, target.link));
        links = ways;
        Map<ServiceName, ServerPool> fresh = new HashMap<>();
        lists.forEach((name, servers) -> fresh.put(name, ServerPool.of(servers)));
        pools = fresh;
    }

    /**
     * Finds or makes what is known of a server.
     *
     * @param member record of its node
     * @return the server
     */
    private Target target(MemberRecord member) {
        Target known = targets.get(process(member));
        if (known != null && known.since == member.getSince()) {
            return known;
        }
        long ageMillis = clock.epochMillis() - member.getSince();
        ServerLoad load = new ServerLoad(
                NodeId.of(member.getId()),
                (int) member.getSlots(),
                domain(members.self()).latencyMicrosTo(domain(member), distances),
                clock.nanoTime() - ageMillis * Clock.NANOS_PER_MILLI);
        GateLink link = known == null ? linkTo(member) : known.link;
        return new Target(load, link, member.getSince());
    }

    /**
     * Makes the way to a gate.
     *
     * @param member record of its node
     * @return the way
     */
    private GateLink linkTo(MemberRecord member) {
        if (member.getId().equals(members.self().getId())) {
            return new GateLink.ForLocal(gate);
        }
        Endpoint endpoint = Endpoint.of(member.getHost(), (int) member.getGatePort());
        Supplier<WebClient> client = new OnFirstUse<>(() -> WebClient.builder(SessionProtocol.H2C, endpoint)
                .factory(connections.get())
                .build());
        GateLink streams = new GateLink.ForRemote(client, credential.authorization());
        if (frames == null) {
            return streams;
        }
        InetSocketAddress address = new InetSocketAddress(member.getHost(), (int) member.getFramePort());
        return new GateLink.ForFrames(
                frames.peers(),
                address,
                member.getBoot(),
                frames.packing(),
                frames.numbers()::incrementAndGet,
                frames.loop(),
                clock,
                streams);
    }

    /**
     * Returns the failure domain of a member.
     *
     * @param member the member
     * @return its failure domain
     */
    private static FailureDomain domain(MemberRecord member) {
        return FailureDomain.of(member.getRegion(), member.getDomain());
    }

    /**
     * Returns the name of a member's process.
     *
     * @param member the member
     * @return node and start
     */
    private static String process(MemberRecord member) {
        return member.getId() + "@" + member.getBoot();
    }

    /**
     * A server as known.
     *
     * @param load  its load
     * @param link  way to its gate
     * @param since start of serving, in milliseconds since the epoch
     */
    private record Target(ServerLoad load, GateLink link, long since) {}

    /**
     * How calls are sent by frames.
     *
     * @param peers   other nodes
     * @param packing packs headers
     * @param numbers numbers calls; starts anywhere, so that those of two entries differ
     * @param loop    collects requests
     */
    public record Frames(Peers peers, HeaderPacking packing, AtomicLong numbers, EventExecutor loop) {}
}
