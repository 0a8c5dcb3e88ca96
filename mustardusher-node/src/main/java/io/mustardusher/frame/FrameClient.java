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

/** Asks other nodes over one connection for each, opened when first needed and closed when idle. */
public final class FrameClient implements Peers, AutoCloseable {

    /** Time allowed to open a connection, in milliseconds. */
    private static final int CONNECT_MILLIS = 500;

    /** Most connections held open. */
    private static final int MAX_CONNECTIONS = 256;

    /** Opens connections. */
    private final Bootstrap bootstrap;

    /** Event loops, for timeouts. */
    private final EventLoopGroup group;

    private final Credential credential;

    private final Map<InetSocketAddress, ChannelFuture> connections = new ConcurrentHashMap<>();

    /** Questions without an answer, by number. */
    private final Map<Integer, Pending> waiting = new ConcurrentHashMap<>();

    /** Number of the last question. */
    private final AtomicInteger lastNumber = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param group      event loops
     * @param type       type of channels
     * @param credential shared secret
     * @param traffic    counts bytes
     */
    public FrameClient(
            EventLoopGroup group, Class<? extends Channel> type, Credential credential, FrameTraffic traffic) {
        this.group = group;
        this.credential = credential;
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(type)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        opened.pipeline().addLast(traffic, new FrameCodec(), new Receiving());
                    }
                });
        SilentConnections.limit(bootstrap, type);
    }

    @Override
    @SuppressWarnings("unchecked")
    public <A> CompletableFuture<A> ask(
            InetSocketAddress address, FrameKind kind, Object question, long timeoutMillis) {
        int number = lastNumber.incrementAndGet();
        CompletableFuture<Object> answer = new CompletableFuture<>();
        Pending pending = new Pending(answer);
        waiting.put(number, pending);
        pending.limit = group.next()
                .schedule(() -> fail(number, new TimeoutException("no answer")), timeoutMillis, TimeUnit.MILLISECONDS);
        connection(address).addListener((ChannelFuture opened) -> {
            if (!opened.isSuccess()) {
                fail(number, new NotSentException(opened.cause()));
                return;
            }
            pending.channel = opened.channel();
            opened.channel()
                    .writeAndFlush(new Frame(kind, false, number, question))
                    .addListener(written -> {
                        if (!written.isSuccess()) {
                            fail(number, written.cause());
                        }
                    });
        });
        return (CompletableFuture<A>) answer;
    }

    @Override
    public void close() {
        connections.values().forEach(opened -> opened.channel().close());
    }

    /**
     * Finds or opens the connection to a node.
     *
     * @param address its address
     * @return the connection, perhaps still being opened
     */
    private ChannelFuture connection(InetSocketAddress address) {
        ChannelFuture present = connections.get(address);
        if (present != null) {
            return present;
        }
        closeSome();
        return connections.computeIfAbsent(address, this::open);
    }

    /**
     * Opens a connection.
     *
     * @param address address of the node
     * @return the connection being opened
     */
    private ChannelFuture open(InetSocketAddress address) {
        ChannelFuture opening = bootstrap.connect(address);
        opening.addListener((ChannelFuture opened) -> {
            if (opened.isSuccess()) {
                opened.channel().write(credential.greeting());
                opened.channel().closeFuture().addListener(closed -> {
                    connections.remove(address, opening);
                    failAll(opened.channel());
                });
            } else {
                group.next().execute(() -> connections.remove(address, opening));
            }
        });
        return opening;
    }

    /** Closes a connection if too many are open. */
    private void closeSome() {
        if (connections.size() < MAX_CONNECTIONS) {
            return;
        }
        connections.values().stream().filter(ChannelFuture::isSuccess).findAny().ifPresent(opened -> opened.channel()
                .close());
    }

    /**
     * Fails a question.
     *
     * @param number its number
     * @param cause  why
     */
    private void fail(int number, Throwable cause) {
        Pending pending = waiting.remove(number);
        if (pending != null) {
            pending.limit.cancel(false);
            pending.answer.completeExceptionally(cause);
        }
    }

    private void failAll(Channel closed) {
        waiting.forEach((number, pending) -> {
            if (pending.channel == closed) {
                fail(number, new ClosedChannelException());
            }
        });
    }

    /** Receives the answers of one connection. */
    private final class Receiving extends SimpleChannelInboundHandler<Frame> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            Pending pending = frame.reply() ? waiting.remove(frame.number()) : null;
            if (pending != null) {
                pending.limit.cancel(false);
                pending.answer.complete(frame.message());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** A question without an answer. */
    private static final class Pending {

        private final CompletableFuture<Object> answer;
        private ScheduledFuture<?> limit;
        private volatile Channel channel;

        Pending(CompletableFuture<Object> answer) {
            this.answer = answer;
        }
    }

    /** Says that a question never left this node. */
    public static final class NotSentException extends Exception {

        private static final long serialVersionUID = 1L;

        /**
         * Creates a failure.
         *
         * @param cause why nothing was sent
         */
        public NotSentException(Throwable cause) {
            super(cause);
        }
    }
}
