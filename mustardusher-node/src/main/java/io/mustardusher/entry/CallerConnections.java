package io.mustardusher.entry;

import java.net.SocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;

/** Detects disconnects of callers at once; the HTTP server reports them to its services only a second later. */
public final class CallerConnections implements Consumer<ChannelPipeline> {

    /** Futures of the calls in flight on each connection, by the caller's address. */
    private final Map<SocketAddress, Set<CompletableFuture<Void>>> calls = new ConcurrentHashMap<>();

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
        Set<CompletableFuture<Void>> onConnection = calls.get(caller);
        if (onConnection == null) {
            return () -> {};
        }
        onConnection.add(disconnected);
        return () -> onConnection.remove(disconnected);
    }

    private final class DisconnectHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void channelActive(ChannelHandlerContext context) throws Exception {
            calls.put(context.channel().remoteAddress(), ConcurrentHashMap.newKeySet());
            super.channelActive(context);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) throws Exception {
            Set<CompletableFuture<Void>> onConnection =
                    calls.remove(context.channel().remoteAddress());
            if (onConnection != null) {
                onConnection.forEach(disconnected -> disconnected.complete(null));
            }
            super.channelInactive(context);
        }
    }
}
