package io.mustardusher.frame;

import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import io.mustardusher.log.NodeLog;
import io.mustardusher.time.Clock;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;

/**
 * Sends requests to other nodes, over one connection per node that is opened on first use and replaced when it carries
 * no more bytes.
 */
public final class FrameClient implements Peers, AutoCloseable {

    /** Timeout for opening a connection, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Number of connections at which one is closed before another is opened. */
    private static final int MAX_CONNECTIONS = 256;

    /**
     * Requests that are sent again over another connection if theirs was silent, because it does no harm if the other
     * node receives them twice. The senders of all others have to find out what became of them.
     */
    private static final Set<FrameKind> REPEATABLE = EnumSet.of(
            FrameKind.GOSSIP,
            FrameKind.PULL,
            FrameKind.GROUP,
            FrameKind.PROBE,
            FrameKind.SUSPECT,
            FrameKind.ROUTES,
            FrameKind.RESUME,
            FrameKind.CANCEL,
            FrameKind.PART);

    private final Bootstrap bootstrap;

    /** Event loops that run the connections and the timeouts. */
    private final EventLoopGroup group;

    private final Credential credential;

    private final FrameTraffic traffic;

    private final Clock clock;

    private final Map<InetSocketAddress, PeerConnections> peers = new ConcurrentHashMap<>();

    /** Requests without a reply, by request id. */
    private final Map<Integer, PendingRequest> pendingRequests = new ConcurrentHashMap<>();

    private final AtomicInteger lastRequestId = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param group      event loops
     * @param type       type of the channels
     * @param credential shared secret of the nodes
     * @param traffic    counts the bytes sent and received, and silent connections
     * @param clock      source of time
     */
    public FrameClient(
            EventLoopGroup group,
            Class<? extends Channel> type,
            Credential credential,
            FrameTraffic traffic,
            Clock clock) {
        this.group = group;
        this.credential = credential;
        this.traffic = traffic;
        this.clock = clock;
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(type)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        DeadPeerDetection.configure(bootstrap, type);
    }

    @Override
    @SuppressWarnings("unchecked")
    public <A> CompletableFuture<A> request(
            InetSocketAddress address, FrameKind kind, Object message, long timeoutMillis) {
        if (kind == FrameKind.RESUME) {
            traffic.recordResumedCall();
        }
        int requestId = nextRequestId();
        CompletableFuture<Object> reply = new CompletableFuture<>();
        PendingRequest pending = new PendingRequest(address, new Frame(kind, false, requestId, message), reply);
        pendingRequests.put(requestId, pending);
        pending.timeout = group.next()
                .schedule(
                        () -> fail(requestId, new TimeoutException("no answer")), timeoutMillis, TimeUnit.MILLISECONDS);
        send(pending);
        return (CompletableFuture<A>) reply;
    }

    @Override
    public void onMalformedAnswer() {
        traffic.recordMalformedAnswer();
    }

    @Override
    public void close() {
        peers.values().stream()
                .map(PeerConnections::currentOrNull)
                .filter(Objects::nonNull)
                .forEach(connection -> connection.channel().close());
    }

    // The id 0 belongs to pings.
    private int nextRequestId() {
        int id = lastRequestId.incrementAndGet();
        return id == 0 ? lastRequestId.incrementAndGet() : id;
    }

    private void send(PendingRequest pending) {
        FrameConnection connection = connection(pending.address);
        int requestId = pending.request.requestId();
        connection.opening().addListener((ChannelFuture opened) -> {
            if (!opened.isSuccess()) {
                fail(requestId, new NotSentException(opened.cause()));
            } else if (pending.begin(connection)) {
                connection.send(pending.request).addListener(written -> {
                    if (!written.isSuccess()) {
                        fail(requestId, written.cause());
                    }
                });
            }
        });
    }

    /**
     * Returns the connection to a node, and opens it if there is none.
     *
     * @param address address of the node
     * @return the connection, which may still be opening
     */
    private FrameConnection connection(InetSocketAddress address) {
        PeerConnections peer = peers.computeIfAbsent(
                address, key -> new PeerConnections(owner -> open(key, owner), this::recordSilence, clock));
        if (peer.currentOrNull() == null) {
            closeConnectionIfFull();
        }
        return peer.current();
    }

    /**
     * Opens a connection.
     *
     * @param address address of the node
     * @param peer    connections to the node
     * @return the connection, which is opening
     */
    private FrameConnection open(InetSocketAddress address, PeerConnections peer) {
        FrameConnection connection = new FrameConnection(address, peer, clock);
        Bootstrap configured = bootstrap.clone().handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(traffic, connection, new FrameCodec(), new ReplyHandler());
            }
        });
        ChannelFuture opening = configured.connect(address);
        connection.setOpening(opening);
        opening.addListener((ChannelFuture opened) -> {
            if (opened.isSuccess()) {
                opened.channel().write(credential.handshake());
                opened.channel().closeFuture().addListener(closed -> {
                    peer.closed(connection);
                    failRequestsOf(connection);
                });
                peer.opened(connection);
            } else {
                group.next().execute(() -> peer.closed(connection));
            }
        });
        return connection;
    }

    /** Closes a connection if the maximum number is reached, preferably one without requests. */
    private void closeConnectionIfFull() {
        List<FrameConnection> open = peers.values().stream()
                .map(PeerConnections::currentOrNull)
                .filter(connection -> connection != null && connection.opening().isSuccess())
                .toList();
        if (open.size() >= MAX_CONNECTIONS) {
            open.stream()
                    .min(Comparator.comparingInt(FrameConnection::outstanding))
                    .ifPresent(connection -> connection.channel().close());
        }
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
            pending.end();
            pending.reply.completeExceptionally(cause);
        }
    }

    private void failRequestsOf(FrameConnection closed) {
        pendingRequests.forEach((requestId, pending) -> {
            if (!pending.isSentOn(closed)) {
                return;
            }
            if (closed.isSilent() && REPEATABLE.contains(pending.request.kind())) {
                send(pending);
            } else {
                fail(requestId, new ClosedChannelException());
            }
        });
    }

    private void recordSilence(FrameConnection connection) {
        traffic.recordSilentConnection();
        NodeLog.LOG.connectionSilent(
                connection.address().toString(), connection.silentMillis(), connection.outstanding());
    }

    /** Completes requests with the replies that arrive on a connection. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<Frame> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            PendingRequest pending = frame.reply() ? pendingRequests.remove(frame.requestId()) : null;
            if (pending != null) {
                pending.end();
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

        private final InetSocketAddress address;
        private final Frame request;
        private final CompletableFuture<Object> reply;
        private ScheduledFuture<?> timeout;
        private boolean ended;

        /** Connection on which the request was sent last; {@code null} before. */
        private FrameConnection connection;

        PendingRequest(InetSocketAddress address, Frame request, CompletableFuture<Object> reply) {
            this.address = address;
            this.request = request;
            this.reply = reply;
        }

        synchronized boolean isSentOn(FrameConnection other) {
            return connection == other;
        }

        // Returns whether the request is still to be sent.
        synchronized boolean begin(FrameConnection chosen) {
            if (!ended) {
                connection = chosen;
                chosen.recordStart();
            }
            return !ended;
        }

        synchronized void end() {
            ended = true;
            timeout.cancel(false);
            if (connection != null) {
                connection.recordEnd();
            }
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
