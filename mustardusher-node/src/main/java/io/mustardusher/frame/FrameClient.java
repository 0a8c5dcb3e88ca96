package io.mustardusher.frame;

import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;

/** Sends requests to other nodes, over one connection per node that is opened on first use. */
public final class FrameClient implements Peers, AutoCloseable {

    /** Timeout for opening a connection, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Number of connections at which one is closed before another is opened. */
    private static final int MAX_CONNECTIONS = 256;

    private final Bootstrap bootstrap;

    /** Event loops that run the connections and the timeouts. */
    private final EventLoopGroup group;

    private final Credential credential;

    private final Map<InetSocketAddress, ChannelFuture> connections = new ConcurrentHashMap<>();

    /** Requests without a reply, by request id. */
    private final Map<Integer, PendingRequest> pendingRequests = new ConcurrentHashMap<>();

    private final AtomicInteger lastRequestId = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param group      event loops
     * @param type       type of the channels
     * @param credential shared secret of the nodes
     * @param traffic    counts the bytes sent and received
     */
    public FrameClient(
            EventLoopGroup group, Class<? extends Channel> type, Credential credential, FrameTraffic traffic) {
        this.group = group;
        this.credential = credential;
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(type)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        opened.pipeline().addLast(traffic, new FrameCodec(), new ReplyHandler());
                    }
                });
        DeadPeerDetection.configure(bootstrap, type);
    }

    @Override
    @SuppressWarnings("unchecked")
    public <A> CompletableFuture<A> request(
            InetSocketAddress address, FrameKind kind, Object message, long timeoutMillis) {
        int requestId = lastRequestId.incrementAndGet();
        CompletableFuture<Object> reply = new CompletableFuture<>();
        PendingRequest pending = new PendingRequest(reply);
        pendingRequests.put(requestId, pending);
        pending.timeout = group.next()
                .schedule(
                        () -> fail(requestId, new TimeoutException("no answer")), timeoutMillis, TimeUnit.MILLISECONDS);
        connection(address).addListener((ChannelFuture opened) -> {
            if (!opened.isSuccess()) {
                fail(requestId, new NotSentException(opened.cause()));
                return;
            }
            pending.channel = opened.channel();
            opened.channel()
                    .writeAndFlush(new Frame(kind, false, requestId, message))
                    .addListener(written -> {
                        if (!written.isSuccess()) {
                            fail(requestId, written.cause());
                        }
                    });
        });
        return (CompletableFuture<A>) reply;
    }

    @Override
    public void close() {
        connections.values().forEach(opened -> opened.channel().close());
    }

    /**
     * Returns the connection to a node, and opens it if there is none.
     *
     * @param address address of the node
     * @return completes when the connection is open
     */
    private ChannelFuture connection(InetSocketAddress address) {
        ChannelFuture existing = connections.get(address);
        if (existing != null) {
            return existing;
        }
        closeConnectionIfFull();
        return connections.computeIfAbsent(address, this::open);
    }

    /**
     * Opens a connection.
     *
     * @param address address of the node
     * @return completes when the connection is open
     */
    private ChannelFuture open(InetSocketAddress address) {
        ChannelFuture opening = bootstrap.connect(address);
        opening.addListener((ChannelFuture opened) -> {
            if (opened.isSuccess()) {
                opened.channel().write(credential.handshake());
                opened.channel().closeFuture().addListener(closed -> {
                    connections.remove(address, opening);
                    failRequestsOf(opened.channel());
                });
            } else {
                group.next().execute(() -> connections.remove(address, opening));
            }
        });
        return opening;
    }

    /** Closes an arbitrary connection if the maximum number is reached. */
    private void closeConnectionIfFull() {
        if (connections.size() < MAX_CONNECTIONS) {
            return;
        }
        connections.values().stream().filter(ChannelFuture::isSuccess).findAny().ifPresent(opened -> opened.channel()
                .close());
    }

    /**
     * Completes a request with a failure, unless it is complete already.
     *
     * @param requestId id of the request
     * @param cause     the failure
     */
    private void fail(int requestId, Throwable cause) {
        PendingRequest pending = pendingRequests.remove(requestId);
        if (pending != null) {
            pending.timeout.cancel(false);
            pending.reply.completeExceptionally(cause);
        }
    }

    private void failRequestsOf(Channel closed) {
        pendingRequests.forEach((requestId, pending) -> {
            if (pending.channel == closed) {
                fail(requestId, new ClosedChannelException());
            }
        });
    }

    /** Completes requests with the replies that arrive on a connection. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<Frame> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            PendingRequest pending = frame.reply() ? pendingRequests.remove(frame.requestId()) : null;
            if (pending != null) {
                pending.timeout.cancel(false);
                pending.reply.complete(frame.message());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** A request without a reply. */
    private static final class PendingRequest {

        private final CompletableFuture<Object> reply;
        private ScheduledFuture<?> timeout;
        private volatile Channel channel;

        PendingRequest(CompletableFuture<Object> reply) {
            this.reply = reply;
        }
    }

    /** Signals that a request was never sent because its connection could not be opened. */
    public static final class NotSentException extends Exception {

        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception.
         *
         * @param cause failure to open the connection
         */
        public NotSentException(Throwable cause) {
            super(cause);
        }
    }
}
