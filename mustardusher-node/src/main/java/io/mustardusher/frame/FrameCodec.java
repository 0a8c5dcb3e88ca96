package io.mustardusher.frame;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Writes and reads frames: four bytes of length, one of kind, one that marks an answer, four of number, and the message
 * as a MessagePack array in the order of its schema. A frame that is malformed or too large closes its connection.
 */
public final class FrameCodec extends ByteToMessageCodec<Frame> {

    /** Largest frame, in bytes. */
    public static final int MAX_BYTES = 1 << 20;

    /** Bytes of the length. */
    private static final int LENGTH_BYTES = Integer.BYTES;

    /** Bytes before the message, the length left out. */
    private static final int HEADER_BYTES = 2 + Integer.BYTES;

    /** Writes and reads messages. */
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .setAnnotationIntrospector(new JsonArrayFormat())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /**
     * Creates a codec.
     */
    public FrameCodec() {
        super(Frame.class);
    }

    /**
     * Returns the length of a message as it travels.
     *
     * @param message the message
     * @return bytes of the whole frame
     */
    public static int sizeOf(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message).length + LENGTH_BYTES + HEADER_BYTES;
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
        out.writeInt(frame.number());
        try (OutputStream stream = new ByteBufOutputStream(out)) {
            MAPPER.writeValue(stream, frame.message());
        }
        int length = out.writerIndex() - start - LENGTH_BYTES;
        if (length > MAX_BYTES) {
            throw new CorruptedFrameException("frame of " + length + " bytes");
        }
        out.setInt(start, length);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws IOException {
        if (in.readableBytes() < LENGTH_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length < HEADER_BYTES || length > MAX_BYTES) {
            in.skipBytes(in.readableBytes());
            throw new CorruptedFrameException("frame of " + length + " bytes");
        }
        if (in.readableBytes() < LENGTH_BYTES + length) {
            return;
        }
        in.skipBytes(LENGTH_BYTES);
        out.add(read(in.readSlice(length)));
    }

    /**
     * Reads a frame.
     *
     * @param bytes the frame without its length
     * @return the frame
     * @throws IOException if the message does not fit its kind
     */
    private static Frame read(ByteBuf bytes) throws IOException {
        int kind = bytes.readUnsignedByte();
        FrameKind[] kinds = FrameKind.values();
        if (kind >= kinds.length) {
            throw new CorruptedFrameException("frame of kind " + kind);
        }
        boolean reply = bytes.readBoolean();
        int number = bytes.readInt();
        Class<?> type = reply ? kinds[kind].answer() : kinds[kind].question();
        try (InputStream stream = new ByteBufInputStream(bytes)) {
            return new Frame(kinds[kind], reply, number, MAPPER.readValue(stream, type));
        }
    }
}
