package io.mustardusher.frame;

import java.io.IOException;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;

/**
 * Encodes and decodes frames. A frame consists of four bytes for its length, one for its kind, one that is 1 in replies
 * and 0 in requests, four for the request id, and the message as a MessagePack array in the order of its schema. A
 * frame that is malformed or too large closes its connection.
 */
public final class FrameCodec extends ByteToMessageCodec<Frame> {

    /** Maximum length of a frame without the length field, in bytes. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    /** Size of the length field, in bytes. */
    private static final int LENGTH_BYTES = Integer.BYTES;

    /** Size of the fields between the length and the message, in bytes. */
    private static final int HEADER_BYTES = 2 + Integer.BYTES;

    /**
     * Creates a codec.
     */
    public FrameCodec() {
        super(Frame.class);
    }

    /**
     * Returns the size of the frame that holds a message.
     *
     * @param message the message
     * @return size of the frame with its length field, in bytes
     */
    public static int sizeOf(Object message) {
        ByteBuf encoded = Unpooled.buffer();
        try {
            MessageCodec.of(message.getClass()).encode(message, encoded);
            return encoded.readableBytes() + LENGTH_BYTES + HEADER_BYTES;
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) throws IOException {
        int start = out.writerIndex();
        out.writeInt(0);
        out.writeByte(frame.kind().ordinal());
        out.writeBoolean(frame.reply());
        out.writeInt(frame.requestId());
        frame.kind().codec(frame.reply()).encode(frame.message(), out);
        int length = out.writerIndex() - start - LENGTH_BYTES;
        if (length > MAX_FRAME_BYTES) {
            throw new CorruptedFrameException("invalid frame length: " + length + " bytes");
        }
        out.setInt(start, length);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws IOException {
        if (in.readableBytes() < LENGTH_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
            in.skipBytes(in.readableBytes());
            throw new CorruptedFrameException("invalid frame length: " + length + " bytes");
        }
        if (in.readableBytes() < LENGTH_BYTES + length) {
            return;
        }
        in.skipBytes(LENGTH_BYTES);
        out.add(decode(in.readSlice(length)));
    }

    /**
     * Decodes a frame.
     *
     * @param bytes the frame without its length field
     * @return the frame
     * @throws IOException if the message does not have the type that its kind requires
     */
    private static Frame decode(ByteBuf bytes) throws IOException {
        int kind = bytes.readUnsignedByte();
        FrameKind[] kinds = FrameKind.values();
        if (kind >= kinds.length) {
            throw new CorruptedFrameException("unknown frame kind: " + kind);
        }
        boolean reply = bytes.readBoolean();
        int requestId = bytes.readInt();
        return new Frame(kinds[kind], reply, requestId, kinds[kind].codec(reply).decode(bytes));
    }
}
