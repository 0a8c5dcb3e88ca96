package io.mustardusher.server;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.BodyCollector;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.NodeMemory;
import io.mustardusher.frame.DeadPeerDetection;
import io.mustardusher.http.BoundedHeaders;
import io.mustardusher.http.Transport;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.mustardusher.time.GraceTime;
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
 * Buffers responses and passes on only complete ones; each connection carries one request at a time. Uses Netty's codec
 * directly, because HTTP clients neither let their users match responses to requests nor distinguish an orderly close
 * of a connection from a reset.
 */
public final class BufferedServerLink implements ServerLink {

    /** Short, because the backend server runs on the same VM. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Maximum size of the headers of a response, in bytes. */
    private static final int MAX_HEADER_BYTES = 32 << 10;

    /** Time for which an idle connection is kept: half of the shortest common idle timeout of servers. */
    private static final long MAX_IDLE_NANOS = 5_000 * Clock.NANOS_PER_MILLI;

    /**
     * Idle time up to which a connection is reused for requests that are not idempotent. It is shorter because the
     * outcome of a request is unknown if the server closes the idle connection at the same moment.
     */
    private static final long MAX_IDLE_NON_IDEMPOTENT_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Short, because a call waits for the response to the probe. */
    private static final long PROBE_TIMEOUT_NANOS = 20 * Clock.NANOS_PER_MILLI;

    /** Time after the deadline during which the server can still report itself that the deadline has passed. */
    private static final long DEADLINE_GRACE_MILLIS = 30;

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final String instance;
    private final ServerDialect dialect;
    private final ServerReports reports;
    private final BodyMemory bodyMemory;
    private final Clock clock;
    private final Deque<ServerConnection> idleConnections = new ArrayDeque<>();
    private final ResponseBuffer.Budget bufferBudget;
    private final GraceTime graceTime = new GraceTime();

    /** Deadlines of the calls whose bodies are incomplete, in nanoseconds. */
    private final Map<ServerExchange, Long> incompleteBodies = new ConcurrentHashMap<>();

    /** Whether long responses are passed on as they arrive. */
    private final boolean passesOn;

    private boolean closed;

    private BufferedServerLink(
            EventLoopGroup group,
            InetSocketAddress address,
            String instance,
            ServerDialect dialect,
            ServerReports reports,
            BodyMemory bodyMemory,
            ResponseBuffer.Budget bufferBudget,
            boolean passesOn,
            Clock clock) {
        this.loop = group.next();
        this.address = address;
        this.instance = instance;
        this.dialect = dialect;
        this.reports = reports;
        this.bodyMemory = bodyMemory;
        this.bufferBudget = bufferBudget;
        this.passesOn = passesOn;
        this.clock = clock;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(Transport.of(group).socketChannelType())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                // The end of the stream is then an event of its own; a channel also closes after resets.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(createCodec());
                    }
                });
        DeadPeerDetection.configure(bootstrap, Transport.of(group).socketChannelType());
    }

    /**
     * Returns a factory of links to backend servers that share a memory of their own.
     *
     * @param group   event loops of the connections
     * @param dialect conventions for the headers of requests and responses
     * @param reports receives what a server reports in a response
     * @param clock   source of time
     * @return factory of buffered links
     */
    public static Factory factory(EventLoopGroup group, ServerDialect dialect, ServerReports reports, Clock clock) {
        return factory(group, dialect, reports, BodyMemory.ofNode(), clock);
    }

    /**
     * Returns a factory of links to backend servers.
     *
     * @param group   event loops of the connections
     * @param dialect conventions for the headers of requests and responses
     * @param reports receives what a server reports in a response
     * @param memory  memory for the bodies of requests
     * @param clock   source of time
     * @return factory of buffered links
     */
    public static Factory factory(
            EventLoopGroup group, ServerDialect dialect, ServerReports reports, BodyMemory memory, Clock clock) {
        return factory(group, dialect, reports, memory, ResponseBuffer.Budget::new, false, clock);
    }

    /**
     * Returns a factory of links to backend servers that share the memory of a node and pass long responses on as they
     * arrive.
     *
     * @param group   event loops of the connections
     * @param dialect conventions for the headers of requests and responses
     * @param reports receives what a server reports in a response
     * @param memory  memory of the node
     * @param clock   source of time
     * @return factory of buffered links
     */
    public static Factory factory(
            EventLoopGroup group, ServerDialect dialect, ServerReports reports, NodeMemory memory, Clock clock) {
        return factory(
                group,
                dialect,
                reports,
                memory.longBodies(),
                () -> new ResponseBuffer.Budget(memory.responses(), BodyCollector.MAX_HELD_BYTES),
                true,
                clock);
    }

    private static Factory factory(
            EventLoopGroup group,
            ServerDialect dialect,
            ServerReports reports,
            BodyMemory memory,
            Supplier<ResponseBuffer.Budget> budgets,
            boolean passesOn,
            Clock clock) {
        return announcement -> new BufferedServerLink(
                group,
                new InetSocketAddress(announcement.getHost(), (int) announcement.getPort()),
                announcement.getInstance(),
                dialect,
                reports,
                memory,
                budgets.get(),
                passesOn,
                clock);
    }

    /**
     * Opens a link to a service other than a backend server.
     *
     * @param group   event loops of the connections
     * @param address address of the service
     * @param reports receives what is irregular in a response
     * @param clock   source of time
     * @return link to the service, to be used through {@link #exchange} only
     */
    public static BufferedServerLink toService(
            EventLoopGroup group, InetSocketAddress address, ServerReports reports, Clock clock) {
        BufferedServerLink link = new BufferedServerLink(
                group,
                address,
                null,
                ServerDialect.Plain.INSTANCE,
                reports,
                BodyMemory.ofNode(),
                new ResponseBuffer.Budget(),
                false,
                clock);
        DeadPeerDetection.configureForService(
                link.bootstrap, Transport.of(group).socketChannelType());
        return link;
    }

    /**
     * Sends a request unmodified.
     *
     * @param request        the request, including its authority
     * @param remainingNanos time until the response must be complete, in nanoseconds
     * @param idempotent     whether the request may run more than once
     * @return the response; fails with a {@link MustardusherException}, whose code is
     *     {@link ResultCode#SERVER_UNREACHABLE} if nothing was sent
     */
    public CompletableFuture<AggregatedHttpResponse> exchange(
            AggregatedHttpRequest request, long remainingNanos, boolean idempotent) {
        CompletableFuture<AggregatedHttpResponse> response = new CompletableFuture<>();
        ServerExchange exchange = ServerExchange.ofUnmodified(dialect, reports, clock, response);
        long deadlineNanos = clock.nanoTime() + remainingNanos;
        loop.execute(() -> dispatch(exchange, request.toHttpRequest(), deadlineNanos, idempotent));
        return response;
    }

    @Override
    public Exchange send(HttpRequest call, long remainingNanos) {
        CompletableFuture<AggregatedHttpResponse> response = new CompletableFuture<>();
        boolean idempotent = "1".equals(call.headers().get(CallHeaders.IDEMPOTENT));
        ServerExchange exchange = new ServerExchange(dialect, reports, clock, response);
        long deadlineNanos = clock.nanoTime() + remainingNanos;
        if (call.isOpen()) {
            incompleteBodies.put(exchange, deadlineNanos);
        }
        BodyCollector.begin(call, bodyMemory, loop, response)
                .whenComplete((request, failure) -> runOnLoop(() -> {
                    incompleteBodies.remove(exchange);
                    if (failure != null) {
                        MustardusherException lost = Exchange.bodyLost(failure);
                        exchange.fail(lost.code(), lost.getMessage());
                    } else {
                        dispatch(exchange, request, deadlineNanos, idempotent);
                    }
                }));
        Runnable cancel = () -> loop.execute(exchange::cancel);
        return passesOn ? passOnLong(exchange, response, cancel) : Exchange.ofAggregated(response, cancel);
    }

    private Exchange passOnLong(
            ServerExchange exchange, CompletableFuture<AggregatedHttpResponse> response, Runnable cancel) {
        CompletableFuture<Exchange> begun = new CompletableFuture<>();
        exchange.onPassedOn(streamed -> begun.complete(Exchange.ofLocal(streamed, loop)));
        response.whenComplete((whole, failure) -> begun.complete(Exchange.ofAggregated(response, cancel)));
        return Exchange.ofDeferred(begun, cancel);
    }

    // Exchanges and connections are confined to the event loop. A body that is complete is aggregated at once, on the
    // thread of the caller.
    private void runOnLoop(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    @Override
    public CompletableFuture<Void> probe(String path) {
        return probe(path, PROBE_TIMEOUT_NANOS);
    }

    @Override
    public CompletableFuture<Void> probe(String path, long timeoutNanos) {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, path)
                .authority(address.getHostString())
                .build();
        return exchange(AggregatedHttpRequest.of(headers), timeoutNanos, true).handle((ignored, failure) -> null);
    }

    @Override
    public void stop(long endNanos) {
        graceTime.begin(endNanos);
        loop.execute(() -> incompleteBodies.forEach(this::isPermitted));
    }

    // Fails an exchange that has not been sent if it could not end before the node does.
    private boolean isPermitted(ServerExchange exchange, long deadlineNanos) {
        boolean permitted = graceTime.permits(deadlineNanos);
        if (!permitted) {
            exchange.fail(ResultCode.DRAINING, "the node is stopping");
        }
        return permitted;
    }

    @Override
    public boolean reportsRuns() {
        return true;
    }

    @Override
    public void close() {
        loop.execute(() -> {
            closed = true;
            idleConnections.forEach(ServerConnection::close);
            idleConnections.clear();
        });
    }

    /**
     * Creates the codec of a connection.
     *
     * @return the codec
     */
    static HttpClientCodec createCodec() {
        HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES);
        return new HttpClientCodec(BoundedHeaders.configure(config), true, false);
    }

    /**
     * Returns whether a response that is too long to be held is passed on as it arrives.
     *
     * @return {@code true} if it is, {@code false} if it is given up
     */
    boolean passesOnLongResponses() {
        return passesOn;
    }

    /**
     * Returns the memory that the responses of all connections share.
     *
     * @return the budget
     */
    ResponseBuffer.Budget bufferBudget() {
        return bufferBudget;
    }

    /**
     * Reports a response that does not belong to the request that awaits one.
     *
     * @param response   headers of the response
     * @param connection number of its connection
     * @param awaited    identifier of the request that awaits one; empty if there is none
     */
    void reportDiscarded(ResponseHeaders response, int connection, Optional<String> awaited) {
        reports.onDiscardedResponse(new DiscardedResponse(
                dialect.requestId(response), response.status().code(), connection, awaited));
    }

    /**
     * Reports why a response is given up.
     *
     * @param fault the fault
     */
    void reportFault(ResponseFault fault) {
        reports.onResponseFault(fault);
    }

    /**
     * Reports how a response breaks the grammar, also if no request awaits one.
     *
     * @param fault the fault
     */
    void reportMalformed(SyntaxFault fault) {
        reports.onMalformedResponse(fault);
    }

    /**
     * Returns a connection to the idle connections, or closes it if this link is closed.
     *
     * @param connection connection that carries no exchange
     */
    void release(ServerConnection connection) {
        if (closed) {
            connection.close();
        } else {
            idleConnections.addFirst(connection);
        }
    }

    /**
     * Removes a closed connection from the idle connections.
     *
     * @param connection the closed connection
     */
    void remove(ServerConnection connection) {
        idleConnections.remove(connection);
    }

    private void dispatch(ServerExchange exchange, HttpRequest request, long deadlineNanos, boolean idempotent) {
        long remainingNanos = deadlineNanos - clock.nanoTime();
        if (exchange.isDone() || remainingNanos <= 0) {
            exchange.fail(ResultCode.DEADLINE_EXPIRED, "no time left on dispatch");
            return;
        }
        if (!isPermitted(exchange, deadlineNanos)) {
            return;
        }
        exchange.setTimeout(loop.schedule(
                exchange::expire,
                remainingNanos / Clock.NANOS_PER_MILLI + DEADLINE_GRACE_MILLIS,
                TimeUnit.MILLISECONDS));
        long maxIdleNanos = idempotent ? MAX_IDLE_NANOS : MAX_IDLE_NON_IDEMPOTENT_NANOS;
        ServerConnection reused = takeIdle(maxIdleNanos, dialect.requestId(request.headers()));
        if (reused != null) {
            reused.send(exchange, request, instance, remainingNanos);
            return;
        }
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener((ChannelFuture connected) -> {
            if (!connected.isSuccess()) {
                exchange.fail(ResultCode.SERVER_UNREACHABLE, "cannot connect to the backend server");
                return;
            }
            ServerConnection connection = new ServerConnection(this, connected.channel(), clock);
            connected.channel().pipeline().addLast(connection);
            long remainingAfterConnect = deadlineNanos - clock.nanoTime();
            if (exchange.isDone() || remainingAfterConnect <= 0) {
                exchange.fail(ResultCode.DEADLINE_EXPIRED, "no time left on dispatch");
                release(connection);
                return;
            }
            if (!isPermitted(exchange, deadlineNanos)) {
                release(connection);
                return;
            }
            connection.send(exchange, request, instance, remainingAfterConnect);
        });
    }

    // A connection that has carried the same request may still deliver a response to its earlier run.
    private ServerConnection takeIdle(long maxIdleNanos, Optional<String> requestId) {
        long now = clock.nanoTime();
        while (!idleConnections.isEmpty() && idleConnections.peekLast().isExpired(now, MAX_IDLE_NANOS)) {
            idleConnections.removeLast().close();
        }
        if (requestId.isPresent() && hasCarried(requestId.get())) {
            reports.onRepeatedRequest(requestId.get());
        }
        ServerConnection newest = idleConnections.stream()
                .filter(idle -> requestId.isEmpty() || !idle.hasCarried(requestId.get()))
                .findFirst()
                .orElse(null);
        if (newest == null || newest.isExpired(now, maxIdleNanos)) {
            return null;
        }
        idleConnections.remove(newest);
        return newest;
    }

    private boolean hasCarried(String requestId) {
        return idleConnections.stream().anyMatch(idle -> idle.hasCarried(requestId));
    }
}
