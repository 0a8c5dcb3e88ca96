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
    private final BodyBuffer body = new BodyBuffer();

    /**
     * Creates an empty buffer.
     *
     * @param budget memory that all buffers of a server share
     */
    ResponseBuffer(Budget budget) {
        this.memory = budget.memory.open();
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
        if (added > MAX_BODY_BYTES - body.length() || !memory.reserve(additional)) {
            return false;
        }
        body.add(bytes);
        return true;
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

        /** Creates a budget that is not used. */
        Budget() {
            this(new BodyMemory(BYTES));
        }

        /**
         * Creates a budget within a memory.
         *
         * @param memory the memory, which others may use too
         */
        Budget(BodyMemory memory) {
            this.memory = memory;
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
