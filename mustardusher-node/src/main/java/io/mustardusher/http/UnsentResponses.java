package io.mustardusher.http;

import io.mustardusher.call.BodyMemory;

/** Responses of a connection that are complete and not sent. Confined to the event loop of the connection. */
final class UnsentResponses {

    /** Size of the responses from which no further request is handled, in bytes. */
    private static final int LARGE_BYTES = 64 << 10;

    private final BodyMemory.Share memory;
    private int bytes;

    /**
     * Creates a set without responses.
     *
     * @param memory memory for the responses of all connections
     * @param giveUp closes the connection, when others need the memory
     */
    UnsentResponses(BodyMemory memory, Runnable giveUp) {
        this.memory = memory.open(giveUp);
    }

    /**
     * Adds a response, or a part of one.
     *
     * @param length memory that it takes, in bytes
     * @return {@code false} if there is no room for it
     */
    boolean add(int length) {
        bytes += length;
        return memory.reserve(length);
    }

    /**
     * Removes a response that was sent, or a part of one.
     *
     * @param length memory that it took, in bytes
     */
    void remove(int length) {
        bytes -= length;
        memory.release(length);
    }

    /**
     * Returns whether the caller has to take responses before it gets more.
     *
     * @return {@code true} if much is not sent
     */
    boolean isLarge() {
        return bytes > LARGE_BYTES;
    }

    /** Releases the memory, because the connection is closed. */
    void release() {
        memory.release();
    }
}
