package io.mustardusher.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.client.BlockingWebClient;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.auth.AuthToken;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallOptions;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.generated.DistanceSettings;
import io.mustardusher.generated.NodeSettings;
import io.mustardusher.generated.PortSettings;
import io.mustardusher.generated.RouteDocument;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.route.RouteTable;
import io.mustardusher.server.ServerDialect;
import io.mustardusher.store.Row;
import io.mustardusher.store.TableService;
import io.mustardusher.store.Transaction;
import io.netty.channel.EventLoopGroup;
import io.netty.util.AsciiString;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

class RoutedNodeTest {

    private static final int PORTS = 4;

    /** The platform kills a node that has not stopped by the end of its grace time. */
    @Test
    void stopsWhileTableServiceDoesNotAnswer() throws IOException {
        RoutedNode node =
                new RoutedNode(settings(), new RoutedNode.RetryBounds(1_000_000_000L, 0, 0), new SilentEnvironment());
        node.start();
        int cutOff = assertTimeoutPreemptively(Duration.ofSeconds(30), node::stop);
        assertThat(cutOff).isEqualTo(0);
    }

    // Guards against a view that is open to anyone who reaches the port, or that fails before the node has routes.
    @Test
    void servesViewWithCredentialAndMetricsWithout() throws IOException {
        NodeSettings settings = settings();
        RoutedNode node =
                new RoutedNode(settings, new RoutedNode.RetryBounds(1_000_000_000L, 0, 0), new SilentEnvironment());
        node.start();
        try {
            String admin =
                    "http://" + settings.getHost() + ":" + settings.getPorts().getAdmin();
            BlockingWebClient anyone = BlockingWebClient.of(admin);
            BlockingWebClient operator = WebClient.builder(admin)
                    .auth(AuthToken.ofOAuth2("secret"))
                    .build()
                    .blocking();
            assertThat(anyone.get("/metrics").contentUtf8()).contains("gate_coldRefused 0.0");
            assertThat(anyone.get("/v1/accounts").status()).isEqualTo(HttpStatus.UNAUTHORIZED);
            for (String path : List.of("accounts", "allowances", "evacuations", "servers")) {
                assertThat(operator.get("/v1/" + path).status()).isEqualTo(HttpStatus.OK);
            }
        } finally {
            node.close();
        }
    }

    private static NodeSettings settings() throws IOException {
        List<Integer> ports = freePorts();
        return new NodeSettings()
                .withId("node-1")
                .withHost(InetAddress.getLoopbackAddress().getHostAddress())
                .withRegion("r")
                .withFailureDomain("d")
                .withPorts(new PortSettings()
                        .withCaller(ports.get(0))
                        .withGate(ports.get(1))
                        .withFrame(ports.get(2))
                        .withAdmin(ports.get(3)))
                .withSeeds(List.of())
                .withCredential("secret")
                .withRegionDistancesMicros(new DistanceSettings())
                .withGossipIntervalMillis(200)
                .withStopGraceMillis(100)
                .withWarmUpMillis(0);
    }

    private static List<Integer> freePorts() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < PORTS; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** A platform whose table service never answers and that never has routes. */
    private static final class SilentEnvironment implements NodeEnvironment {

        @Override
        public TableService openTable(EventLoopGroup group, MetricRegistry metrics) {
            return new SilentTable();
        }

        @Override
        public void watchRoutes(Consumer<RouteDocument> listener) {
            // There are no routes.
        }

        @Override
        public RouteTable decodeRoutes(RouteDocument document) {
            throw new AssertionError("there are no routes");
        }

        @Override
        public CallerProtocol callerProtocol(Supplier<RouteTable> routes, LongPredicate acceptsKeys) {
            return new RejectingProtocol();
        }

        @Override
        public ServerDialect serverDialect() {
            return ServerDialect.Plain.INSTANCE;
        }

        @Override
        public LocalServer localServer() {
            return new LocalServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), "s");
        }

        @Override
        public List<AsciiString> frequentHeaders() {
            return List.of();
        }

        @Override
        public String callName(RequestHeaders call) {
            return "-";
        }
    }

    private static final class RejectingProtocol implements CallerProtocol {

        @Override
        public Call read(RequestHeaders headers, long now) {
            throw new MustardusherException(ResultCode.NODE_STARTING, "there are no routes");
        }

        @Override
        public String callName(RequestHeaders request) {
            return CallOptions.NONE.id();
        }

        @Override
        public RequestLimits limits() {
            return RequestLimits.NONE;
        }

        @Override
        public HttpResponse write(RequestHeaders request, HttpResponse answer) {
            return answer;
        }
    }

    private static final class SilentTable implements TableService {

        @Override
        public CompletableFuture<Optional<Row>> read(String key) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Long> commit(Transaction transaction) {
            return new CompletableFuture<>();
        }
    }
}
