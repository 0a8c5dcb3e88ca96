package io.mustardusher.frame;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.mustardusher.generated.Ping;
import io.mustardusher.health.ConnectionSilence;
import io.mustardusher.time.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * A connection to another node, which watches for silence while requests are unanswered. Confined to the event loop of
 * its channel, apart from what is said otherwise.
 */
final class FrameConnection extends ChannelDuplexHandler {

    private final InetSocketAddress address;
    private final PeerConnections peer;
    private final Clock clock;
    private final ConnectionSilence silence = new ConnectionSilence();

    /** Requests on this connection that wait for a reply. */
    private final AtomicInteger outstanding = new AtomicInteger();

    private ChannelFuture opening;
    private boolean checkScheduled;

    /** Whether this connection was replaced; it then carries only the replies to earlier requests. */
    private boolean replaced;

    /** Whether this connection was closed because it was silent. Read by any thread. */
    private volatile boolean silent;

    /** Time at which bytes last arrived, in nanoseconds. */
    private long lastReceivedNanos;

    private long replacedNanos;

    /** Called when bytes arrive for the first time; {@code null} afterwards, or if nobody waits for them. */
    private Consumer<FrameConnection> firstBytesListener;

    FrameConnection(InetSocketAddress address, PeerConnections peer, Clock clock) {
        this.address = address;
        this.peer = peer;
        this.clock = clock;
    }

    void setOpening(ChannelFuture connecting) {
        opening = connecting;
    }

    ChannelFuture opening() {
        return opening;
    }

    InetSocketAddress address() {
        return address;
    }

    Channel channel() {
        return opening.channel();
    }

    // Returns the number of requests that wait for a reply. Called by any thread.
    int outstanding() {
        return outstanding.get();
    }

    // Returns whether this connection was closed because it was silent. Called by any thread.
    boolean isSilent() {
        return silent;
    }

    // Records that a request is about to be sent. Called by any thread.
    void recordStart() {
        outstanding.incrementAndGet();
    }

    // Sends a request.
    ChannelFuture send(Frame request) {
        silence.recordRequest(clock.nanoTime());
        ChannelFuture written = channel().writeAndFlush(request);
        scheduleCheck();
        return written;
    }

    // Records that a request was answered or given up. Called by any thread.
    void recordEnd() {
        outstanding.decrementAndGet();
    }

    // Sends a ping, and calls a listener once when bytes arrive.
    void ping(Consumer<FrameConnection> listener) {
        firstBytesListener = listener;
        silence.recordRequest(clock.nanoTime());
        sendPing();
        scheduleCheck();
    }

    // Marks this connection as replaced. It closes when nothing is outstanding.
    void setReplaced() {
        replaced = true;
        replacedNanos = clock.nanoTime();
    }

    // Returns whether bytes have arrived since this connection was replaced.
    boolean hasRecovered() {
        return lastReceivedNanos - replacedNanos > 0;
    }

    // Closes the connection because it is silent.
    void closeSilent() {
        silent = true;
        channel().close();
    }

    // Returns the time for which nothing has arrived, in milliseconds.
    long silentMillis() {
        return (clock.nanoTime() - lastReceivedNanos) / Clock.NANOS_PER_MILLI;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        lastReceivedNanos = clock.nanoTime();
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        lastReceivedNanos = clock.nanoTime();
        // First, so that requests that are answered by these bytes no longer count.
        context.fireChannelRead(message);
        silence.recordReceived(outstanding.get() > 0, lastReceivedNanos);
        if (firstBytesListener != null) {
            Consumer<FrameConnection> listener = firstBytesListener;
            firstBytesListener = null;
            listener.accept(this);
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            silence.recordSent(bytes.readableBytes());
        }
        context.write(message, promise);
    }

    private void scheduleCheck() {
        if (checkScheduled) {
            return;
        }
        checkScheduled = true;
        long delayNanos = silence.untilNextNanos(peer.patienceNanos(), clock.nanoTime());
        channel().eventLoop().schedule(this::check, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void check() {
        checkScheduled = false;
        if (!channel().isActive()) {
            return;
        }
        if (replaced && outstanding.get() == 0) {
            channel().close();
            return;
        }
        ConnectionSilence.Step step = silence.next(peer.patienceNanos(), clock.nanoTime());
        if (step == ConnectionSilence.Step.PING) {
            sendPing();
        } else if (step == ConnectionSilence.Step.REPLACE) {
            peer.replace(this);
        }
        if (step != ConnectionSilence.Step.NOTHING || replaced) {
            scheduleCheck();
        }
    }

    // Request id 0 belongs to no request, so that the reply is only noticed as bytes.
    private void sendPing() {
        channel().writeAndFlush(new Frame(FrameKind.PING, false, 0, new Ping().withNumber(0L)));
    }
}
