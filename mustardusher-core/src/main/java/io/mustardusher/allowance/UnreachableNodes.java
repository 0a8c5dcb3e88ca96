package io.mustardusher.allowance;

import java.util.HashMap;
import java.util.Map;

import io.mustardusher.time.Clock;

/** Nodes that recently did not answer this node, which are not asked again for some time. */
final class UnreachableNodes {

    /** Time for which a node is not asked, in nanoseconds. */
    static final long AVOIDED_NANOS = 2_000 * Clock.NANOS_PER_MILLI;

    private final Clock clock;
    private final Map<NodeProcess, Long> untilNanos = new HashMap<>();

    UnreachableNodes(Clock clock) {
        this.clock = clock;
    }

    void add(NodeProcess node) {
        long now = clock.nanoTime();
        untilNanos.values().removeIf(until -> now - until >= 0);
        untilNanos.put(node, now + AVOIDED_NANOS);
    }

    void remove(NodeProcess node) {
        untilNanos.remove(node);
    }

    boolean contains(NodeProcess node) {
        Long until = untilNanos.get(node);
        return until != null && clock.nanoTime() - until < 0;
    }
}
