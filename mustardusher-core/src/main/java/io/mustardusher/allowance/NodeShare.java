package io.mustardusher.allowance;

import io.mustardusher.time.Clock;

/**
 * A node's share of the limit of each account: one part for each node of the deployment, whether reachable or not.
 * Nodes on both sides of a partition use their shares, so a node counts every other one that may be running, and uses
 * the highest number that it or its coordinators have known recently.
 */
final class NodeShare {

    /** Minimum number of nodes assumed until all of them are known; a node that knows fewer may be partitioned. */
    static final int MIN_ASSUMED_MEMBERS = 8;

    /** Time for which a higher number of nodes is remembered at least, in nanoseconds. */
    static final long MEMORY_NANOS = 30_000 * Clock.NANOS_PER_MILLI;

    private final Clock clock;

    /** Number of nodes that this node knows; 0 before its first discovery. */
    private int known;

    /** Highest number since {@link #periodStartNanos}. */
    private long current;

    /** Highest number in the period before. */
    private long previous;

    private long periodStartNanos;

    NodeShare(Clock clock) {
        this.clock = clock;
        this.periodStartNanos = clock.nanoTime();
    }

    /**
     * Sets the number of nodes that this node knows.
     *
     * @param members  number of nodes, including this one and failed ones; 0 before the first discovery
     * @param complete whether the number is that of all nodes, and not only of those met so far
     */
    void update(int members, boolean complete) {
        known = complete || members == 0 ? members : Math.max(MIN_ASSUMED_MEMBERS, members);
        recordTold(known);
    }

    /**
     * Records a number of nodes that another node knows.
     *
     * @param members number of nodes
     */
    void recordTold(long members) {
        rotate();
        current = Math.max(current, members);
    }

    /**
     * Returns the number of nodes that this node knows.
     *
     * @return the number; 0 before the first discovery
     */
    int known() {
        return known;
    }

    /**
     * Returns the number of nodes that the limits are divided by.
     *
     * @return the number; 0 before the first discovery
     */
    long divisor() {
        rotate();
        return known == 0 ? 0 : Math.max(current, previous);
    }

    private void rotate() {
        long now = clock.nanoTime();
        if (now - periodStartNanos >= MEMORY_NANOS) {
            previous = now - periodStartNanos >= 2 * MEMORY_NANOS ? known : current;
            current = known;
            periodStartNanos = now;
        }
    }
}
