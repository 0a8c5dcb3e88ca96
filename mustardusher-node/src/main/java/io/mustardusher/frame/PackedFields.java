package io.mustardusher.frame;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of a message in the order of its schema. Fields that a message of an earlier version lacks have
 * their default values, and those that a later version adds at the end are skipped.
 */
final class PackedFields implements AutoCloseable {

    private static final int MAX_DEPTH = 4;

    private final MessageUnpacker unpacker;
    private final int size;

    /** Number of fields left, by the depth of the array. */
    private final int[] left = new int[MAX_DEPTH];

    private int depth = -1;

    private PackedFields(byte[] bytes) {
        this.unpacker = MessagePack.newDefaultUnpacker(bytes);
        this.size = bytes.length;
    }

    /**
     * Reads from a buffer.
     *
     * @param in the encoded message; all of it is read
     * @return its fields
     */
    static PackedFields of(ByteBuf in) {
        byte[] bytes = new byte[in.readableBytes()];
        in.readBytes(bytes);
        return new PackedFields(bytes);
    }

    /**
     * Begins an array of fields.
     *
     * @throws IOException if there is none
     */
    void begin() throws IOException {
        if (depth + 1 == MAX_DEPTH) {
            throw new IOException("arrays are nested too deeply");
        }
        int count = unpacker.unpackArrayHeader();
        depth++;
        left[depth] = count;
    }

    /**
     * Ends an array of fields and skips those that were not read.
     *
     * @throws IOException if they are cut short
     */
    void end() throws IOException {
        unpacker.skipValue(left[depth]);
        depth--;
    }

    /**
     * Reads the number of elements of a list that follow.
     *
     * @return number of elements; 0 without the field
     * @throws IOException if the field is no list, or longer than the message
     */
    int list() throws IOException {
        if (isAbsent()) {
            return 0;
        }
        int count = unpacker.unpackArrayHeader();
        if (count > size) {
            throw new IOException("list longer than its message");
        }
        return count;
    }

    /**
     * Reads a text.
     *
     * @return the text, or {@code null} without the field
     * @throws IOException if the field is no text
     */
    String text() throws IOException {
        return isAbsent() ? null : unpacker.unpackString();
    }

    /**
     * Reads a text in a list.
     *
     * @return the text
     * @throws IOException if the element is no text
     */
    String element() throws IOException {
        return unpacker.unpackString();
    }

    /**
     * Returns whether the next field is a nested array, whose fields are to be read with {@link #begin()}.
     *
     * @return {@code true} if it is; {@code false} without the field
     * @throws IOException if the message is cut short
     */
    boolean nested() throws IOException {
        return !isAbsent();
    }

    /**
     * Reads a whole number.
     *
     * @return the number; 0 without the field
     * @throws IOException if the field is no number
     */
    long number() throws IOException {
        return number(0);
    }

    /**
     * Reads a whole number.
     *
     * @param defaultValue value of a field that is missing
     * @return the number
     * @throws IOException if the field is no number
     */
    long number(long defaultValue) throws IOException {
        return isAbsent() ? defaultValue : unpacker.unpackLong();
    }

    /**
     * Reads a truth value.
     *
     * @return the value; {@code false} without the field
     * @throws IOException if the field is no truth value
     */
    boolean flag() throws IOException {
        return !isAbsent() && unpacker.unpackBoolean();
    }

    /**
     * Reads bytes.
     *
     * @return the bytes, or {@code null} without the field
     * @throws IOException if the field is not binary, or longer than the message
     */
    byte[] binary() throws IOException {
        if (isAbsent()) {
            return null;
        }
        int length = unpacker.unpackBinaryHeader();
        if (length > size) {
            throw new IOException("field longer than its message");
        }
        return unpacker.readPayload(length);
    }

    @Override
    public void close() throws IOException {
        unpacker.close();
    }

    private boolean isAbsent() throws IOException {
        if (left[depth] == 0) {
            return true;
        }
        left[depth]--;
        return unpacker.tryUnpackNil();
    }
}
