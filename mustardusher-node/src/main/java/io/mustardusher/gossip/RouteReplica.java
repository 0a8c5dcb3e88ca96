package io.mustardusher.gossip;

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
import io.mustardusher.route.RouteTable;

/**
 * This node's copy of the routes: the highest version received from the table service or from peers. Documents are
 * forwarded as the operator wrote them, so that every node decodes the same text.
 */
public final class RouteReplica implements ReplicatedConfiguration {

    /**
     * Delay before a newer version is pulled from a peer, in milliseconds. The table service normally pushes the
     * version first, which saves a costly transfer between failure domains. The delay is a quarter of the two seconds
     * within which a version has to be in force.
     */
    private static final long PEER_PULL_DELAY_MILLIS = 500;

    /** Timeout of a request to another node, in milliseconds. */
    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

    private final Function<RouteDocument, RouteTable> decoder;
    private final Peers peers;
    private final ScheduledExecutorService timers;
    private final Consumer<RouteTable> listener;
    private volatile RouteTable current = RouteTable.EMPTY;
    private RouteDocument document = new RouteDocument().withVersion(0);

    /** Number of keys of accounts that later versions have removed. */
    private volatile long revoked;

    /** Last document that could not be decoded. Another text of the same version may be intact. */
    private RouteDocument undecodable;

    /** Last version that was pulled from a peer and could not be decoded. */
    private long undecodablePull;

    private boolean pullPending;

    /** Called when a version came into force that a peer had before the table service reported it. */
    private volatile Runnable pulledListener = () -> {};

    /**
     * Creates a replica without routes.
     *
     * @param decoder  decodes a document
     * @param peers    sends requests to other nodes
     * @param timers   schedules pulls
     * @param listener receives each table that comes into force
     */
    public RouteReplica(
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
     * @return the table; {@link RouteTable#EMPTY} before the first version
     */
    public RouteTable current() {
        return current;
    }

    /**
     * Sets the listener for versions that come from a peer because the table service has not reported them.
     *
     * @param listener called after such a version has come into force
     */
    public void onPulledVersion(Runnable listener) {
        pulledListener = listener;
    }

    /**
     * Returns the number of keys of accounts that later versions have removed.
     *
     * @return number of keys since the start of the process
     */
    public long revokedKeys() {
        return revoked;
    }

    @Override
    public long revision() {
        return current.version();
    }

    /**
     * Applies a version if it is higher than the one in force.
     *
     * @param offered the document
     * @param from    source of the document, for the log
     */
    public synchronized void offer(RouteDocument offered, String from) {
        if (offered.getVersion() <= current.version() || offered.equals(undecodable)) {
            return;
        }
        RouteTable table;
        try {
            table = decoder.apply(offered);
        } catch (RuntimeException e) {
            undecodable = offered;
            NodeLog.LOG.routesInvalid(offered.getVersion(), e.toString());
            return;
        }
        int revokedKeys = table.accounts().revokedSince(current.accounts());
        document = offered;
        current = table;
        NodeLog.LOG.routesInForce(table.version(), table.routes().size(), from);
        if (revokedKeys > 0) {
            revoked += revokedKeys;
            NodeLog.LOG.keysRevoked(table.version(), revokedKeys);
        }
        try {
            listener.accept(table);
        } catch (RuntimeException e) {
            // The routes are in force; what follows from them is computed again with the next change.
            NodeLog.LOG.routesInvalid(table.version(), "not refreshed: " + e);
        }
    }

    /**
     * Answers a request for a newer version.
     *
     * @param request the request, with the version of the requesting node
     * @return the document, without its text if there is no newer version
     */
    public synchronized CompletableFuture<RouteDocument> answer(CataloguePull request) {
        boolean newer = document.getVersion() > request.getSince();
        return CompletableFuture.completedFuture(
                newer ? document : new RouteDocument().withVersion(document.getVersion()));
    }

    @Override
    public void onPeerRevision(MemberRecord peer, long revision) {
        synchronized (this) {
            if (revision <= revision() || revision == undecodablePull || pullPending) {
                return;
            }
            pullPending = true;
        }
        long delayMillis = revision() == 0 ? 0 : PEER_PULL_DELAY_MILLIS;
        timers.schedule(() -> pull(peer, revision), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void pull(MemberRecord peer, long revision) {
        if (revision <= revision()) {
            pullCompleted();
            return;
        }
        request(peer).whenComplete((done, failure) -> pullCompleted());
    }

    /**
     * Fetches a newer version from another node without the delay of a pull.
     *
     * @param peer     the node
     * @param revision the version in force there
     * @return completes when the answer has been applied, or when there is none; does not fail
     */
    public CompletableFuture<Void> fetch(MemberRecord peer, long revision) {
        synchronized (this) {
            if (revision <= revision() || revision == undecodablePull) {
                return CompletableFuture.completedFuture(null);
            }
        }
        return request(peer);
    }

    private CompletableFuture<Void> request(MemberRecord peer) {
        CataloguePull request = new CataloguePull().withSince(revision());
        CompletableFuture<RouteDocument> answer =
                peers.request(CatalogueReplica.frameAddress(peer), FrameKind.ROUTES, request, REQUEST_TIMEOUT_MILLIS);
        return answer.handle((found, failure) -> {
            if (failure == null && found.getText() != null) {
                offerPulled(found, peer);
            }
            return null;
        });
    }

    private void offerPulled(RouteDocument pulled, MemberRecord peer) {
        boolean inForce;
        synchronized (this) {
            offer(pulled, peer.getId());
            if (pulled.equals(undecodable)) {
                undecodablePull = pulled.getVersion();
            }
            inForce = document == pulled;
        }
        if (inForce) {
            pulledListener.run();
        }
    }

    private synchronized void pullCompleted() {
        pullPending = false;
    }
}
