package io.mustardusher.budget;

import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;

import io.mustardusher.time.Clock;

/**
 * A node's part of an allowance that all nodes share. Nodes that start together, or are cut off from each other, know
 * few others and must not take each other's parts: the part is by the most nodes ever known, and none is taken before
 * nodes have had time to meet.
 */
public final class SharedAllowance implements DoubleSupplier {

    /** Time that nodes need to meet after a start, in nanoseconds: eight rounds of gossip. */
    static final long MEETING_NANOS = 2_000 * Clock.NANOS_PER_MILLI;

    /** Nodes assumed at least; one that knows fewer may be cut off from the others. */
    static final int FEWEST_NODES = 8;

    private final Clock clock;
    private final double total;
    private final IntSupplier known;
    private final long startNanos;
    private int most = FEWEST_NODES;

    /**
     * Creates the part of a node that starts now.
     *
     * @param clock source of time
     * @param total allowance of all nodes together
     * @param known counts the nodes that are known, this one included
     */
    public SharedAllowance(Clock clock, double total, IntSupplier known) {
        this.clock = clock;
        this.total = total;
        this.known = known;
        this.startNanos = clock.nanoTime();
    }

    @Override
    public synchronized double getAsDouble() {
        most = Math.max(most, known.getAsInt());
        return clock.nanoTime() - startNanos < MEETING_NANOS ? 0 : total / most;
    }
}
