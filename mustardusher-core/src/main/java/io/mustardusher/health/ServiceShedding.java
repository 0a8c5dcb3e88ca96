package io.mustardusher.health;

import java.util.HashMap;
import java.util.Map;

import io.mustardusher.membership.NodeId;
import io.mustardusher.time.Clock;

/**
 * Detects that a service refuses calls as a whole: the majority of the servers that an entry uses refuse calls although
 * the gates beside them have free slots. This is a state of the service and not a fault of its servers; other servers
 * are no more likely to accept a call. Thread-safe.
 */
public final class ServiceShedding {

    /** Time for which a call counts, in nanoseconds. */
    private static final long WINDOW_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Refusals within the window from which the state may begin. */
    private static final int MIN_REFUSALS = 3;

    /** Fraction of the used servers that must refuse calls for the state to begin. */
    private static final double BEGIN_FRACTION = 0.5;

    /** Fraction of the used servers up to which the state ends. */
    private static final double END_FRACTION = 0.25;

    /** Time in which a call loses half of its weight in the accepted share, in nanoseconds. */
    private static final double HALF_LIFE_NANOS = 1e9;

    /** Accepted share below which a retry is not worth its price, because it would probably be refused as well. */
    private static final double MIN_ACCEPTED_SHARE = 0.25;

    /** Accepted calls that are assumed in addition, because an entry that makes few calls knows little. */
    private static final double ASSUMED_ACCEPTED = 1;

    private final Clock clock;
    private final Listener listener;
    private final Map<NodeId, UsedServer> used = new HashMap<>();
    private double accepted;
    private double refused;
    private long decayedNanos;
    private boolean shedding;

    /**
     * Creates the state of a service that accepts calls.
     *
     * @param clock    source of time
     * @param listener notified when the state begins or ends
     */
    public ServiceShedding(Clock clock, Listener listener) {
        this.clock = clock;
        this.listener = listener;
        this.decayedNanos = clock.nanoTime();
    }

    /**
     * Records that a server accepted a call.
     *
     * @param server node beside the server
     */
    public synchronized void recordAccepted(NodeId server) {
        decay();
        accepted++;
        UsedServer use = used.computeIfAbsent(server, node -> new UsedServer());
        use.usedNanos = clock.nanoTime();
        update();
    }

    /**
     * Records that a server refused a call although the gate beside it had free slots.
     *
     * @param server node beside the server
     */
    public synchronized void recordRefused(NodeId server) {
        decay();
        refused++;
        UsedServer use = used.computeIfAbsent(server, node -> new UsedServer());
        use.usedNanos = clock.nanoTime();
        use.refusedNanos = use.usedNanos;
        use.refusals++;
        update();
    }

    /**
     * Returns whether the service refuses calls as a whole.
     *
     * @return {@code true} if it does
     */
    public synchronized boolean isShedding() {
        update();
        return shedding;
    }

    /**
     * Returns whether a call that a server refused is worth a retry.
     *
     * @return {@code false} if the service refuses calls as a whole and accepts few of them
     */
    public synchronized boolean isRetryWorthwhile() {
        update();
        return !shedding
                || (accepted + ASSUMED_ACCEPTED) / (accepted + refused + ASSUMED_ACCEPTED) >= MIN_ACCEPTED_SHARE;
    }

    private void decay() {
        long now = clock.nanoTime();
        double factor = Math.pow(0.5, (now - decayedNanos) / HALF_LIFE_NANOS);
        accepted *= factor;
        refused *= factor;
        decayedNanos = now;
    }

    private void update() {
        long now = clock.nanoTime();
        int refusing = 0;
        int refusals = 0;
        used.values().removeIf(server -> now - server.usedNanos > WINDOW_NANOS);
        for (UsedServer server : used.values()) {
            if (now - server.refusedNanos > WINDOW_NANOS) {
                server.refusals = 0;
            }
            refusing += server.refusals > 0 ? 1 : 0;
            refusals += server.refusals;
        }
        boolean previous = shedding;
        shedding = shedding
                ? refusing > END_FRACTION * used.size()
                : refusals >= MIN_REFUSALS && refusing > BEGIN_FRACTION * used.size();
        if (shedding != previous) {
            listener.onChange(shedding, refusing, used.size());
        }
    }

    /** Receives the begin and the end of the state. */
    @FunctionalInterface
    public interface Listener {

        /**
         * Called when the state begins or ends. Must not call the instance.
         *
         * @param shedding whether the service refuses calls as a whole
         * @param refusing number of servers that refused calls within the last second
         * @param used     number of servers that were used within the last second
         */
        void onChange(boolean shedding, int refusing, int used);
    }

    /** A server that received a call within the window. */
    private static final class UsedServer {

        private long usedNanos;
        private long refusedNanos;

        /** Refusals without a pause of the length of the window. */
        private int refusals;
    }
}
