package io.mustardusher.budget;

import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;

import io.mustardusher.time.Clock;

/**
 * A node's share of an allowance that is divided among all nodes. Nodes that start together or are partitioned know
 * only a few of the others, and shares based on that number would add up to more than the total. The total is therefore
 * divided by the highest number of nodes known so far, and the share is 0 until a node has had time to discover others.
 */
public final class SharedAllowance implements DoubleSupplier {

    /** Time that a node needs after its start to discover the others, in nanoseconds: eight rounds of gossip. */
    static final long DISCOVERY_NANOS = 2_000 * Clock.NANOS_PER_MILLI;

    /** Minimum number of nodes assumed; a node that knows fewer may be partitioned from the others. */
    static final int MIN_ASSUMED_NODES = 8;

    private final Clock clock;
    private final double totalAllowance;
    private final IntSupplier knownNodes;
    private final long startNanos;
    private int maxKnownNodes = MIN_ASSUMED_NODES;

    /**
     * Creates the share of a node that starts now.
     *
     * @param clock          source of time
     * @param totalAllowance allowance of all nodes together
     * @param knownNodes     returns the number of known nodes, including this one
     */
    public SharedAllowance(Clock clock, double totalAllowance, IntSupplier knownNodes) {
        this.clock = clock;
        this.totalAllowance = totalAllowance;
        this.knownNodes = knownNodes;
        this.startNanos = clock.nanoTime();
    }

    @Override
    public synchronized double getAsDouble() {
        maxKnownNodes = Math.max(maxKnownNodes, knownNodes.getAsInt());
        return clock.nanoTime() - startNanos < DISCOVERY_NANOS ? 0 : totalAllowance / maxKnownNodes;
    }
}
