package io.mustardusher.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.mustardusher.generated.Announcement;
import io.mustardusher.instance.InstanceState;
import io.mustardusher.instance.InstanceTracker;
import io.mustardusher.log.NodeLog;
import io.mustardusher.time.Clock;

/**
 * Tracks the state of the backend server beside a node from its announcements, from answers in which it states that it
 * is leaving, and, before the first announcement, from its answer to a probe. Announcements are sent seconds apart; the
 * probe saves a node that restarts beside a running server from waiting for one.
 *
 * <p>A departure that was confirmed binds the node beyond a restart. It is therefore stored before it is confirmed, and
 * a server that states that it is serving is not believed before the departures stored earlier are known.
 */
public final class ServerTracker {

    /** Number of connections assumed for a server that does not announce a limit: more than a node ever opens. */
    public static final long DEFAULT_CONNECTIONS = 1_000;

    /** Sequence number assigned to the answer to a probe, lower than that of any announcement. */
    private static final long PROBE_SEQUENCE = -1;

    /** Maximum number of statements that wait for the departures; later ones repeat them. */
    private static final int MAX_WAITING = 16;

    private final InstanceTracker instances;
    private final Consumer<Announcement> listener;
    private final DepartureStore departures;

    /** Statements of servers that they are serving, in the order of their arrival. */
    private final Deque<Runnable> waiting = new ArrayDeque<>();

    /** Whether the departures stored by earlier processes of this node are known. */
    private boolean departuresKnown;

    private Announcement last;

    /**
     * Creates a tracker that forgets departures at its end.
     *
     * @param clock    source of time
     * @param listener receives each change of the server's state
     */
    public ServerTracker(Clock clock, Consumer<Announcement> listener) {
        this(clock, listener, (instance, startMillis) -> CompletableFuture.completedFuture(null));
        departuresKnown = true;
    }

    /**
     * Creates a tracker without a known server, which believes no server until {@link #completeDepartures()}.
     *
     * @param clock      source of time
     * @param listener   receives each change of the server's state
     * @param departures stores departures
     */
    public ServerTracker(Clock clock, Consumer<Announcement> listener, DepartureStore departures) {
        this.instances = new InstanceTracker(clock);
        this.listener = listener;
        this.departures = departures;
    }

    /**
     * Processes an announcement.
     *
     * @param state        start and phase of the server
     * @param announcement address and capacity of the server; its state is set by this method
     * @return completes when the announcement may be confirmed, or fails if it states a departure that cannot be stored
     */
    public CompletableFuture<Void> recordAnnouncement(InstanceState state, Announcement announcement) {
        if (state.phase() == InstanceState.Phase.SERVING) {
            whenDeparturesKnown(() -> apply(state, announcement));
            return CompletableFuture.completedFuture(null);
        }
        apply(state, announcement);
        return departures.record(state.instance(), state.startMillis());
    }

    private synchronized void apply(InstanceState state, Announcement announcement) {
        if (instances.update(state)) {
            last = announcement;
            notifyListener();
        }
    }

    /**
     * Processes the deregistration of a server.
     *
     * @param instance    name of the server
     * @param startMillis start time of the server, in milliseconds since the Unix epoch, or empty if the server did not
     *                    state it
     * @return completes when the deregistration may be confirmed, or fails if it cannot be stored
     */
    public CompletableFuture<Void> recordDeregistration(String instance, Optional<Long> startMillis) {
        long start;
        synchronized (this) {
            if (instances.deregister(instance, startMillis) && last != null) {
                notifyListener();
            }
            start = startMillis.orElse(instances.startMillis(instance));
        }
        return departures.record(instance, start);
    }

    /**
     * Processes a departure that was stored by an earlier process of this node.
     *
     * @param instance    name of the server
     * @param startMillis start time of the server, in milliseconds since the Unix epoch; 0 if it is unknown
     */
    public synchronized void restoreDeparture(String instance, long startMillis) {
        boolean known = instances.isLeaving(instance) && instances.startMillis(instance) >= startMillis;
        if (!known) {
            NodeLog.LOG.departureRestored(instance);
        }
        if (instances.restoreDeparture(instance, startMillis)) {
            notifyListener();
        }
    }

    /** Processes the statements that were held back until the stored departures are known. Has no effect afterwards. */
    public synchronized void completeDepartures() {
        departuresKnown = true;
        while (!waiting.isEmpty()) {
            waiting.removeFirst().run();
        }
    }

    private synchronized void whenDeparturesKnown(Runnable statement) {
        if (departuresKnown) {
            statement.run();
        } else if (waiting.size() < MAX_WAITING) {
            waiting.addLast(statement);
        }
    }

    /**
     * Processes the statement of a server in an answer that it is leaving.
     *
     * @param instance name of the server
     */
    public synchronized void recordLeaving(String instance) {
        if (instances.drain(instance)) {
            notifyListener();
            departures.record(instance, instances.startMillis(instance));
        }
    }

    /**
     * Processes the answer of a healthy server to a probe. It is ignored once the state of the server is known.
     *
     * @param found address and capacity of the server
     */
    public synchronized void recordProbeResult(Announcement found) {
        whenDeparturesKnown(() -> {
            if (!isKnown() && !instances.isLeaving(found.getInstance())) {
                apply(new InstanceState(found.getInstance(), 0, PROBE_SEQUENCE, InstanceState.Phase.SERVING), found);
            }
        });
    }

    /**
     * Returns whether the state of the server is known.
     *
     * @return {@code true} if it has announced or deregistered itself or answered a probe
     */
    public synchronized boolean isKnown() {
        return instances.current().isPresent();
    }

    /** Stores departures where they outlive the process of this node. */
    public interface DepartureStore {

        /**
         * Stores a departure.
         *
         * @param instance    name of the server
         * @param startMillis start time of the process, in milliseconds since the Unix epoch; 0 if it is unknown
         * @return completes when the departure is stored, or fails if it cannot be
         */
        CompletableFuture<Void> record(String instance, long startMillis);
    }

    private void notifyListener() {
        boolean serving = instances
                .current()
                .filter(state -> state.phase() == InstanceState.Phase.SERVING)
                .isPresent();
        last.setState(serving ? Announcement.State.SERVING : Announcement.State.DRAINING);
        listener.accept(last);
    }
}
