package io.mustardusher.frame;

import java.util.concurrent.atomic.LongAdder;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes of frames. */
@Sharable
public final class FrameTraffic extends ChannelDuplexHandler {

    /** Bytes sent. */
    private final LongAdder sent = new LongAdder();

    /** Bytes received. */
    private final LongAdder received = new LongAdder();

    /**
     * Returns the bytes sent.
     *
     * @return the bytes
     */
    public long sent() {
        return sent.sum();
    }

    /**
     * Returns the bytes received.
     *
     * @return the bytes
     */
    public long received() {
        return received.sum();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            received.add(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            sent.add(bytes.readableBytes());
        }
        context.write(message, promise);
    }
}
