package io.mustardusher.spread;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.CataloguePull;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.RouteDocument;
import io.mustardusher.log.NodeLog;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.route.RouteTable;

/**
 * The routes in force: of all versions that reach this node, from the store or from peers, the highest. Documents
 * travel as their operator wrote them, so that every node reads the same text.
 */
public final class RouteSpread implements RevisionSpread {

    /**
     * Time that the store's own push is given before a peer is asked, in milliseconds: a quarter of the two seconds
     * within which a version has to be in force, as documents between failure domains are costly.
     */
    private static final long STORE_FIRST_MILLIS = 500;

    /** Time allowed for a peer's answer, in milliseconds. */
    private static final long ASK_MILLIS = 1_000;

    private final Function<RouteDocument, RouteTable> decoder;
    private final Peers peers;
    private final ScheduledExecutorService timers;
    private final Consumer<RouteTable> listener;
    private volatile RouteTable current = RouteTable.EMPTY;
    private RouteDocument document = new RouteDocument().withVersion(0);
    private long unreadable;
    private boolean asking;

    /**
     * Creates a spread without routes.
     *
     * @param decoder  reads a document
     * @param peers    other nodes
     * @param timers   runs timers
     * @param listener told of each table that comes into force
     */
    public RouteSpread(
            Function<RouteDocument, RouteTable> decoder,
            Peers peers,
            ScheduledExecutorService timers,
            Consumer<RouteTable> listener) {
        this.decoder = decoder;
        this.peers = peers;
        this.timers = timers;
        this.listener = listener;
    }

    /**
     * Returns the routes in force.
     *
     * @return the table; the empty one before the first version
     */
    public RouteTable current() {
        return current;
    }

    @Override
    public long revision() {
        return current.version();
    }

    /**
     * Takes over a version if it is higher than the one in force.
     *
     * @param offered the document
     * @param from    where it came from
     */
    public synchronized void offer(RouteDocument offered, String from) {
        if (offered.getVersion() <= current.version() || offered.getVersion() == unreadable) {
            return;
        }
        RouteTable table;
        try {
            table = decoder.apply(offered);
        } catch (MustardusherException e) {
            unreadable = offered.getVersion();
            NodeLog.LOG.routesInvalid(offered.getVersion(), e.getMessage());
            return;
        }
        document = offered;
        current = table;
        listener.accept(table);
        NodeLog.LOG.routesInForce(table.version(), table.routes().size(), from);
    }

    /**
     * Answers a node that asks for a newer version.
     *
     * @param question the version that it has
     * @return the document, without its text if there is none newer
     */
    public synchronized CompletableFuture<RouteDocument> answer(CataloguePull question) {
        boolean newer = document.getVersion() > question.getSince();
        return CompletableFuture.completedFuture(
                newer ? document : new RouteDocument().withVersion(document.getVersion()));
    }

    @Override
    public void heard(MemberRecord peer, long revision) {
        synchronized (this) {
            if (revision <= revision() || revision == unreadable || asking) {
                return;
            }
            asking = true;
        }
        long wait = revision() == 0 ? 0 : STORE_FIRST_MILLIS;
        timers.schedule(() -> pull(peer, revision), wait, TimeUnit.MILLISECONDS);
    }

    private void pull(MemberRecord peer, long revision) {
        if (revision <= revision()) {
            asked();
            return;
        }
        CataloguePull question = new CataloguePull().withSince(revision());
        CompletableFuture<RouteDocument> answer =
                peers.request(CatalogueSpread.address(peer), FrameKind.ROUTES, question, ASK_MILLIS);
        answer.whenComplete((found, failure) -> {
            asked();
            if (failure == null && found.getText() != null) {
                offer(found, peer.getId());
            }
        });
    }

    private synchronized void asked() {
        asking = false;
    }
}
