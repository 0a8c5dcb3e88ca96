package io.mustardusher.call;

import com.codahale.metrics.MetricRegistry;

/**
 * The memory of a node for what it holds for callers and servers. It is divided, so that no use displaces another: long
 * bodies do not keep short ones out, and requests none of the responses.
 */
public final class NodeMemory {

    /** Part of the heap that is held for callers and servers, if the settings do not say otherwise. */
    public static final double DEFAULT_HEAP_SHARE = 0.45;

    private static final double SHORT_BODIES = 0.2;
    private static final double LONG_BODIES = 0.2;
    private static final double RESPONSES = 0.45;

    private final BodyMemory shortBodies;
    private final BodyMemory longBodies;
    private final BodyMemory responses;
    private final long transferBytes;

    /**
     * Creates a memory that is not used.
     *
     * @param bytes its size, in bytes
     */
    public NodeMemory(long bytes) {
        shortBodies = part(bytes, SHORT_BODIES);
        longBodies = part(bytes, LONG_BODIES);
        responses = part(bytes, RESPONSES);
        transferBytes = (long) (bytes * (1 - SHORT_BODIES - LONG_BODIES - RESPONSES));
    }

    /**
     * Creates the memory of this process.
     *
     * @param heapShare part of the heap
     * @return the memory
     */
    public static NodeMemory ofHeap(double heapShare) {
        return new NodeMemory((long) (Runtime.getRuntime().maxMemory() * heapShare));
    }

    private static BodyMemory part(long bytes, double share) {
        return new BodyMemory((int) Math.min(Integer.MAX_VALUE, bytes * share));
    }

    /**
     * Registers the metrics of this memory.
     *
     * @param metrics registry of metrics
     */
    public void register(MetricRegistry metrics) {
        metrics.gauge("bodies.reservedBytes", () -> () -> shortBodies.reservedBytes() + longBodies.reservedBytes());
        metrics.gauge("bodies.givenUp", () -> () -> shortBodies.givenUp() + longBodies.givenUp());
        metrics.gauge("responses.reservedBytes", () -> responses::reservedBytes);
        metrics.gauge("responses.givenUp", () -> responses::givenUp);
    }

    /**
     * Returns the memory for heads and short bodies of requests.
     *
     * @return the memory
     */
    public BodyMemory shortBodies() {
        return shortBodies;
    }

    /**
     * Returns the memory for bodies of requests that arrive in parts.
     *
     * @return the memory
     */
    public BodyMemory longBodies() {
        return longBodies;
    }

    /**
     * Returns the memory for responses, from their arrival from a server until another node or a caller has taken them.
     *
     * @return the memory
     */
    public BodyMemory responses() {
        return responses;
    }

    /**
     * Returns the size of the memory for long responses that are arriving from other nodes.
     *
     * @return size in bytes
     */
    public long transferBytes() {
        return transferBytes;
    }
}
