package io.mustardusher.lab.profile;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallOptions;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.catalogue.CatalogueEntry;
import io.mustardusher.catalogue.Idempotence;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.generated.RouteDocument;
import io.mustardusher.node.NodeEnvironment;
import io.mustardusher.route.Destination;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.route.Route;
import io.mustardusher.route.RouteTable;
import io.mustardusher.routing.RoutingPolicy;
import io.mustardusher.server.ServerDialect;
import io.mustardusher.store.Row;
import io.mustardusher.store.TableService;
import io.mustardusher.store.Transaction;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import io.netty.util.AsciiString;

/**
 * A platform with one route to one service. Its table service is a fixed list of the nodes, so that the processor time
 * of a node contains no traffic with a table service.
 *
 * @param server     address of the backend server
 * @param framePorts frame ports of all nodes of the deployment
 */
record LoopbackEnvironment(InetSocketAddress server, List<Integer> framePorts) implements NodeEnvironment {

    /** Name of the only service. */
    static final String SERVICE = "echo";

    private static final long TIMEOUT_MILLIS = 2_000;
    private static final int PRIORITY = 1;
    private static final int MAX_ATTEMPTS = 2;

    @Override
    public TableService openTable(EventLoopGroup group, MetricRegistry metrics) {
        return new FixedTable(framePorts);
    }

    @Override
    public void watchRoutes(Consumer<RouteDocument> listener) {
        listener.accept(new RouteDocument().withVersion(1).withText(""));
    }

    @Override
    public RouteTable decodeRoutes(RouteDocument document) {
        Route route = new Route(
                SERVICE,
                "/",
                new Destination.Single(ServiceName.of(SERVICE)),
                true,
                PRIORITY,
                TIMEOUT_MILLIS * Clock.NANOS_PER_MILLI,
                TIMEOUT_MILLIS / 2 * Clock.NANOS_PER_MILLI,
                MAX_ATTEMPTS,
                false);
        return RouteTable.builder(document.getVersion())
                .add(SERVICE, route)
                .healthPath(SERVICE, "/")
                .build();
    }

    @Override
    public CallerProtocol callerProtocol(Supplier<RouteTable> routes, LongPredicate acceptsKeys) {
        return new RouteProtocol(routes);
    }

    @Override
    public ServerDialect serverDialect() {
        return ServerDialect.Plain.INSTANCE;
    }

    @Override
    public LocalServer localServer() {
        return new LocalServer(server, SERVICE);
    }

    @Override
    public List<AsciiString> frequentHeaders() {
        return List.of();
    }

    @Override
    public String callName(RequestHeaders call) {
        return call.path();
    }

    private record RouteProtocol(Supplier<RouteTable> routes) implements CallerProtocol {

        @Override
        public Call read(RequestHeaders headers, long now) {
            Route route = routes.get().find(headers.authority(), headers.path()).orElseThrow();
            CatalogueEntry entry = new CatalogueEntry(
                    route.destination().next(),
                    route.name(),
                    ServiceClass.STANDARD,
                    RoutingPolicy.LEAST_COST,
                    Idempotence.ALWAYS,
                    TIMEOUT_MILLIS,
                    0,
                    0,
                    0,
                    0,
                    0,
                    0,
                    false);
            return new Call(
                    entry,
                    headers,
                    route.name(),
                    entry.serviceClass(),
                    now + route.timeoutNanos(),
                    Optional.empty(),
                    0,
                    false,
                    new CallOptions(
                            headers.path(), route.maxAttempts(), route.targetLatencyNanos(), Optional.empty(), 0));
        }

        @Override
        public String callName(RequestHeaders request) {
            return CallOptions.NONE.id();
        }

        @Override
        public RequestLimits limits() {
            return routes.get().limits();
        }

        @Override
        public HttpResponse write(RequestHeaders request, HttpResponse answer) {
            return answer;
        }
    }

    private record FixedTable(List<Integer> framePorts) implements TableService {

        @Override
        public CompletableFuture<Optional<Row>> read(String key) {
            return CompletableFuture.completedFuture(Optional.empty());
        }

        @Override
        public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
            List<Row> rows = new ArrayList<>();
            for (int port : framePorts) {
                rows.add(new Row(prefix + port, 1, "{\"host\":\"127.0.0.1\",\"framePort\":" + port + ",\"boot\":1}"));
            }
            return CompletableFuture.completedFuture(rows.subList(0, Math.min(limit, rows.size())));
        }

        @Override
        public CompletableFuture<Long> commit(Transaction transaction) {
            return CompletableFuture.completedFuture(1L);
        }
    }
}
