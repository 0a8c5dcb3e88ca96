package io.mustardusher.frame;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.ReadTimeoutHandler;

/** Accepts connections from other nodes and replies to their requests. */
public final class FrameServer implements AutoCloseable {

    private final Map<FrameKind, FrameHandler<Object, Object>> handlers = new EnumMap<>(FrameKind.class);

    private final Credential credential;

    private final FrameTraffic traffic;

    /**
     * Time without a request after which a connection is closed, in seconds. The other side may have given up a silent
     * connection without this side noticing; it opens a new one when it needs one.
     */
    private static final int READ_TIMEOUT_SECONDS = 300;

    /** Called with the fault if a connection is closed because of one. */
    private final Consumer<Throwable> faultListener;

    /** Listening channel; {@code null} before the server is started. */
    private Channel channel;

    /**
     * Creates a server that does not listen yet.
     *
     * @param credential    shared secret of the nodes
     * @param traffic       counts the bytes sent and received
     * @param faultListener called with the fault if a connection is closed because of one
     */
    public FrameServer(Credential credential, FrameTraffic traffic, Consumer<Throwable> faultListener) {
        this.credential = credential;
        this.traffic = traffic;
        this.faultListener = faultListener;
        on(FrameKind.PING, CompletableFuture::<Object>completedFuture);
    }

    /**
     * Sets the handler for requests of a kind.
     *
     * @param kind    the kind
     * @param handler the handler
     * @param <Q>     type of the request
     * @param <A>     type of the reply
     * @return this server
     */
    @SuppressWarnings("unchecked")
    public <Q, A> FrameServer on(FrameKind kind, FrameHandler<Q, A> handler) {
        handlers.put(kind, request -> (CompletableFuture<Object>) handler.handle((Q) request));
        return this;
    }

    /**
     * Starts to listen.
     *
     * @param host  address to bind
     * @param port  port to bind; 0 for any
     * @param group event loops
     * @param type  type of the listening channel
     * @return the bound port
     */
    public int start(String host, int port, EventLoopGroup group, Class<? extends ServerChannel> type) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(type)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accepted.pipeline()
                                .addLast(
                                        traffic,
                                        new IdleTimeout(),
                                        credential.handshakeVerifier(),
                                        new FrameCodec(),
                                        new RequestHandler());
                    }
                });
        DeadPeerDetection.configureAccepted(bootstrap, type);
        channel = bootstrap.bind(host, port).syncUninterruptibly().channel();
        return ((java.net.InetSocketAddress) channel.localAddress()).getPort();
    }

    @Override
    public void close() {
        if (channel != null) {
            channel.close().syncUninterruptibly();
        }
    }

    /** Closes a connection on which nothing has arrived for a long time. */
    private static final class IdleTimeout extends ReadTimeoutHandler {

        IdleTimeout() {
            super(READ_TIMEOUT_SECONDS);
        }

        @Override
        protected void readTimedOut(ChannelHandlerContext context) {
            context.close();
        }
    }

    /** Replies to the requests that arrive on a connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<Frame> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            FrameHandler<Object, Object> handler = handlers.get(frame.kind());
            if (handler == null || frame.reply()) {
                return;
            }
            handler.handle(frame.message()).thenAccept(reply -> {
                if (reply != null) {
                    context.writeAndFlush(new Frame(frame.kind(), true, frame.requestId(), reply));
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            faultListener.accept(cause);
            context.close();
        }
    }
}
