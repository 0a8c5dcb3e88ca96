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

/** Tells at once which callers have disconnected; the HTTP server tells its services only a second later. */
public final class CallerConnections implements Consumer<ChannelPipeline> {

    private final Map<SocketAddress, Set<CompletableFuture<Void>>> calls = new ConcurrentHashMap<>();

    @Override
    public void accept(ChannelPipeline pipeline) {
        pipeline.addFirst(new Watching());
    }

    /**
     * Watches the connection of a call.
     *
     * @param caller address of the caller's side of the connection
     * @param left   completed if the caller disconnects
     * @return ends the watch
     */
    Runnable watch(SocketAddress caller, CompletableFuture<Void> left) {
        Set<CompletableFuture<Void>> present = calls.get(caller);
        if (present == null) {
            return () -> {};
        }
        present.add(left);
        return () -> present.remove(left);
    }

    private final class Watching extends ChannelInboundHandlerAdapter {

        @Override
        public void channelActive(ChannelHandlerContext context) throws Exception {
            calls.put(context.channel().remoteAddress(), ConcurrentHashMap.newKeySet());
            super.channelActive(context);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) throws Exception {
            Set<CompletableFuture<Void>> left = calls.remove(context.channel().remoteAddress());
            if (left != null) {
                left.forEach(call -> call.complete(null));
            }
            super.channelInactive(context);
        }
    }
}
