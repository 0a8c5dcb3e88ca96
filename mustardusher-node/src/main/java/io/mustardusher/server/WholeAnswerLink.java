package io.mustardusher.server;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.util.TransportType;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.frame.DeadPeerDetection;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;

/**
 * Exchanges one request at a time on a connection and hands on whole answers only. Netty's codec is used without a
 * client on top: answers must be matched to their requests, and a clean end told from a reset, which clients do not
 * show.
 */
public final class WholeAnswerLink implements ServerLink {

    /** Time allowed to connect, in milliseconds; the server is on the same VM. */
    private static final int CONNECT_MILLIS = 500;

    /** Largest header block of an answer, in bytes. */
    private static final int MAX_HEADER_BYTES = 32 << 10;

    /**
     * Time for which an unused connection is kept, in nanoseconds: half of the shortest usual idle timeout of servers.
     */
    private static final long IDLE_NANOS = 5_000 * Clock.NANOS_PER_MILLI;

    /**
     * Age up to which a connection carries requests that must not run twice, in nanoseconds. A server that closes an
     * idle connection at the same moment would leave the outcome unknown.
     */
    private static final long FRESH_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Time allowed for the answer to a probe, in nanoseconds; a call waits for it. */
    private static final long PROBE_NANOS = 20 * Clock.NANOS_PER_MILLI;

    /** Time by which the server's own word on a deadline may be later than the deadline, in milliseconds. */
    private static final long GRACE_MILLIS = 30;

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final String instance;
    private final ServerDialect dialect;
    private final Consumer<ServerReading> readings;
    private final Clock clock;
    private final Deque<ServerConnection> idle = new ArrayDeque<>();
    private boolean closed;

    private WholeAnswerLink(
            EventLoopGroup group,
            InetSocketAddress address,
            String instance,
            ServerDialect dialect,
            Consumer<ServerReading> readings,
            Clock clock) {
        this.loop = group.next();
        this.address = address;
        this.instance = instance;
        this.dialect = dialect;
        this.readings = readings;
        this.clock = clock;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(TransportType.socketChannelType(group))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES);
                        opened.pipeline().addLast(new HttpClientCodec(config, true, false));
                    }
                });
    }

    /**
     * Returns a factory of links.
     *
     * @param group    event loops
     * @param dialect  what the servers expect and say
     * @param readings told of each server's own load
     * @param clock    source of time
     * @return the factory
     */
    public static Factory factory(
            EventLoopGroup group, ServerDialect dialect, Consumer<ServerReading> readings, Clock clock) {
        return announced -> new WholeAnswerLink(
                group,
                new InetSocketAddress(announced.getHost(), (int) announced.getPort()),
                announced.getInstance(),
                dialect,
                readings,
                clock);
    }

    /**
     * Opens a link to a service that is no backend server.
     *
     * @param group   event loops
     * @param address address of the service
     * @param clock   source of time
     * @return the link; only {@link #exchange} is of use on it
     */
    public static WholeAnswerLink toService(EventLoopGroup group, InetSocketAddress address, Clock clock) {
        WholeAnswerLink link =
                new WholeAnswerLink(group, address, null, ServerDialect.Plain.INSTANCE, reading -> {}, clock);
        DeadPeerDetection.configure(link.bootstrap, TransportType.socketChannelType(group));
        return link;
    }

    /**
     * Sends a request as it is.
     *
     * @param request    the request, with its authority
     * @param leftNanos  time until the whole answer must be there, in nanoseconds
     * @param repeatable whether it does no harm if it is carried out more than once
     * @return the answer; fails with a {@link MustardusherException}, {@link ResultCode#SERVER_UNREACHABLE} if nothing
     *     was sent
     */
    public CompletableFuture<AggregatedHttpResponse> exchange(
            AggregatedHttpRequest request, long leftNanos, boolean repeatable) {
        CompletableFuture<AggregatedHttpResponse> answer = new CompletableFuture<>();
        ServerExchange exchange = ServerExchange.ofPlain(dialect, readings, answer);
        long deadline = clock.nanoTime() + leftNanos;
        loop.execute(() -> begin(exchange, request, deadline, repeatable));
        return answer;
    }

    @Override
    public Exchange send(HttpRequest call, long leftNanos) {
        CompletableFuture<AggregatedHttpResponse> answer = new CompletableFuture<>();
        boolean idempotent = "1".equals(call.headers().get(CallHeaders.IDEMPOTENT));
        ServerExchange exchange = new ServerExchange(dialect, readings, answer);
        long deadline = clock.nanoTime() + leftNanos;
        // Completes on the loop, which alone touches exchanges.
        call.aggregate(loop).whenComplete((whole, failure) -> {
            if (failure != null) {
                exchange.fail(ResultCode.CANCELLED, "the body did not arrive whole");
            } else {
                begin(exchange, whole, deadline, idempotent);
            }
        });
        return Exchange.ofAggregated(answer, () -> loop.execute(exchange::cancel));
    }

    @Override
    public CompletableFuture<Void> probe(String path) {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, path)
                .authority(address.getHostString())
                .build();
        return exchange(AggregatedHttpRequest.of(headers), PROBE_NANOS, true).handle((done, failure) -> null);
    }

    @Override
    public void close() {
        loop.execute(() -> {
            closed = true;
            idle.forEach(ServerConnection::close);
            idle.clear();
        });
    }

    /**
     * Takes a connection back after a whole answer.
     *
     * @param connection the connection
     */
    void giveBack(ServerConnection connection) {
        if (closed) {
            connection.close();
        } else {
            idle.addFirst(connection);
        }
    }

    /**
     * Forgets a connection that has ended.
     *
     * @param connection the connection
     */
    void ended(ServerConnection connection) {
        idle.remove(connection);
    }

    private void begin(ServerExchange exchange, AggregatedHttpRequest whole, long deadline, boolean idempotent) {
        long left = deadline - clock.nanoTime();
        if (exchange.isOver() || left <= 0) {
            exchange.fail(ResultCode.DEADLINE_EXPIRED, "no time left on dispatch");
            return;
        }
        exchange.timeout(
                loop.schedule(exchange::expire, left / Clock.NANOS_PER_MILLI + GRACE_MILLIS, TimeUnit.MILLISECONDS));
        ServerConnection kept = takeIdle(idempotent ? IDLE_NANOS : FRESH_NANOS);
        if (kept != null) {
            kept.send(exchange, whole, instance, left);
            return;
        }
        ChannelFuture opening = bootstrap.connect(address);
        opening.addListener((ChannelFuture opened) -> {
            if (!opened.isSuccess()) {
                exchange.fail(ResultCode.SERVER_UNREACHABLE, "cannot connect to the backend server");
                return;
            }
            ServerConnection connection = new ServerConnection(this, opened.channel(), clock);
            opened.channel().pipeline().addLast(connection);
            long present = deadline - clock.nanoTime();
            if (exchange.isOver() || present <= 0) {
                exchange.fail(ResultCode.DEADLINE_EXPIRED, "no time left on dispatch");
                giveBack(connection);
                return;
            }
            connection.send(exchange, whole, instance, present);
        });
    }

    private ServerConnection takeIdle(long maxIdleNanos) {
        long now = clock.nanoTime();
        while (!idle.isEmpty() && idle.peekLast().isExpired(now, IDLE_NANOS)) {
            idle.removeLast().close();
        }
        ServerConnection newest = idle.peekFirst();
        if (newest == null || newest.isExpired(now, maxIdleNanos)) {
            return null;
        }
        return idle.removeFirst();
    }
}
