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

    /** Maximum size of the headers, in bytes. */
    private static final int MAX_HEADER_BYTES = 16 << 10;

    /** Maximum size of a request body on the operators' listener, in bytes. */
    private static final long MAX_ADMIN_BODY_BYTES = 1L << 20;

    /** Time after which an idle connection is closed, in milliseconds. */
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;

    /** Time that a stopping listener waits for requests in progress, in milliseconds. */
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 500;

    private final List<Server> servers;

    private Listeners(List<Server> servers) {
        this.servers = servers;
    }

    /**
     * Creates the listeners of a node without starting them.
     *
     * @param host       address to bind
     * @param ports      ports for callers, nodes and operators
     * @param group      event loops
     * @param entry      handles callers' requests
     * @param gate       handles requests of other nodes
     * @param catalogue  admin resource of the catalogue
     * @param node       admin resource of the node
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
        Server callers = serverBuilder(host, ports[0], group)
                .childChannelPipelineCustomizer(entry.connections()::accept)
                .maxRequestLength(0)
                .serviceUnder("/", entry)
                .build();
        HttpService nodes = (context, request) -> serveNode(context, request, entry, gate);
        Server gates = serverBuilder(host, ports[1], group)
                .maxRequestLength(0)
                .serviceUnder("/", nodes)
                .decorator((delegate, context, request) -> serveAuthorized(delegate, context, request, credential))
                .build();
        ServerBuilder admin = serverBuilder(host, ports[2], group).maxRequestLength(MAX_ADMIN_BODY_BYTES);
        catalogue.addTo(admin);
        node.addTo(admin);
        admin.decorator((delegate, context, request) -> isHealthCheck(request)
                ? delegate.serve(context, request)
                : serveAuthorized(delegate, context, request, credential));
        return new Listeners(List.of(callers, gates, admin.build()));
    }

    /**
     * Decorates a service to reject requests that do not carry the shared secret.
     *
     * @param service    the service
     * @param credential shared secret
     * @return the decorated service
     */
    static HttpService requireCredential(HttpService service, Credential credential) {
        return (context, request) -> serveAuthorized(service, context, request, credential);
    }

    /** Starts all listeners and waits until they accept connections. */
    void start() {
        servers.forEach(server -> server.start().join());
    }

    /** Stops all listeners and waits until they are closed. */
    void stop() {
        CompletableFuture<?>[] stops = servers.stream().map(Server::stop).toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(stops).join();
    }

    /**
     * Returns a builder with the settings shared by all listeners, bound to an address.
     *
     * @param host  address to bind
     * @param port  port to bind
     * @param group event loops
     * @return a builder
     */
    static ServerBuilder serverBuilder(String host, int port, EventLoopGroup group) {
        return serverBuilder(group).http(new InetSocketAddress(host, port));
    }

    /**
     * Returns a builder with the settings shared by all listeners.
     *
     * @param group event loops
     * @return a builder without an address
     */
    static ServerBuilder serverBuilder(EventLoopGroup group) {
        return Server.builder()
                .workerGroup(group, false)
                .meterRegistry(NoopMeterRegistry.get())
                .requestTimeoutMillis(0)
                .idleTimeoutMillis(IDLE_TIMEOUT_MILLIS)
                .http1MaxHeaderSize(MAX_HEADER_BYTES)
                .http2MaxHeaderListSize(MAX_HEADER_BYTES)
                .gracefulShutdownTimeout(Duration.ZERO, Duration.ofMillis(SHUTDOWN_TIMEOUT_MILLIS));
    }

    /**
     * Serves a request of another node.
     *
     * @param context context of the request
     * @param request the request
     * @param entry   handles calls with keys
     * @param gate    handles calls for the backend server
     * @return the response
     */
    private static HttpResponse serveNode(ServiceRequestContext context, HttpRequest request, Entry entry, Gate gate) {
        boolean home = CallHeaders.ROLE_HOME.equals(request.headers().get(CallHeaders.ROLE));
        return home ? entry.serveAsHome(request) : gate.handle(request, context.whenRequestCancelling());
    }

    /**
     * Serves a request if it carries the shared secret, and rejects it otherwise.
     *
     * @param delegate   serves the request
     * @param context    context of the request
     * @param request    the request
     * @param credential shared secret
     * @return the response
     * @throws Exception if serving fails
     */
    private static HttpResponse serveAuthorized(
            HttpService delegate, ServiceRequestContext context, HttpRequest request, Credential credential)
            throws Exception {
        if (!credential.matches(request.headers().get(HttpHeaderNames.AUTHORIZATION))) {
            return Problem.response(ResultCode.UNAUTHORIZED, "send the shared credential as a bearer token");
        }
        return delegate.serve(context, request);
    }

    /**
     * Returns whether a request is a health check, which needs no credential.
     *
     * @param request the request
     * @return {@code true} for a health check
     */
    private static boolean isHealthCheck(HttpRequest request) {
        return "/health".equals(request.path()) || "/ready".equals(request.path());
    }
}
