package io.mustardusher.server;

import com.linecorp.armeria.common.HttpData;
import io.mustardusher.call.BodyBuffer;
import io.mustardusher.call.BodyMemory;
import io.netty.buffer.ByteBuf;

/** Body of a response that is held until it is complete, within the limits of one response and of all together. */
final class ResponseBuffer {

    /** Maximum size of one body, in bytes: an eighth of a node's heap. */
    static final int MAX_BODY_BYTES = 8 << 20;

    private final BodyMemory.Share memory;
    private final int maxBytes;
    private final BodyBuffer body = new BodyBuffer();

    /**
     * Creates an empty buffer.
     *
     * @param budget memory that all buffers of a server share
     */
    ResponseBuffer(Budget budget) {
        this.memory = budget.memory.open();
        this.maxBytes = budget.maxBytes;
    }

    /**
     * Adds a part of the body.
     *
     * @param bytes the part; it is not consumed
     * @return {@code false} if there is no room for it, so that the response has to be given up
     */
    boolean add(ByteBuf bytes) {
        int added = bytes.readableBytes();
        int additional = body.additionalBytes(added);
        if (isExceededBy(added) || !memory.reserve(additional)) {
            return false;
        }
        body.add(bytes);
        return true;
    }

    /**
     * Returns whether a part would make the body longer than one may be that is held.
     *
     * @param added length of the part, in bytes
     * @return {@code true} if it would, {@code false} if there may only be no memory for it
     */
    boolean isExceededBy(int added) {
        return added > maxBytes - body.length();
    }

    /**
     * Returns the body so far, which keeps its memory.
     *
     * @return the body
     */
    HttpData take() {
        byte[] taken = body.toArray();
        body.clear();
        return HttpData.wrap(taken);
    }

    /**
     * Releases the memory beyond what a stream needs.
     *
     * @param needed memory that the stream needs, in bytes
     */
    void shrinkTo(int needed) {
        memory.release(Math.max(0, memory.bytes() - needed));
    }

    /**
     * Returns the body and releases the memory.
     *
     * @return the body
     */
    HttpData complete() {
        byte[] whole = body.toArray();
        release();
        return HttpData.wrap(whole);
    }

    /** Releases the memory. */
    void release() {
        memory.release();
        body.clear();
    }

    /** Memory for the bodies of all responses that are arriving from a server. */
    static final class Budget {

        /** Size of a budget of its own, in bytes: a quarter of a node's heap. */
        static final int BYTES = 16 << 20;

        private final BodyMemory memory;
        private final int maxBytes;

        /** Creates a budget that is not used. */
        Budget() {
            this(new BodyMemory(BYTES), MAX_BODY_BYTES);
        }

        /**
         * Creates a budget within a memory.
         *
         * @param memory   the memory, which others may use too
         * @param maxBytes maximum size of one body, in bytes
         */
        Budget(BodyMemory memory, int maxBytes) {
            this.memory = memory;
            this.maxBytes = maxBytes;
        }

        /**
         * Returns the memory in use.
         *
         * @return bytes that are reserved
         */
        int reservedBytes() {
            return memory.reservedBytes();
        }
    }
}
