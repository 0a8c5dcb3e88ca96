package io.mustardusher.call;

import java.util.ArrayList;
import java.util.List;

import com.linecorp.armeria.common.HttpData;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Bytes of a body that arrives in parts. They are kept in blocks, because an array for each part takes many times the
 * memory of its bytes if the parts are small. Not thread-safe.
 */
public final class BodyBuffer {

    /** Largest block that is allocated for parts that are smaller, in bytes. */
    private static final int MAX_SPARE_BLOCK_BYTES = 64 << 10;

    private final List<byte[]> blocks = new ArrayList<>();

    /** Number of bytes in the last block. */
    private int used;

    private int length;

    /**
     * Returns the number of bytes.
     *
     * @return length of the body so far, in bytes
     */
    public int length() {
        return length;
    }

    /**
     * Returns the memory that a part would take beyond what is allocated.
     *
     * @param added length of the part, in bytes
     * @return additional memory, in bytes
     */
    public int additionalBytes(int added) {
        int beyond = added - free();
        // Doubling keeps the number of blocks small, and the memory below twice the length of the body.
        return beyond <= 0 ? 0 : Math.max(beyond, Math.min(length, MAX_SPARE_BLOCK_BYTES));
    }

    /**
     * Adds a part.
     *
     * @param part the part; it is not consumed
     */
    public void add(ByteBuf part) {
        int added = part.readableBytes();
        int additional = additionalBytes(added);
        int first = Math.min(added, free());
        if (first > 0) {
            part.getBytes(part.readerIndex(), last(), used, first);
            used += first;
        }
        if (additional > 0) {
            byte[] block = new byte[additional];
            blocks.add(block);
            used = added - first;
            part.getBytes(part.readerIndex() + first, block, 0, used);
        }
        length += added;
    }

    /**
     * Returns the whole body as one array.
     *
     * @return the bytes; not a copy if the body is a single block
     */
    public byte[] toArray() {
        if (blocks.size() == 1 && free() == 0) {
            return last();
        }
        byte[] whole = new byte[length];
        asByteBuf().getBytes(0, whole);
        return whole;
    }

    /**
     * Returns the whole body without a copy.
     *
     * @return the bytes
     */
    public HttpData toData() {
        return blocks.size() <= 1 && free() == 0 ? HttpData.wrap(toArray()) : HttpData.wrap(asByteBuf());
    }

    /** Removes all bytes. */
    public void clear() {
        blocks.clear();
        used = 0;
        length = 0;
    }

    private ByteBuf asByteBuf() {
        return Unpooled.wrappedBuffer(blocks.toArray(new byte[0][])).slice(0, length);
    }

    private int free() {
        return blocks.isEmpty() ? 0 : last().length - used;
    }

    private byte[] last() {
        return blocks.get(blocks.size() - 1);
    }
}
