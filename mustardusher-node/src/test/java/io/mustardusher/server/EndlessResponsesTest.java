package io.mustardusher.server;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.generated.Announcement;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/**
 * Load pattern: servers in trouble send bytes that are no response, in a head or in a body, until the connection is
 * closed. They must neither fill the memory of the node nor occupy a call until its deadline.
 */
class EndlessResponsesTest {

    /** Longer than a test may take, so that a call that ends has not ended at its deadline. */
    private static final long REMAINING_NANOS = 600_000 * Clock.NANOS_PER_MILLI;

    private static final int WAIT_SECONDS = 60;
    private static final String FILLER = "x".repeat(1_000);
    private static final String OK = "HTTP/1.1 200 OK\r\nid: a\r\n";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final Map<ResponseFault, Integer> faults = new ConcurrentHashMap<>();
    private ServerSocket socket;
    private BufferedServerLink link;

    @BeforeEach
    void listen() throws IOException {
        socket = new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress());
        link = open(socket);
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        socket.close();
        group.shutdownGracefully();
    }

    static Stream<Arguments> endlessResponses() {
        return Stream.of(
                arguments("status line", "HTTP/1.1 200 ", FILLER, ResponseFault.MALFORMED_HEAD),
                arguments("noise", "", FILLER, ResponseFault.MALFORMED_HEAD),
                arguments("header line", OK + "filler: ", FILLER, ResponseFault.MALFORMED_HEAD),
                arguments("header block", OK, "filler: " + FILLER + "\r\n", ResponseFault.MALFORMED_HEAD),
                arguments("header fields", OK, "a:\r\n", ResponseFault.MALFORMED_HEAD),
                arguments("trailer fields", chunked("0\r\n"), "a:\r\n", ResponseFault.MALFORMED_BODY),
                arguments("interim", "", "HTTP/1.1 103 Early Hints\r\n\r\n", ResponseFault.ENDLESS_INTERIM),
                arguments("chunk size", chunked(""), FILLER.replace('x', '1'), ResponseFault.MALFORMED_BODY),
                arguments("chunk extension", chunked("5;"), FILLER, ResponseFault.MALFORMED_BODY),
                arguments("chunks", chunked(""), "3e8\r\n" + FILLER + "\r\n", ResponseFault.BODY_TOO_LONG),
                arguments("trailer", chunked("0\r\n"), "filler: " + FILLER + "\r\n", ResponseFault.MALFORMED_BODY),
                arguments("body", OK + "\r\n", FILLER, ResponseFault.BODY_TOO_LONG),
                arguments("long body", OK + "content-length: 99999999999\r\n\r\n", FILLER, ResponseFault.BODY_TOO_LONG),
                arguments("other response", "HTTP/1.1 200 OK\r\nid: other\r\n\r\n", FILLER, ResponseFault.MISMATCHED));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("endlessResponses")
    void isGivenUpAtOnceAsPossiblyRun(String name, String start, String repeated, ResponseFault fault)
            throws Exception {
        CountDownLatch closed = serve(start, repeated, 1);
        Exchange exchange = send(link);
        CompletionException thrown =
                assertThrows(CompletionException.class, () -> exchange.headers().join());
        MustardusherException failure = (MustardusherException) thrown.getCause();
        assertThat(failure.code()).isEqualTo(ResultCode.CONNECTION_LOST);
        assertThat(failure).hasMessageThat().isEqualTo(fault.description());
        assertThat(closed.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(faults).isEqualTo(Map.of(fault, 1));
        assertThat(reservedBytes()).isEqualTo(0);
    }

    /** The bodies of all connections together are bounded, not only each of them. */
    @Test
    void thousandEndlessBodiesShareOneBudget() throws Exception {
        int calls = 1_000;
        CountDownLatch closed = serve(OK + "\r\n", FILLER, calls);
        List<Exchange> exchanges = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            exchanges.add(send(link));
        }
        int most = 0;
        for (Exchange exchange : exchanges) {
            assertThrows(CompletionException.class, () -> exchange.headers().join());
            most = Math.max(most, reservedBytes());
        }
        assertThat(most).isAtMost(ResponseBuffer.Budget.BYTES);
        assertThat(closed.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(faults).isEqualTo(Map.of(ResponseFault.BODY_TOO_LONG, calls));
        assertThat(reservedBytes()).isEqualTo(0);
    }

    /** Guards against a node that runs out of memory because the fields of a header block take many times its bytes. */
    @Test
    void responseWithThousandShortFieldsIsGivenUp() throws Exception {
        serve(OK + "a:\r\n".repeat(1_000) + "content-length: 2\r\n\r\nok", "", 1);
        Exchange exchange = send(link);
        assertThrows(CompletionException.class, () -> exchange.headers().join());
        assertThat(faults).isEqualTo(Map.of(ResponseFault.MALFORMED_HEAD, 1));
    }

    /** Bytes behind a complete response belong to no request: the response counts, and the connection ends. */
    @Test
    void noiseBehindCompleteResponseClosesConnection() throws Exception {
        CountDownLatch closed = serve(OK + "content-length: 2\r\n\r\nok", FILLER, 1);
        Exchange exchange = send(link);
        assertThat(exchange.headers()
                        .get(WAIT_SECONDS, TimeUnit.SECONDS)
                        .status()
                        .code())
                .isEqualTo(200);
        assertThat(closed.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(reservedBytes()).isEqualTo(0);
    }

    private static String chunked(String rest) {
        return OK + "transfer-encoding: chunked\r\n\r\n" + rest;
    }

    private int reservedBytes() throws Exception {
        return group.submit(() -> link.bufferBudget().reservedBytes()).get();
    }

    private BufferedServerLink open(ServerSocket listening) {
        Announcement announced = new Announcement()
                .withHost(listening.getInetAddress().getHostAddress())
                .withPort(listening.getLocalPort())
                .withInstance("i-1");
        return (BufferedServerLink)
                BufferedServerLink.factory(group, EchoDialect.INSTANCE, new FaultCounter(), Clock.ForSystem.INSTANCE)
                        .open(announced);
    }

    private static Exchange send(ServerLink link) {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/")
                .authority("h.example")
                .set("id", "a")
                .set(CallHeaders.IDEMPOTENT, "1")
                .build();
        return link.send(HttpRequest.of(headers), REMAINING_NANOS);
    }

    // Sends the start and then the repeated part on each connection until it is closed.
    private CountDownLatch serve(String start, String repeated, int connections) {
        CountDownLatch closed = new CountDownLatch(connections);
        Thread server = new Thread(() -> {
            try {
                while (true) {
                    Socket accepted = socket.accept();
                    Thread connection = new Thread(() -> flood(accepted, start, repeated, closed));
                    connection.setDaemon(true);
                    connection.start();
                }
            } catch (IOException e) {
                // The test has closed the socket.
            }
        });
        server.setDaemon(true);
        server.start();
        return closed;
    }

    private static void flood(Socket connection, String start, String repeated, CountDownLatch closed) {
        try (connection) {
            connection.getInputStream().read();
            OutputStream out = connection.getOutputStream();
            out.write(start.getBytes(StandardCharsets.US_ASCII));
            byte[] part = repeated.repeat(10).getBytes(StandardCharsets.US_ASCII);
            while (true) {
                out.write(part);
            }
        } catch (IOException e) {
            closed.countDown();
        }
    }

    private final class FaultCounter implements ServerReports {

        @Override
        public void onLoad(ReportedServerLoad load) {
            // The load does not matter here.
        }

        @Override
        public void onConditions(String instance, ServerConditions conditions, long sentNanos) {
            // The conditions do not matter here.
        }

        @Override
        public void onResponseFault(ResponseFault fault) {
            faults.merge(fault, 1, Integer::sum);
        }
    }
}
