package io.mustardusher.frame;

import java.util.concurrent.atomic.LongAdder;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes sent and received on the connections between nodes. */
@Sharable
public final class FrameTraffic extends ChannelDuplexHandler {

    private final LongAdder sentBytes = new LongAdder();

    private final LongAdder receivedBytes = new LongAdder();

    /**
     * Returns the number of bytes sent since the start of the process.
     *
     * @return number of bytes
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * Returns the number of bytes received since the start of the process.
     *
     * @return number of bytes
     */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            receivedBytes.add(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            sentBytes.add(bytes.readableBytes());
        }
        context.write(message, promise);
    }
}
