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

/** Accepts frames from other nodes and answers them. */
public final class FrameServer implements AutoCloseable {

    private final Map<FrameKind, FrameHandler<Object, Object>> handlers = new EnumMap<>(FrameKind.class);

    private final Credential credential;

    /** Counts bytes. */
    private final FrameTraffic traffic;

    /** Told of a connection that was closed because of a fault. */
    private final Consumer<Throwable> faults;

    /** Listening channel; {@code null} before the start. */
    private Channel channel;

    /**
     * Creates a server that does not listen yet.
     *
     * @param credential shared secret
     * @param traffic    counts bytes
     * @param faults     told of a connection that was closed because of a fault
     */
    public FrameServer(Credential credential, FrameTraffic traffic, Consumer<Throwable> faults) {
        this.credential = credential;
        this.traffic = traffic;
        this.faults = faults;
    }

    /**
     * Sets the handler of a kind.
     *
     * @param kind    the kind
     * @param handler the handler
     * @param <Q>     type of the question
     * @param <A>     type of the answer
     * @return this server
     */
    @SuppressWarnings("unchecked")
    public <Q, A> FrameServer on(FrameKind kind, FrameHandler<Q, A> handler) {
        handlers.put(kind, question -> (CompletableFuture<Object>) handler.answer((Q) question));
        return this;
    }

    /**
     * Starts to listen.
     *
     * @param host  address to bind
     * @param port  port to bind; 0 for any
     * @param group event loops
     * @param type  type of the listening channel
     * @return the port
     */
    public int start(String host, int port, EventLoopGroup group, Class<? extends ServerChannel> type) {
        channel = new ServerBootstrap()
                .group(group)
                .channel(type)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accepted.pipeline()
                                .addLast(traffic, credential.gatekeeper(), new FrameCodec(), new Answering());
                    }
                })
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
        return ((java.net.InetSocketAddress) channel.localAddress()).getPort();
    }

    @Override
    public void close() {
        if (channel != null) {
            channel.close().syncUninterruptibly();
        }
    }

    /** Answers the questions of one connection. */
    private final class Answering extends SimpleChannelInboundHandler<Frame> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            FrameHandler<Object, Object> handler = handlers.get(frame.kind());
            if (handler == null || frame.reply()) {
                return;
            }
            handler.answer(frame.message()).thenAccept(answer -> {
                if (answer != null) {
                    context.writeAndFlush(new Frame(frame.kind(), true, frame.number(), answer));
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            faults.accept(cause);
            context.close();
        }
    }
}
