package io.mustardusher.routing;

/**
 * Cost of sending the calls of one route to another failure domain, estimated from the average number of bytes that
 * their requests and answers transfer.
 */
public final class TransferCost {

    /** Cost of sending an empty call to another failure domain, in service times. */
    private static final double BASE_COST = 0.15;

    /** Additional cost of each kilobyte of request and answer, in service times. */
    private static final double COST_PER_KILOBYTE = 0.4;

    /**
     * Upper bound of the cost, in service times. A server that has a queue of two calls per slot is a worse choice than
     * an idle one in another failure domain.
     */
    private static final double MAX_COST = 2.2;

    /**
     * Average size of request and answer from which a call is large, in bytes. The bytes of one in another failure
     * domain cost as much as an answer is worth, or more.
     */
    private static final double LARGE_BYTES = 16_000;

    /** Cost below which a call may be rerouted merely to start without waiting. */
    private static final double LIGHT_COST_LIMIT = 2;

    /** Number of gates that may reject a call in favour of a faster server; the next gate has to accept it. */
    private static final int MAX_REROUTES = 3;

    /** Weight of the latest call in the average. */
    private static final double SMOOTHING_WEIGHT = 0.1;

    private static final double BYTES_PER_KILOBYTE = 1_000;

    private double averageBytes;

    /**
     * Adds a call to the average.
     *
     * @param bytes size of its request and answer, in bytes
     */
    public synchronized void recordCall(long bytes) {
        averageBytes = averageBytes == 0 ? bytes : averageBytes + SMOOTHING_WEIGHT * (bytes - averageBytes);
    }

    /**
     * Returns the cost of sending a call to another failure domain.
     *
     * @return cost in service times
     */
    public synchronized double cost() {
        return Math.min(MAX_COST, costOfBytes());
    }

    /**
     * Returns the cost of sending a call to another failure domain, without an upper bound.
     *
     * @return cost in service times
     */
    synchronized double costOfBytes() {
        return BASE_COST + COST_PER_KILOBYTE * averageBytes / BYTES_PER_KILOBYTE;
    }

    /**
     * Returns the average size of request and answer.
     *
     * @return size in bytes; 0 before the first call
     */
    synchronized double averageBytes() {
        return averageBytes;
    }

    /**
     * Returns the size of the answer to expect of a large call, which its server has to transfer.
     *
     * @return size in bytes; 0 if calls are not large
     */
    public synchronized double largeBytes() {
        return averageBytes >= LARGE_BYTES ? averageBytes : 0;
    }

    /**
     * Returns whether a gate may reject a call so that the entry sends it to another gate.
     *
     * @param attempt number of the attempt, from 1
     * @return {@code true} if the gate may reject it
     */
    public boolean mayReroute(int attempt) {
        return attempt <= MAX_REROUTES && isLight();
    }

    /**
     * Returns whether calls are small enough to be rerouted for a small gain.
     *
     * @return {@code true} if they are
     */
    public boolean isLight() {
        return cost() < LIGHT_COST_LIMIT;
    }
}
