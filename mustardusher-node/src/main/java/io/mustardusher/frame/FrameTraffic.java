package io.mustardusher.frame;

import java.util.concurrent.atomic.LongAdder;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes sent and received on the connections between nodes, and what was done about silent ones. */
@Sharable
public final class FrameTraffic extends ChannelDuplexHandler {

    private final LongAdder sentBytes = new LongAdder();

    private final LongAdder receivedBytes = new LongAdder();

    private final LongAdder silentConnections = new LongAdder();

    private final LongAdder resumedCalls = new LongAdder();

    private final LongAdder malformedAnswers = new LongAdder();

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

    /**
     * Returns the number of connections that were given up because they were silent.
     *
     * @return number of connections since the start of the process
     */
    public long silentConnections() {
        return silentConnections.sum();
    }

    /**
     * Returns the number of calls whose answer was requested over another connection.
     *
     * @return number of calls since the start of the process
     */
    public long resumedCalls() {
        return resumedCalls.sum();
    }

    /**
     * Returns the number of answers that were given up because their headers are malformed.
     *
     * @return number of answers since the start of the process
     */
    public long malformedAnswers() {
        return malformedAnswers.sum();
    }

    /** Counts an answer that is given up because its headers are malformed. */
    void recordMalformedAnswer() {
        malformedAnswers.increment();
    }

    /** Counts a connection that was given up because it was silent. */
    void recordSilentConnection() {
        silentConnections.increment();
    }

    /** Counts a call whose answer is requested over another connection. */
    void recordResumedCall() {
        resumedCalls.increment();
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
