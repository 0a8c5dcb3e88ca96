package io.mustardusher.server;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.generated.Announcement;
import io.mustardusher.http.Transport;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against a response without a length that is taken for a complete one although it was reset half-way: while the
 * server leaves a part of the request unread, the reset is noticed by the sending only.
 */
class UnfinishedUploadTest {

    /** Longer than a test may take, so that a call that ends has not ended at its deadline. */
    private static final long REMAINING_NANOS = 60_000 * Clock.NANOS_PER_MILLI;

    /** More than what the buffers of both sockets hold. */
    private static final int UPLOAD_BYTES = 24 << 20;

    private static final String HALF_RESPONSE = "HTTP/1.1 200 OK\r\nid: a\r\n\r\nthe first half";

    private final CountDownLatch received = new CountDownLatch(1);
    private ServerSocket socket;
    private EventLoopGroup group;
    private ServerLink link;

    private enum Loops {
        /** The transport of nodes, epoll where it is available. */
        OF_NODES {
            @Override
            EventLoopGroup create() {
                return Transport.newEventLoops(1, "uploads");
            }
        },

        SELECTORS {
            @Override
            EventLoopGroup create() {
                return new NioEventLoopGroup(1);
            }
        };

        abstract EventLoopGroup create();
    }

    @BeforeEach
    void listen() throws IOException {
        socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        socket.close();
        group.shutdownGracefully();
    }

    @ParameterizedTest
    @EnumSource
    void unframedResponseThatIsResetIsIncomplete(Loops loops) {
        serve(connection -> connection.setSoLinger(true, 0));
        Exchange exchange = upload(loops);
        CompletionException thrown =
                assertThrows(CompletionException.class, () -> exchange.headers().join());
        assertThat(((MustardusherException) thrown.getCause()).code()).isEqualTo(ResultCode.CONNECTION_LOST);
    }

    @ParameterizedTest
    @EnumSource
    void unframedResponseThatEndsInOrderIsComplete(Loops loops) {
        serve(connection -> {
            connection.shutdownOutput();
            connection.getInputStream().transferTo(OutputStream.nullOutputStream());
        });
        Exchange exchange = upload(loops);
        assertThat(exchange.headers()
                        .thenCompose(exchange::aggregate)
                        .thenCompose(HttpResponse::aggregate)
                        .join()
                        .contentUtf8())
                .isEqualTo("the first half");
    }

    private Exchange upload(Loops loops) {
        group = loops.create();
        Announcement announced = new Announcement()
                .withHost(socket.getInetAddress().getHostAddress())
                .withPort(socket.getLocalPort())
                .withInstance("i-1");
        link = BufferedServerLink.factory(group, EchoDialect.INSTANCE, new HeadReports(), Clock.ForSystem.INSTANCE)
                .open(announced);
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.POST, "/")
                .authority("h.example")
                .set("id", "a")
                .set(CallHeaders.IDEMPOTENT, "0")
                .build();
        return link.send(HttpRequest.of(headers, HttpData.wrap(new byte[UPLOAD_BYTES])), REMAINING_NANOS);
    }

    private interface Ending {
        void end(Socket connection) throws IOException;
    }

    // Responds once, and ends the connection when the response has been received.
    private void serve(Ending ending) {
        Thread server = new Thread(() -> {
            try (Socket connection = socket.accept()) {
                connection.getInputStream().read();
                connection.getOutputStream().write(HALF_RESPONSE.getBytes(StandardCharsets.US_ASCII));
                received.await();
                ending.end(connection);
            } catch (IOException | InterruptedException e) {
                // The link has closed the connection, or the test has ended.
            }
        });
        server.setDaemon(true);
        server.start();
    }

    private final class HeadReports implements ServerReports {

        @Override
        public void onLoad(ReportedServerLoad load) {
            // The load does not matter here.
        }

        @Override
        public void onConditions(String instance, ServerConditions conditions, long sentNanos) {
            received.countDown();
        }

        @Override
        public void onResponseFault(ResponseFault fault) {
            // The faults do not matter here.
        }
    }
}
