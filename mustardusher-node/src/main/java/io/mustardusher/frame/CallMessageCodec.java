package io.mustardusher.frame;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes {@link CallMessage} without reflection, as the MessagePack array that the other messages are too.
 * Most frames are calls.
 */
final class CallMessageCodec {

    /** Number of elements of the array: the number of the call, its head and its body. */
    private static final int FIELDS = 3;

    /** Size of an encoded number and of the prefixes of array, head and body, in bytes, at most. */
    private static final int OVERHEAD_BYTES = 24;

    private CallMessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @param out     receives the bytes
     * @throws IOException never, as nothing is written but memory
     */
    static void encode(CallMessage message, ByteBuf out) throws IOException {
        byte[] head = message.head();
        int headBytes = head == null ? 0 : head.length;
        try (MessagePacker packer = new MessagePack.PackerConfig()
                .withBufferSize(OVERHEAD_BYTES + headBytes + message.body().length)
                .newPacker(new ByteBufOutputStream(out))) {
            packer.packArrayHeader(FIELDS);
            packer.packLong(message.call());
            if (head == null) {
                packer.packNil();
            } else {
                packer.packBinaryHeader(headBytes).writePayload(head);
            }
            packer.packBinaryHeader(message.body().length).writePayload(message.body());
        }
    }

    /**
     * Decodes a message.
     *
     * @param in the encoded message; all of it is read
     * @return the message
     * @throws IOException if the bytes are no such message
     */
    static CallMessage decode(ByteBuf in) throws IOException {
        byte[] bytes = new byte[in.readableBytes()];
        in.readBytes(bytes);
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackArrayHeader() != FIELDS) {
                throw new IOException("a call has " + FIELDS + " fields");
            }
            long call = unpacker.unpackLong();
            byte[] head = unpacker.tryUnpackNil() ? null : unpackBinary(unpacker, bytes.length);
            return new CallMessage(call, head, unpackBinary(unpacker, bytes.length));
        } catch (MessagePackException e) {
            throw new IOException("malformed call", e);
        }
    }

    private static byte[] unpackBinary(MessageUnpacker unpacker, int limit) throws IOException {
        int length = unpacker.unpackBinaryHeader();
        if (length > limit) {
            throw new IOException("field longer than its frame");
        }
        return unpacker.readPayload(length);
    }
}
