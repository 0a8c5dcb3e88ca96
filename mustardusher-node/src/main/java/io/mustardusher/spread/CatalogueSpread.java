package io.mustardusher.spread;

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
 * The catalogue in force at this node, and its spread: each new revision is pushed to a few random nodes, gossip shows
 * who is behind, and now and then a node looks at the table service. Copies merge by revision, so that nothing reverts.
 */
public final class CatalogueSpread implements RevisionSpread {

    /** Nodes to which a new revision is pushed. */
    private static final int FANOUT = 3;

    /** Time allowed for an answer, in milliseconds. */
    private static final long ASK_MILLIS = 1_000;

    /** Shortest time between two looks at the table service, in nanoseconds. */
    private static final long LOOK_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Time between two looks for each node of the deployment, in nanoseconds. */
    private static final long LOOK_NANOS_PER_NODE = 100 * Clock.NANOS_PER_MILLI;

    /** The catalogue in the table service. */
    private final CatalogueStore store;

    /** Asks other nodes. */
    private final Peers peers;

    /** What is known of nodes. */
    private final MemberTable members;

    private final Clock clock;

    /** Source of random order. */
    private final Random random;

    /** Told of each catalogue that comes into force. */
    private final Consumer<Catalogue> listener;

    /** The catalogue in force; {@code null} before the first. */
    private volatile Catalogue current;

    /** Time of the next look at the table service, in nanoseconds. */
    private long nextLookNanos;

    /**
     * Creates a spread without a catalogue.
     *
     * @param store    the catalogue in the table service
     * @param peers    asks other nodes
     * @param members  what is known of nodes
     * @param clock    source of time
     * @param random   source of random order
     * @param listener told of each catalogue that comes into force
     */
    public CatalogueSpread(
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
        this.nextLookNanos = clock.nanoTime();
    }

    /**
     * Returns the catalogue in force.
     *
     * @return the catalogue, or {@code null} before the first
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
     * Takes the highest of what the table service and some peers have. A node that reaches neither has no catalogue.
     *
     * @return completes when both were tried
     */
    public CompletableFuture<Void> load() {
        CompletableFuture<Void> fromStore = store.load()
                .thenAccept(delta -> apply(delta, "table service"))
                .exceptionally(failure -> storeFailed("load", failure));
        List<CompletableFuture<Void>> fromPeers =
                members.randomMembers(FANOUT, "").stream().map(this::pull).toList();
        return CompletableFuture.allOf(
                fromStore, CompletableFuture.allOf(fromPeers.toArray(new CompletableFuture<?>[0])));
    }

    /** Does what is due; called several times a second. */
    public void tick() {
        long now = clock.nanoTime();
        if (now - nextLookNanos < 0) {
            return;
        }
        long interval =
                Math.max(LOOK_NANOS, LOOK_NANOS_PER_NODE * members.members().size());
        nextLookNanos = now + interval / 2 + (long) (random.nextDouble() * interval);
        if (current == null) {
            load();
        } else {
            look();
        }
    }

    /**
     * Applies changes.
     *
     * @param delta the changes
     * @param from  where they came from
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
     * Answers a question for changes.
     *
     * @param question the question
     * @return the changes above its revision
     */
    public CompletableFuture<CatalogueDelta> answer(CataloguePull question) {
        Catalogue present = current == null ? Catalogue.EMPTY : current;
        return CompletableFuture.completedFuture(present.since(question.getSince()));
    }

    /**
     * Takes changes that another node pushes.
     *
     * @param delta the changes
     * @return this node's revision afterwards
     */
    public CompletableFuture<CataloguePull> answer(CatalogueDelta delta) {
        long revision = current == null ? 0 : apply(delta, "push");
        return CompletableFuture.completedFuture(new CataloguePull().withSince(revision));
    }

    @Override
    public void heard(MemberRecord peer, long revision) {
        if (revision > revision()) {
            pull(peer);
        }
    }

    /**
     * Asks a node for its revision.
     *
     * @param peer the node
     * @return its revision; fails if it does not answer
     */
    public CompletableFuture<Long> revisionOf(MemberRecord peer) {
        CataloguePull question = new CataloguePull().withSince(Long.MAX_VALUE);
        CompletableFuture<CatalogueDelta> answer = peers.request(address(peer), FrameKind.PULL, question, ASK_MILLIS);
        return answer.thenApply(CatalogueDelta::getRevision);
    }

    /** Looks for new revisions in the table service. */
    private void look() {
        store.revision()
                .thenAccept(revision -> {
                    if (revision > revision()) {
                        catchUp();
                    }
                })
                .exceptionally(failure -> storeFailed("look", failure));
    }

    /** Reads what is new in the table service. */
    private void catchUp() {
        store.since(revision())
                .thenAccept(delta -> apply(delta, "table service"))
                .exceptionally(failure -> storeFailed("catch up", failure));
    }

    /**
     * Asks a node for what is new.
     *
     * @param peer the node
     * @return completes when it answered, or did not
     */
    private CompletableFuture<Void> pull(MemberRecord peer) {
        CataloguePull question = new CataloguePull().withSince(revision());
        CompletableFuture<CatalogueDelta> answer = peers.request(address(peer), FrameKind.PULL, question, ASK_MILLIS);
        return answer.handle((delta, failure) -> {
            boolean useful = delta != null && (delta.getRevision() > 0 || current != null);
            if (useful) {
                apply(delta, peer.getId());
            }
            return null;
        });
    }

    /**
     * Pushes changes to a few random nodes; a node that turns out to be further behind gets all that it lacks.
     *
     * @param delta the changes
     */
    private void push(CatalogueDelta delta) {
        for (MemberRecord peer : members.randomMembers(FANOUT, "")) {
            CompletableFuture<CataloguePull> answer = peers.request(address(peer), FrameKind.PUSH, delta, ASK_MILLIS);
            answer.thenAccept(reached -> {
                if (reached.getSince() < delta.getSince()) {
                    peers.request(address(peer), FrameKind.PUSH, current.since(reached.getSince()), ASK_MILLIS);
                }
            });
        }
    }

    /**
     * Logs a failure of the table service.
     *
     * @param doing   what was asked
     * @param failure the failure
     * @return {@code null}
     */
    private static Void storeFailed(String doing, Throwable failure) {
        NodeLog.LOG.storeFailed("catalogue " + doing, String.valueOf(failure.getMessage()));
        return null;
    }

    /**
     * Returns the address of a node for frames.
     *
     * @param peer the node
     * @return its address
     */
    static InetSocketAddress address(MemberRecord peer) {
        return new InetSocketAddress(peer.getHost(), (int) peer.getFramePort());
    }
}
