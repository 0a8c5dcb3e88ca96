package io.mustardusher.keys;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

import io.mustardusher.claim.ClaimGroup;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.ClaimGroupRecord;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.ProbeQuestion;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.time.Clock;

/** Caches the claim groups of services, which are requested from nodes that serve them. */
public final class GroupCache {

    /** Age up to which a cached group is used, in nanoseconds. */
    private static final long MAX_AGE_NANOS = 2_000 * Clock.NANOS_PER_MILLI;

    /** Number of nodes to which a request is sent; the reply with the latest epoch is used. */
    private static final int NODES_PER_REQUEST = 2;

    /** The nodes known to this node. */
    private final MemberTable members;

    /** This node as a keeper, with the group of its own service. */
    private final LocalKeeper keeper;

    /** Sends requests to other nodes. */
    private final Peers peers;

    /** The claim groups in the table service, read if no node replies. */
    private final KeeperStore store;

    private final Clock clock;

    /** Cached groups by service. */
    private final Map<String, CachedGroup> groups = new ConcurrentHashMap<>();

    /**
     * Creates an empty cache.
     *
     * @param members the nodes known to this node
     * @param keeper  this node as a keeper
     * @param peers   sends requests to other nodes
     * @param store   the claim groups in the table service
     * @param clock   source of time
     */
    public GroupCache(MemberTable members, LocalKeeper keeper, Peers peers, KeeperStore store, Clock clock) {
        this.members = members;
        this.keeper = keeper;
        this.peers = peers;
        this.store = store;
        this.clock = clock;
    }

    /**
     * Returns the claim group of a service. If it must be requested and neither a node nor the table service returns
     * it, the group known to this node's own keeper is used.
     *
     * @param service name of the service
     * @param refresh whether to request the group even if it is known or cached
     * @return the group, or empty if it could not be determined
     */
    public CompletableFuture<Optional<ClaimGroup>> find(String service, boolean refresh) {
        Optional<ClaimGroup> own = keeper.ledger(service).flatMap(ledger -> ledger.group());
        if (own.isPresent() && !refresh) {
            return CompletableFuture.completedFuture(own);
        }
        CachedGroup cached = groups.get(service);
        boolean fresh = cached != null && clock.nanoTime() - cached.receivedNanos < MAX_AGE_NANOS;
        if (fresh && !refresh) {
            return CompletableFuture.completedFuture(Optional.of(cached.group));
        }
        return requestGroup(service)
                .thenCompose(group -> group.isPresent()
                        ? CompletableFuture.completedFuture(group)
                        : store.read(service)
                                .handle((row, failure) -> failure != null || row.isEmpty()
                                        ? own
                                        : Optional.of(cache(service, row.get().group()))));
    }

    /**
     * Requests the claim group of a service from random nodes that serve it.
     *
     * @param service name of the service
     * @return the group with the latest epoch, or empty if no node has returned one
     */
    private CompletableFuture<Optional<ClaimGroup>> requestGroup(String service) {
        List<MemberRecord> servers = new ArrayList<>(members.members().stream()
                .filter(member -> service.equals(member.getService()))
                .filter(member -> MemberState.of(member) == MemberState.ALIVE)
                .toList());
        Collections.shuffle(servers);
        ProbeQuestion question = new ProbeQuestion().withService(service);
        List<CompletableFuture<ClaimGroupRecord>> replies = servers.stream()
                .limit(NODES_PER_REQUEST)
                .map(member -> this.requestFrom(member, question))
                .toList();
        return CompletableFuture.allOf(replies.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> cacheLatest(service, replies.stream().map(CompletableFuture::join)));
    }

    /**
     * Requests a claim group from a node.
     *
     * @param member   the node
     * @param question the request
     * @return the group, or {@code null} if the node does not reply in time or does not know it
     */
    private CompletableFuture<ClaimGroupRecord> requestFrom(MemberRecord member, ProbeQuestion question) {
        InetSocketAddress address = new InetSocketAddress(member.getHost(), (int) member.getFramePort());
        CompletableFuture<ClaimGroupRecord> reply =
                peers.request(address, FrameKind.GROUP, question, LocalKeeper.REPLY_TIMEOUT_MILLIS);
        return reply.exceptionally(failure -> null);
    }

    /**
     * Returns the group with the latest epoch, and caches it.
     *
     * @param service name of the service
     * @param replies replies of the nodes, {@code null} for a node that has not returned a group
     * @return the group, or empty if no node has returned one
     */
    private Optional<ClaimGroup> cacheLatest(String service, Stream<ClaimGroupRecord> replies) {
        return replies.filter(reply -> reply != null)
                .map(ClaimGroup::from)
                .reduce((a, b) -> a.current().number() >= b.current().number() ? a : b)
                .map(group -> cache(service, group));
    }

    /**
     * Caches a group.
     *
     * @param service name of the service
     * @param group   the group
     * @return the group
     */
    private ClaimGroup cache(String service, ClaimGroup group) {
        groups.put(service, new CachedGroup(group, clock.nanoTime()));
        return group;
    }

    /**
     * A cached group.
     *
     * @param group         the group
     * @param receivedNanos time at which it was received, in nanoseconds
     */
    private record CachedGroup(ClaimGroup group, long receivedNanos) {}
}
