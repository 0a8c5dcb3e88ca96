package io.mustardusher.node;

import java.util.Optional;
import java.util.function.Consumer;

import io.mustardusher.generated.Announcement;
import io.mustardusher.instance.InstanceState;
import io.mustardusher.instance.InstanceTracker;
import io.mustardusher.time.Clock;

/**
 * What is believed of the server beside a node: from its announcements and, before the first of them, from its answer
 * to a question. Announcements are seconds apart, which a node that starts anew beside a running server need not wait.
 */
public final class ServerWatch {

    /** Connections that a server accepts where it does not say: more than a node ever opens. */
    public static final long UNSTATED_CONNECTIONS = 1_000;

    /** Number of what a server answers before its first announcement: lower than those of all announcements. */
    private static final long BEFORE_ANNOUNCEMENTS = -1;

    private final InstanceTracker ledger;
    private final Consumer<Announcement> changes;
    private Announcement last;

    /**
     * Creates a watch that knows nothing.
     *
     * @param clock   source of time
     * @param changes told of each change of what is believed
     */
    public ServerWatch(Clock clock, Consumer<Announcement> changes) {
        this.ledger = new InstanceTracker(clock);
        this.changes = changes;
    }

    /**
     * Takes an announcement.
     *
     * @param seen      start and phase of the server
     * @param announced where it is and how much it can do; its state is set here
     */
    public synchronized void announced(InstanceState seen, Announcement announced) {
        if (ledger.update(seen)) {
            last = announced;
            tell();
        }
    }

    /**
     * Takes the farewell of a server.
     *
     * @param instance name of the server
     * @param born     its start in milliseconds since the epoch, or empty if the farewell does not tell
     */
    public synchronized void left(String instance, Optional<Long> born) {
        if (ledger.deregister(instance, born) && last != null) {
            tell();
        }
    }

    /**
     * Takes the answer of a healthy server that was asked for itself. Once anything was announced, it says nothing new.
     *
     * @param found where the server is and how much it can do
     */
    public synchronized void found(Announcement found) {
        if (!isKnown()) {
            announced(
                    new InstanceState(found.getInstance(), 0, BEFORE_ANNOUNCEMENTS, InstanceState.Phase.SERVING),
                    found);
        }
    }

    /**
     * Tells whether the server has said anything.
     *
     * @return {@code true} if it has announced itself, said farewell or answered
     */
    public synchronized boolean isKnown() {
        return ledger.current().isPresent();
    }

    private void tell() {
        boolean serving = ledger.current()
                .filter(seen -> seen.phase() == InstanceState.Phase.SERVING)
                .isPresent();
        last.setState(serving ? Announcement.State.SERVING : Announcement.State.DRAINING);
        changes.accept(last);
    }
}
