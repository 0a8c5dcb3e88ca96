package io.mustardusher.routing;

/** What the calls of one route move over the network, and so what it costs to serve them in another failure domain. */
public final class Transfer {

    /** Cost of leaving the failure domain with an empty call, in service times. */
    private static final double BASE_COST = 0.15;

    /** Further cost of each kilobyte that goes there and back, in service times. */
    private static final double KILOBYTE_COST = 0.4;

    /** Most that distance costs, in service times: a server with a queue of two calls for each slot is worse. */
    private static final double MAX_COST = 2.2;

    /** Cost up to which a call goes elsewhere only to begin at once. */
    private static final double LIGHT_COST = 2;

    /** Gates that may send a call on to a better one; the next one has to take it. */
    private static final int MOVES = 3;

    private static final double WEIGHT = 0.1;
    private static final double KILOBYTE = 1_000;

    private double bytes;

    /**
     * Learns from a call.
     *
     * @param moved bytes of its request and its answer
     */
    public synchronized void moved(long moved) {
        bytes = bytes == 0 ? moved : bytes + WEIGHT * (moved - bytes);
    }

    /**
     * Returns the cost of leaving the failure domain.
     *
     * @return cost in service times
     */
    public synchronized double cost() {
        return Math.min(MAX_COST, BASE_COST + KILOBYTE_COST * bytes / KILOBYTE);
    }

    /**
     * Tells whether a gate may send a call on to another one.
     *
     * @param attempt number of the send, from 1
     * @return {@code true} if it may
     */
    public boolean mayMove(int attempt) {
        return attempt <= MOVES && isLight();
    }

    /**
     * Tells whether calls are light enough to move for a small gain.
     *
     * @return {@code true} if they are
     */
    public boolean isLight() {
        return cost() < LIGHT_COST;
    }
}
