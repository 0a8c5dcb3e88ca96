package io.mustardusher.evacuation;

import java.util.Optional;

/**
 * A node's copy of the evacuation orders: those of the highest revision received from the table service or from peers.
 * Thread-safe.
 */
public final class EvacuationReplica {

    private EvacuationOrders current = EvacuationOrders.NONE;

    /** Whether this node has ever received an order or the end of one. */
    private boolean everOrdered;

    private volatile Runnable listener = () -> {};

    /**
     * Sets the listener for changes of the evacuated domains.
     *
     * @param onChange called, without a lock, after each change
     */
    public void onChange(Runnable onChange) {
        listener = onChange;
    }

    /**
     * Returns the orders in force.
     *
     * @return the orders; {@link EvacuationOrders#NONE} before the first
     */
    public synchronized EvacuationOrders current() {
        return current;
    }

    /**
     * Puts orders into force unless newer ones are.
     *
     * @param offered orders as read from the table service
     */
    public void offer(EvacuationOrders offered) {
        boolean changed;
        synchronized (this) {
            EvacuationOrders previous = current;
            current = previous.merge(offered);
            changed = !current.domains().equals(previous.domains());
            everOrdered |= changed;
        }
        if (changed) {
            listener.run();
        }
    }

    /**
     * Puts orders of a peer into force unless newer ones are. If this node knows of no orders in a newer revision, its
     * peers have to learn that.
     *
     * @param received orders of the peer
     */
    public void receive(EvacuationOrders received) {
        synchronized (this) {
            everOrdered = true;
        }
        offer(received);
    }

    /**
     * Returns the orders to send to peers.
     *
     * @return the orders, or empty if there never was one
     */
    public synchronized Optional<EvacuationOrders> toSend() {
        return everOrdered ? Optional.of(current) : Optional.empty();
    }
}
