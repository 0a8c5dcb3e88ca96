package io.mustardusher.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.mustardusher.admin.CatalogueResource;
import io.mustardusher.admin.NodeResource;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Problem;
import io.mustardusher.entry.Entry;
import io.mustardusher.frame.Credential;
import io.mustardusher.gate.Gate;
import io.mustardusher.result.ResultCode;
import io.netty.channel.EventLoopGroup;

/** The HTTP listeners of a node: for callers, for other nodes and for operators. */
final class Listeners {

    /** Largest set of headers, in bytes. */
    private static final int MAX_HEADER_BYTES = 16 << 10;

    /** Largest body on the operators' listener, in bytes. */
    private static final long MAX_ADMIN_BYTES = 1L << 20;

    /** Time for which an idle connection is kept, in milliseconds. */
    private static final long IDLE_MILLIS = 60_000;

    /** Time for which a stopping listener waits for what is left, in milliseconds. */
    private static final long CLOSE_MILLIS = 500;

    /** The listeners. */
    private final List<Server> servers;

    /**
     * Creates listeners.
     *
     * @param servers the listeners
     */
    private Listeners(List<Server> servers) {
        this.servers = servers;
    }

    /**
     * Creates the listeners of a node; none is started.
     *
     * @param host       address to bind
     * @param ports      ports for callers, nodes and operators
     * @param group      event loops
     * @param entry      handles callers' requests
     * @param gate       handles requests of other nodes
     * @param catalogue  the catalogue as operators see it
     * @param node       the node as operators see it
     * @param credential shared secret
     * @return the listeners
     */
    static Listeners of(
            String host,
            int[] ports,
            EventLoopGroup group,
            Entry entry,
            Gate gate,
            CatalogueResource catalogue,
            NodeResource node,
            Credential credential) {
        Server callers = base(host, ports[0], group)
                .childChannelPipelineCustomizer(entry.connections()::accept)
                .maxRequestLength(0)
                .serviceUnder("/", entry)
                .build();
        HttpService nodes = (context, request) -> serveNode(context, request, entry, gate);
        Server gates = base(host, ports[1], group)
                .maxRequestLength(0)
                .serviceUnder("/", nodes)
                .decorator((delegate, context, request) -> guarded(delegate, context, request, credential))
                .build();
        ServerBuilder admin = base(host, ports[2], group).maxRequestLength(MAX_ADMIN_BYTES);
        catalogue.addTo(admin);
        node.addTo(admin);
        admin.decorator((delegate, context, request) ->
                isHealth(request) ? delegate.serve(context, request) : guarded(delegate, context, request, credential));
        return new Listeners(List.of(callers, gates, admin.build()));
    }

    /**
     * Lets through only requests that carry the shared secret.
     *
     * @param service    serves them
     * @param credential shared secret
     * @return the guarded service
     */
    static HttpService guard(HttpService service, Credential credential) {
        return (context, request) -> guarded(service, context, request, credential);
    }

    /** Starts the listeners. */
    void start() {
        servers.forEach(server -> server.start().join());
    }

    /** Stops the listeners. */
    void stop() {
        CompletableFuture<?>[] stops = servers.stream().map(Server::stop).toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(stops).join();
    }

    /**
     * Returns what the listeners have in common, at an address.
     *
     * @param host  address to bind
     * @param port  port to bind
     * @param group event loops
     * @return a builder
     */
    static ServerBuilder base(String host, int port, EventLoopGroup group) {
        return base(group).http(new InetSocketAddress(host, port));
    }

    /**
     * Returns what the listeners have in common.
     *
     * @param group event loops
     * @return a builder without an address
     */
    static ServerBuilder base(EventLoopGroup group) {
        return Server.builder()
                .workerGroup(group, false)
                .meterRegistry(NoopMeterRegistry.get())
                .requestTimeoutMillis(0)
                .idleTimeoutMillis(IDLE_MILLIS)
                .http1MaxHeaderSize(MAX_HEADER_BYTES)
                .http2MaxHeaderListSize(MAX_HEADER_BYTES)
                .gracefulShutdownTimeout(Duration.ZERO, Duration.ofMillis(CLOSE_MILLIS));
    }

    /**
     * Serves a request of another node.
     *
     * @param context context of the request
     * @param request the request
     * @param entry   handles calls with keys
     * @param gate    handles calls for the backend server
     * @return the answer
     */
    private static HttpResponse serveNode(ServiceRequestContext context, HttpRequest request, Entry entry, Gate gate) {
        boolean home = CallHeaders.ROLE_HOME.equals(request.headers().get(CallHeaders.ROLE));
        return home ? entry.serveAsHome(request) : gate.handle(request, context.whenRequestCancelling());
    }

    /**
     * Serves a request that carries the shared secret.
     *
     * @param delegate   what serves it
     * @param context    context of the request
     * @param request    the request
     * @param credential shared secret
     * @return the answer
     * @throws Exception if serving fails
     */
    private static HttpResponse guarded(
            HttpService delegate, ServiceRequestContext context, HttpRequest request, Credential credential)
            throws Exception {
        if (!credential.matches(request.headers().get(HttpHeaderNames.AUTHORIZATION))) {
            return Problem.response(ResultCode.UNAUTHORIZED, "send the shared credential as a bearer token");
        }
        return delegate.serve(context, request);
    }

    /**
     * Tells whether a request asks for health, which needs no credential.
     *
     * @param request the request
     * @return {@code true} if it does
     */
    private static boolean isHealth(HttpRequest request) {
        return "/health".equals(request.path()) || "/ready".equals(request.path());
    }
}
