package io.mustardusher.http;

import io.mustardusher.call.BodyMemory;

/** Memory of the header block that is arriving on a connection. Confined to the event loop of the connection. */
final class HeadMemory {

    /** Memory that a byte of an incomplete header block takes, in bytes: in the read buffer and as text. */
    private static final int MEMORY_PER_BYTE = 2;

    private final BodyMemory memory;
    private final Runnable giveUp;

    /** Memory of the part that has arrived; {@code null} if there is none. */
    private BodyMemory.Share held;

    /**
     * Creates a memory that holds nothing.
     *
     * @param memory memory for the bodies of requests
     * @param giveUp gives up the header block if there is no memory for it
     */
    HeadMemory(BodyMemory memory, Runnable giveUp) {
        this.memory = memory;
        this.giveUp = giveUp;
    }

    /**
     * Holds a part of a header block that is incomplete.
     *
     * @param bytes length of the part, in bytes
     */
    void hold(int bytes) {
        if (held == null) {
            held = memory.open(giveUp);
        }
        if (!held.reserve(bytes * MEMORY_PER_BYTE)) {
            giveUp.run();
        }
    }

    /** Releases the memory: the header block is complete, or was given up. */
    void release() {
        if (held != null) {
            held.release();
            held = null;
        }
    }
}
