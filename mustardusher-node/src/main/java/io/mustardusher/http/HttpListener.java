package io.mustardusher.http;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.frame.DeadPeerDetection;
import io.mustardusher.log.LoggedTask;
import io.mustardusher.log.NodeLog;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.time.Clock;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.Future;

/**
 * HTTP/1.1 listener on Netty's codec. It takes a quarter of the processor time that a server framework takes to start,
 * and less than half for each request. All connections belong to one event loop.
 */
public final class HttpListener implements AutoCloseable {

    /** Maximum size of the request line, in bytes. */
    private static final int MAX_REQUEST_LINE_BYTES = 16 << 10;

    /**
     * Maximum size of a header block that is parsed, in bytes. The operator's limit is lower, and the handler rejects
     * what exceeds it.
     */
    private static final int MAX_HEADER_BYTES = 64 << 10;

    /** Sizes of the buffer for one read, in bytes. The largest holds some thousand chunks of one byte. */
    private static final int MIN_READ_BYTES = 64;

    private static final int INITIAL_READ_BYTES = 2 << 10;
    private static final int MAX_READ_BYTES = 16 << 10;

    /** Maximum number of connections that wait to be accepted. */
    private static final int BACKLOG = 1_024;

    /** Interval at which connections are checked for timeouts, in milliseconds. */
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 500;

    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Clock clock;
    private final MetricRegistry metrics;
    private final BodyMemory bodyMemory;
    private final BodyMemory responseMemory;
    private final ReadTurns turns;
    private final List<Channel> listeningChannels = new ArrayList<>();

    /** Open connections. Confined to the event loop. */
    private final Set<HttpConnection> connections = new HashSet<>();

    private Future<?> timeoutChecks;

    /**
     * Creates a listener without addresses, with a memory of its own.
     *
     * @param group   event loops, of which one is used
     * @param clock   source of time
     * @param metrics registry of metrics
     */
    public HttpListener(EventLoopGroup group, Clock clock, MetricRegistry metrics) {
        this(group, BodyMemory.ofNode(), BodyMemory.ofNode(), clock, metrics);
    }

    /**
     * Creates a listener without addresses.
     *
     * @param group          event loops, of which one is used
     * @param bodyMemory     memory for the bodies of requests
     * @param responseMemory memory for the responses that are not sent
     * @param clock          source of time
     * @param metrics        registry of metrics
     */
    public HttpListener(
            EventLoopGroup group,
            BodyMemory bodyMemory,
            BodyMemory responseMemory,
            Clock clock,
            MetricRegistry metrics) {
        this.group = group;
        this.metrics = metrics;
        this.bodyMemory = bodyMemory;
        this.responseMemory = responseMemory;
        this.loop = group.next();
        this.turns = new ReadTurns(loop, clock);
        this.clock = clock;
    }

    /**
     * Starts to listen at an address, in addition to those before.
     *
     * @param address address to bind
     * @param handler handles the requests that arrive there
     * @param limits  supplies the limits on the time to send a header block and on idle connections; a limit of 0 does
     *     not apply
     * @return the bound port
     */
    public synchronized int bind(InetSocketAddress address, RequestHandler handler, Supplier<RequestLimits> limits) {
        if (timeoutChecks == null) {
            timeoutChecks = loop.scheduleWithFixedDelay(
                    new LoggedTask("check of connections", this::checkTimeouts),
                    TIMEOUT_CHECK_INTERVAL_MILLIS,
                    TIMEOUT_CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(Transport.of(group).serverChannelType())
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, createReadBuffers())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        initialize(accepted, handler, limits);
                    }
                });
        DeadPeerDetection.configureCallers(bootstrap, Transport.of(group).serverChannelType());
        Channel bound = bootstrap.bind(address).syncUninterruptibly().channel();
        listeningChannels.add(bound);
        return ((InetSocketAddress) bound.localAddress()).getPort();
    }

    /** Stops listening and closes all connections, also those with requests in flight. */
    @Override
    public synchronized void close() {
        listeningChannels.forEach(channel -> channel.close().syncUninterruptibly());
        loop.submit(() -> {
                    if (timeoutChecks != null) {
                        timeoutChecks.cancel(false);
                    }
                    List.copyOf(connections).forEach(HttpConnection::close);
                })
                .syncUninterruptibly();
    }

    private void initialize(Channel accepted, RequestHandler handler, Supplier<RequestLimits> limits) {
        HttpConnection connection = new HttpConnection(
                accepted, handler, limits, this::recordRejection, bodyMemory, responseMemory, turns, clock);
        connections.add(connection);
        accepted.closeFuture().addListener(closed -> connections.remove(connection));
        connection.addHandlers();
    }

    /**
     * Creates the codec of a connection.
     *
     * @return the codec
     */
    static HttpServerCodec createCodec() {
        return new HttpServerCodec(BoundedHeaders.configure(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)));
    }

    // Reads once a turn, so that no connection keeps the event loop from all others.
    private static RecvByteBufAllocator createReadBuffers() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(1);
    }

    private void recordRejection(HttpResponseStatus status, String cause) {
        metrics.counter("listener.rejected." + status.code()).inc();
        NodeLog.LOG.requestRejected(status.code(), cause);
    }

    private void checkTimeouts() {
        List.copyOf(connections).forEach(HttpConnection::checkTimeouts);
    }
}
