package io.mustardusher.node;

import java.util.Optional;
import java.util.function.Consumer;

import io.mustardusher.generated.Announcement;
import io.mustardusher.instance.InstanceState;
import io.mustardusher.instance.InstanceTracker;
import io.mustardusher.time.Clock;

/**
 * Tracks the state of the backend server beside a node from its announcements, from answers in which it states that it
 * is leaving, and, before the first announcement, from its answer to a probe. Announcements are sent seconds apart; the
 * probe saves a node that restarts beside a running server from waiting for one.
 */
public final class ServerTracker {

    /** Number of connections assumed for a server that does not announce a limit: more than a node ever opens. */
    public static final long DEFAULT_CONNECTIONS = 1_000;

    /** Sequence number assigned to the answer to a probe, lower than that of any announcement. */
    private static final long PROBE_SEQUENCE = -1;

    private final InstanceTracker instances;
    private final Consumer<Announcement> listener;
    private Announcement last;

    /**
     * Creates a tracker without a known server.
     *
     * @param clock    source of time
     * @param listener receives each change of the server's state
     */
    public ServerTracker(Clock clock, Consumer<Announcement> listener) {
        this.instances = new InstanceTracker(clock);
        this.listener = listener;
    }

    /**
     * Processes an announcement.
     *
     * @param state        start and phase of the server
     * @param announcement address and capacity of the server; its state is set by this method
     */
    public synchronized void recordAnnouncement(InstanceState state, Announcement announcement) {
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
     */
    public synchronized void recordDeregistration(String instance, Optional<Long> startMillis) {
        if (instances.deregister(instance, startMillis) && last != null) {
            notifyListener();
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
        }
    }

    /**
     * Processes the answer of a healthy server to a probe. It is ignored once the state of the server is known.
     *
     * @param found address and capacity of the server
     */
    public synchronized void recordProbeResult(Announcement found) {
        if (!isKnown()) {
            recordAnnouncement(
                    new InstanceState(found.getInstance(), 0, PROBE_SEQUENCE, InstanceState.Phase.SERVING), found);
        }
    }

    /**
     * Returns whether the state of the server is known.
     *
     * @return {@code true} if it has announced or deregistered itself or answered a probe
     */
    public synchronized boolean isKnown() {
        return instances.current().isPresent();
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
