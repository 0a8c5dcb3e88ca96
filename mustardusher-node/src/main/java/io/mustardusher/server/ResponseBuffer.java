package io.mustardusher.server;

import java.util.ArrayList;
import java.util.List;

import com.linecorp.armeria.common.HttpData;
import io.netty.buffer.ByteBuf;

/** Body of a response that is held until it is complete, within the limits of one response and of all together. */
final class ResponseBuffer {

    /** Maximum size of one body, in bytes: an eighth of a node's heap. */
    static final int MAX_BODY_BYTES = 8 << 20;

    private final Budget budget;
    private final List<byte[]> parts = new ArrayList<>();
    private int length;

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
        if (added > MAX_BODY_BYTES - length || !budget.tryReserve(added)) {
            return false;
        }
        byte[] part = new byte[added];
        bytes.getBytes(bytes.readerIndex(), part);
        parts.add(part);
        length += added;
        return true;
    }

    /**
     * Returns the body and releases the memory.
     *
     * @return the body
     */
    HttpData complete() {
        byte[] whole = parts.size() == 1 ? parts.get(0) : join();
        release();
        return HttpData.wrap(whole);
    }

    /** Releases the memory. */
    void release() {
        budget.release(length);
        parts.clear();
        length = 0;
    }

    private byte[] join() {
        byte[] whole = new byte[length];
        int offset = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, whole, offset, part.length);
            offset += part.length;
        }
        return whole;
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
