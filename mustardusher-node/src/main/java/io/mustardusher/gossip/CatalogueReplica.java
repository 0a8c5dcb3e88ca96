package io.mustardusher.gossip;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.mustardusher.catalogue.Catalogue;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.CataloguePull;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.store.CatalogueStore;
import io.mustardusher.time.Clock;

/**
 * This node's copy of the catalogue. A new revision is pushed to a few random nodes; nodes that miss the push learn the
 * revision from gossip and pull it from a peer, or find it when they poll the table service. Copies merge by revision,
 * so an older copy never replaces a newer one.
 */
public final class CatalogueReplica implements ReplicatedConfiguration {

    /** Number of nodes to which a new revision is pushed. */
    private static final int FANOUT = 3;

    /** Timeout of a request to another node, in milliseconds. */
    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

    /** Minimum mean interval between two polls of the table service, in nanoseconds. */
    private static final long MIN_POLL_INTERVAL_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /**
     * Mean interval between two polls of the table service per member, in nanoseconds. Each node polls less often in a
     * larger deployment, which bounds the load on the table service.
     */
    private static final long POLL_INTERVAL_NANOS_PER_NODE = 100 * Clock.NANOS_PER_MILLI;

    private final CatalogueStore store;

    private final Peers peers;

    private final MemberTable members;

    private final Clock clock;

    /** Randomizes the poll intervals. */
    private final Random random;

    /** Receives each catalogue that comes into force. */
    private final Consumer<Catalogue> listener;

    /** The catalogue in force; {@code null} before the first one is applied. */
    private volatile Catalogue current;

    /** Time of the next poll of the table service, in nanoseconds. */
    private long nextPollNanos;

    /**
     * Creates a replica without a catalogue.
     *
     * @param store    the catalogue in the table service
     * @param peers    sends requests to other nodes
     * @param members  the cluster membership
     * @param clock    source of time
     * @param random   randomizes the poll intervals
     * @param listener receives each catalogue that comes into force
     */
    public CatalogueReplica(
            CatalogueStore store,
            Peers peers,
            MemberTable members,
            Clock clock,
            Random random,
            Consumer<Catalogue> listener) {
        this.store = store;
        this.peers = peers;
        this.members = members;
        this.clock = clock;
        this.random = random;
        this.listener = listener;
        this.nextPollNanos = clock.nanoTime();
    }

    /**
     * Returns the catalogue in force.
     *
     * @return the catalogue, or {@code null} before the first one is applied
     */
    public Catalogue current() {
        return current;
    }

    @Override
    public long revision() {
        Catalogue present = current;
        return present == null ? 0 : present.revision();
    }

    /**
     * Loads the catalogue from the table service and from a few random peers, and keeps the highest revision. The node
     * stays without a catalogue if none of them responds.
     *
     * @return completes when all sources have responded or failed
     */
    public CompletableFuture<Void> load() {
        CompletableFuture<Void> fromStore = store.load()
                .thenAccept(delta -> apply(delta, "table service"))
                .exceptionally(failure -> logStoreFailure("load", failure));
        List<CompletableFuture<Void>> fromPeers =
                members.randomMembers(FANOUT, "").stream().map(this::pull).toList();
        return CompletableFuture.allOf(
                fromStore, CompletableFuture.allOf(fromPeers.toArray(new CompletableFuture<?>[0])));
    }

    /** Polls the table service if a poll is due; called several times a second. */
    public void tick() {
        long now = clock.nanoTime();
        if (now - nextPollNanos < 0) {
            return;
        }
        long interval = Math.max(
                MIN_POLL_INTERVAL_NANOS,
                POLL_INTERVAL_NANOS_PER_NODE * members.members().size());
        nextPollNanos = now + interval / 2 + (long) (random.nextDouble() * interval);
        if (current == null) {
            load();
        } else {
            pollStore();
        }
    }

    /**
     * Merges changes into the catalogue and pushes a new revision to other nodes.
     *
     * @param delta the changes
     * @param from  source of the changes, for the log
     * @return the revision in force afterwards
     */
    public long apply(CatalogueDelta delta, String from) {
        Catalogue before;
        Catalogue after;
        synchronized (this) {
            before = current == null ? Catalogue.EMPTY : current;
            after = before.merge(delta);
            boolean first = current == null;
            if (after == before && !first) {
                return after.revision();
            }
            current = after;
            listener.accept(after);
        }
        NodeLog.LOG.catalogueInForce(after.revision(), from);
        if (after.revision() > before.revision()) {
            push(after.since(before.revision()));
        }
        return after.revision();
    }

    /**
     * Answers a request for changes.
     *
     * @param request the request, with the revision of the requesting node
     * @return the changes after that revision
     */
    public CompletableFuture<CatalogueDelta> answer(CataloguePull request) {
        Catalogue present = current == null ? Catalogue.EMPTY : current;
        return CompletableFuture.completedFuture(present.since(request.getSince()));
    }

    /**
     * Applies changes pushed by another node. Before the first catalogue is loaded, pushed changes are ignored.
     *
     * @param delta the changes
     * @return this node's revision afterwards
     */
    public CompletableFuture<CataloguePull> answer(CatalogueDelta delta) {
        long revision = current == null ? 0 : apply(delta, "push");
        return CompletableFuture.completedFuture(new CataloguePull().withSince(revision));
    }

    @Override
    public void onPeerRevision(MemberRecord peer, long revision) {
        if (revision > revision()) {
            pull(peer);
        }
    }

    /**
     * Requests the revision in force at another node.
     *
     * @param peer the node
     * @return its revision; fails if the node does not respond
     */
    public CompletableFuture<Long> queryRevision(MemberRecord peer) {
        CataloguePull request = new CataloguePull().withSince(Long.MAX_VALUE);
        CompletableFuture<CatalogueDelta> answer =
                peers.request(frameAddress(peer), FrameKind.PULL, request, REQUEST_TIMEOUT_MILLIS);
        return answer.thenApply(CatalogueDelta::getRevision);
    }

    /** Compares the revision in the table service with the one in force. */
    private void pollStore() {
        store.revision()
                .thenAccept(revision -> {
                    if (revision > revision()) {
                        fetchChanges();
                    }
                })
                .exceptionally(failure -> logStoreFailure("poll", failure));
    }

    /** Reads the changes after the revision in force from the table service. */
    private void fetchChanges() {
        store.since(revision())
                .thenAccept(delta -> apply(delta, "table service"))
                .exceptionally(failure -> logStoreFailure("fetch changes", failure));
    }

    /**
     * Requests the changes after the revision in force from another node.
     *
     * @param peer the node
     * @return completes when the node has responded or the request has failed
     */
    private CompletableFuture<Void> pull(MemberRecord peer) {
        CataloguePull request = new CataloguePull().withSince(revision());
        CompletableFuture<CatalogueDelta> answer =
                peers.request(frameAddress(peer), FrameKind.PULL, request, REQUEST_TIMEOUT_MILLIS);
        return answer.handle((delta, failure) -> {
            boolean applicable = delta != null && (delta.getRevision() > 0 || current != null);
            if (applicable) {
                apply(delta, peer.getId());
            }
            return null;
        });
    }

    /**
     * Pushes changes to a few random nodes. A node whose revision is lower than the base of the changes receives
     * everything after its own revision instead.
     *
     * @param delta the changes
     */
    private void push(CatalogueDelta delta) {
        for (MemberRecord peer : members.randomMembers(FANOUT, "")) {
            CompletableFuture<CataloguePull> answer =
                    peers.request(frameAddress(peer), FrameKind.PUSH, delta, REQUEST_TIMEOUT_MILLIS);
            answer.thenAccept(reached -> {
                if (reached.getSince() < delta.getSince()) {
                    peers.request(
                            frameAddress(peer),
                            FrameKind.PUSH,
                            current.since(reached.getSince()),
                            REQUEST_TIMEOUT_MILLIS);
                }
            });
        }
    }

    /**
     * Logs a failed request to the table service.
     *
     * @param operation operation on the catalogue, for the log
     * @param failure   cause of the failure
     * @return {@code null}
     */
    private static Void logStoreFailure(String operation, Throwable failure) {
        NodeLog.LOG.storeFailed("catalogue " + operation, String.valueOf(failure.getMessage()));
        return null;
    }

    /**
     * Returns the address at which a node accepts frames.
     *
     * @param peer the node
     * @return its address
     */
    static InetSocketAddress frameAddress(MemberRecord peer) {
        return new InetSocketAddress(peer.getHost(), (int) peer.getFramePort());
    }
}
