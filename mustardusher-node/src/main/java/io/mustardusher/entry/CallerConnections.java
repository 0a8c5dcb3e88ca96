package io.mustardusher.entry;

import java.net.SocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import com.linecorp.armeria.server.ServiceRequestContext;
import io.mustardusher.http.RequestExchange;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.util.concurrent.EventExecutor;

/**
 * Connections of callers and their calls in flight. Detects disconnects at once; the HTTP server reports them to its
 * services only a second later. Callers may pipeline calls, so a connection can have several in flight.
 */
public final class CallerConnections implements Consumer<ChannelPipeline> {

    /** Number of calls in flight on a connection from which no further request is read. */
    static final int MAX_CALLS_IN_FLIGHT = 16;

    /** Connections by the caller's address. */
    private final Map<SocketAddress, Connection> connections = new ConcurrentHashMap<>();

    @Override
    public void accept(ChannelPipeline pipeline) {
        pipeline.addFirst(new DisconnectHandler());
    }

    /**
     * Watches the connection of a call. A connection that is unknown or already closed is not watched.
     *
     * @param caller       address of the caller's side of the connection
     * @param disconnected completed if the caller disconnects
     * @return ends the watch
     */
    Runnable watch(SocketAddress caller, CompletableFuture<Void> disconnected) {
        Connection connection = connections.get(caller);
        if (connection == null) {
            return () -> {};
        }
        connection.add(disconnected);
        return () -> connection.remove(disconnected);
    }

    /**
     * Marks a connection as closing after the response to a call that is watched, unless it has other calls in flight,
     * whose responses would be lost.
     *
     * @param caller address of the caller's side of the connection
     * @return {@code true} if the connection is closing
     */
    boolean closeAfterOnlyCall(SocketAddress caller) {
        Connection connection = connections.get(caller);
        return connection == null || connection.closeAfterOnlyCall();
    }

    /**
     * Returns whether a connection closes after the response to an earlier call, so that no response to a later one
     * reaches the caller.
     *
     * @param caller address of the caller's side of the connection
     * @return {@code true} if it does
     */
    boolean isClosing(SocketAddress caller) {
        Connection connection = connections.get(caller);
        return connection != null && connection.closing;
    }

    /**
     * Returns the exchange of a request that is served by an HTTP server, and watches its connection.
     *
     * @param context context of the request
     * @return the exchange
     */
    RequestExchange exchange(ServiceRequestContext context) {
        return new ServedExchange(context);
    }

    private final class DisconnectHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void channelActive(ChannelHandlerContext context) throws Exception {
            connections.put(context.channel().remoteAddress(), new Connection(context.channel()));
            super.channelActive(context);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) throws Exception {
            Connection connection = connections.remove(context.channel().remoteAddress());
            if (connection != null) {
                connection.calls.forEach(disconnected -> disconnected.complete(null));
            }
            super.channelInactive(context);
        }
    }

    /** A connection of a caller. */
    private static final class Connection {

        private final Channel channel;
        private final Set<CompletableFuture<Void>> calls = ConcurrentHashMap.newKeySet();
        private volatile boolean closing;

        Connection(Channel channel) {
            this.channel = channel;
        }

        synchronized boolean closeAfterOnlyCall() {
            closing |= calls.size() == 1;
            return closing;
        }

        synchronized void add(CompletableFuture<Void> call) {
            calls.add(call);
            if (calls.size() == MAX_CALLS_IN_FLIGHT) {
                channel.config().setAutoRead(false);
            }
        }

        synchronized void remove(CompletableFuture<Void> call) {
            boolean full = calls.size() == MAX_CALLS_IN_FLIGHT;
            if (calls.remove(call) && full) {
                channel.config().setAutoRead(true);
            }
        }
    }

    /** A request that is served by an HTTP server. */
    private final class ServedExchange implements RequestExchange {

        private final ServiceRequestContext context;
        private final CompletableFuture<Void> cancelled = new CompletableFuture<>();
        private final CompletableFuture<Void> ended = new CompletableFuture<>();
        private final boolean unanswerable;

        ServedExchange(ServiceRequestContext context) {
            this.context = context;
            unanswerable = isClosing(context.remoteAddress());
            // The close of the connection is the earliest sign that the caller has disconnected. A single call of a
            // multiplexed connection is cancelled in the context of its request or in the response.
            Runnable unwatch = watch(context.remoteAddress(), cancelled);
            ended.thenRun(unwatch);
            context.whenRequestCancelling().thenRun(() -> cancelled.complete(null));
            context.log().whenComplete().thenRun(() -> ended.complete(null));
        }

        @Override
        public CompletableFuture<Void> cancelled() {
            return cancelled;
        }

        @Override
        public CompletableFuture<Void> ended() {
            return ended;
        }

        @Override
        public boolean isUnanswerable() {
            return unanswerable;
        }

        // A connection without streams closes after the response to one call, which must be the last one in flight.
        @Override
        public void closeAfterResponse() {
            if (context.sessionProtocol().isMultiplex() || closeAfterOnlyCall(context.remoteAddress())) {
                context.initiateConnectionShutdown();
            }
        }

        @Override
        public void responseProduced() {
            ended.complete(null);
        }

        @Override
        public EventExecutor executor() {
            return context.eventLoop();
        }
    }
}
