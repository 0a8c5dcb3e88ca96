package io.mustardusher.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.mustardusher.call.BodyMemory;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.time.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.DuplexChannel;

/** A connection of a listener without a network: the test is the caller, and advances the time of both. */
public final class CallerChannel {

    private final Clock.Manual clock;
    private final BodyMemory bodyMemory;
    private final HalfClosableChannel channel = new HalfClosableChannel();
    private final HttpConnection connection;
    private final StringBuilder answers = new StringBuilder();
    private final List<String> rejections = new ArrayList<>();

    /**
     * Opens a connection whose listener has the usual memory.
     *
     * @param handler handles the requests
     * @param limits  supplies the limits in force
     * @param clock   clock of the connection
     */
    public CallerChannel(RequestHandler handler, Supplier<RequestLimits> limits, Clock.Manual clock) {
        this(handler, limits, BodyMemory.ofNode(), clock);
    }

    /**
     * Opens a connection.
     *
     * @param handler    handles the requests
     * @param limits     supplies the limits in force
     * @param bodyMemory memory for the bodies of requests
     * @param clock      clock of the connection
     */
    public CallerChannel(
            RequestHandler handler, Supplier<RequestLimits> limits, BodyMemory bodyMemory, Clock.Manual clock) {
        this.clock = clock;
        this.bodyMemory = bodyMemory;
        channel.freezeTime();
        connection = new HttpConnection(
                channel,
                handler,
                limits,
                (status, cause) -> rejections.add(cause),
                bodyMemory,
                BodyMemory.ofNode(),
                new ReadTurns(channel.eventLoop(), clock),
                clock);
        connection.addHandlers();
    }

    /** Returns whether the listener reads what is sent, at once or in its turn; it must not be sent otherwise. */
    public boolean isReading() {
        return connection.isReading();
    }

    /** Returns the causes of the rejections that the listener reported. */
    public List<String> rejections() {
        return rejections;
    }

    public boolean isOpen() {
        return channel.isOpen();
    }

    /** Returns whether the listener has ended its side of the connection, but still reads. */
    public boolean isOutputShutdown() {
        return channel.outputShutdown;
    }

    public void send(String text) {
        send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    public void send(byte[] bytes) {
        if (channel.isOpen()) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes));
        }
    }

    public void disconnect() {
        channel.close();
    }

    /** Lets time pass, and has the listener check its limits as it does regularly. */
    public void pass(long millis) {
        clock.advanceMillis(millis);
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
        if (channel.isOpen()) {
            connection.checkTimeouts();
        }
        channel.runPendingTasks();
    }

    /** Returns all that the listener has sent so far. */
    public String answers() {
        channel.runPendingTasks();
        for (ByteBuf next = channel.readOutbound(); next != null; next = channel.readOutbound()) {
            answers.append(next.toString(StandardCharsets.ISO_8859_1));
            next.release();
        }
        return answers.toString();
    }

    private static final class HalfClosableChannel extends EmbeddedChannel implements DuplexChannel {

        private boolean outputShutdown;

        @Override
        public boolean isInputShutdown() {
            return !isOpen();
        }

        @Override
        public boolean isOutputShutdown() {
            return outputShutdown || !isOpen();
        }

        @Override
        public boolean isShutdown() {
            return !isOpen();
        }

        @Override
        public ChannelFuture shutdownOutput() {
            return shutdownOutput(newPromise());
        }

        @Override
        public ChannelFuture shutdownOutput(ChannelPromise promise) {
            outputShutdown = true;
            return promise.setSuccess();
        }

        @Override
        public ChannelFuture shutdownInput() {
            throw new UnsupportedOperationException();
        }

        @Override
        public ChannelFuture shutdownInput(ChannelPromise promise) {
            throw new UnsupportedOperationException();
        }

        @Override
        public ChannelFuture shutdown() {
            return close();
        }

        @Override
        public ChannelFuture shutdown(ChannelPromise promise) {
            return close(promise);
        }
    }
}
