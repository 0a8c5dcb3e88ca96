package io.mustardusher.server;

import com.linecorp.armeria.common.HttpData;
import io.mustardusher.call.BodyBuffer;
import io.netty.buffer.ByteBuf;

/** Body of a response that is held until it is complete, within the limits of one response and of all together. */
final class ResponseBuffer {

    /** Maximum size of one body, in bytes: an eighth of a node's heap. */
    static final int MAX_BODY_BYTES = 8 << 20;

    private final Budget budget;
    private final BodyBuffer body = new BodyBuffer();

    /** Memory that is reserved for the body, in bytes. */
    private int reserved;

    /**
     * Creates an empty buffer.
     *
     * @param budget memory that all buffers of a server share
     */
    ResponseBuffer(Budget budget) {
        this.budget = budget;
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
        if (added > MAX_BODY_BYTES - body.length() || !budget.tryReserve(additional)) {
            return false;
        }
        reserved += additional;
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
        budget.release(reserved);
        reserved = 0;
        body.clear();
    }

    /** Memory for the bodies of all responses that are arriving from a server. Confined to an event loop. */
    static final class Budget {

        /** Size of the budget, in bytes: a quarter of a node's heap. */
        static final int BYTES = 16 << 20;

        private int reserved;

        private boolean tryReserve(int bytes) {
            if (bytes > BYTES - reserved) {
                return false;
            }
            reserved += bytes;
            return true;
        }

        private void release(int bytes) {
            reserved -= bytes;
        }

        /**
         * Returns the memory in use.
         *
         * @return bytes that are reserved
         */
        int reservedBytes() {
            return reserved;
        }
    }
}
