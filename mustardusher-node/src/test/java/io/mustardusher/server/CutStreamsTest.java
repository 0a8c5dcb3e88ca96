package io.mustardusher.server;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.stream.Stream;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.util.EventLoopGroups;
import io.mustardusher.call.Exchange;
import io.mustardusher.generated.Announcement;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** Guards against a streamed response that ends as a complete one although the server stopped in the middle of it. */
class CutStreamsTest {

    private static final long REMAINING_NANOS = 60_000 * Clock.NANOS_PER_MILLI;

    /** More than what the buffers of both sockets hold. */
    private static final int UPLOAD_BYTES = 24 << 20;

    private static final String OK = "HTTP/1.1 200 OK\r\n";

    private final BlockingQueue<Script> scripts = new LinkedBlockingQueue<>();
    private final Semaphore endings = new Semaphore(0);
    private final EventLoopGroup group = EventLoopGroups.newEventLoopGroup(1, "streams", true);
    private ServerSocket socket;
    private ClientFactory clientFactory;
    private ServerLink link;

    private record Script(String text, boolean reset) {}

    @BeforeEach
    void listen() throws IOException {
        socket = new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress());
        clientFactory = StreamedResponses.checkIn(ClientFactory.builder(), ServerReports.Discarding.INSTANCE)
                .workerGroup(group, false)
                .build();
        link = ServerLink.ForStreams.factory(clientFactory)
                .open(new Announcement()
                        .withHost(socket.getInetAddress().getHostAddress())
                        .withPort(socket.getLocalPort())
                        .withInstance("i-1"));
        Thread server = new Thread(this::serve);
        server.setDaemon(true);
        server.start();
    }

    @AfterEach
    void close() throws IOException {
        socket.close();
        clientFactory.closeAsync();
        group.shutdownGracefully();
    }

    static Stream<Arguments> responses() {
        return Stream.of(
                arguments("length", OK + "content-length: 12\r\n\r\n", "hello, world", true),
                arguments("interim", "HTTP/1.1 100 Continue\r\n\r\n" + OK + "content-length: 2\r\n\r\n", "ok", true),
                arguments("error", "HTTP/1.1 500 Error\r\ncontent-length: 6\r\n\r\n", "failed", true),
                arguments(
                        "chunks",
                        OK + "transfer-encoding: chunked\r\n\r\n",
                        "5\r\nhello\r\n7;a=b\r\n, world\r\n0\r\ntrailer: one\r\n\r\n",
                        true),
                arguments("unframed", OK + "\r\n", "hello, world", false));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("responses")
    void failsUnlessWhole(String name, String head, String content, boolean framed) {
        List<String> wrong = new ArrayList<>();
        String text = head + content;
        for (int cut = 0; cut <= text.length(); cut++) {
            for (boolean reset : List.of(false, true)) {
                boolean whole = framed ? cut == text.length() : cut >= head.length() && !reset;
                if (framed && whole && reset) {
                    // What has arrived may be lost with the reset.
                    continue;
                }
                if (isComplete(new Script(text.substring(0, cut), reset)) != whole) {
                    wrong.add(cut + (reset ? " reset" : " closed"));
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    /** While the server leaves a part of the request unread, a reset is noticed by the sending only. */
    @Test
    void unframedResponseThatIsResetDuringUploadFails() {
        scripts.add(new Script(OK + "\r\nhello", true));
        HttpData upload = HttpData.wrap(new byte[UPLOAD_BYTES]);
        Exchange exchange = link.send(HttpRequest.of(headers(HttpMethod.POST), upload), REMAINING_NANOS);
        ResponseHeaders received = exchange.headers().join();
        endings.release();
        assertThrows(
                CompletionException.class, () -> exchange.aggregate(received).join());
    }

    private boolean isComplete(Script script) {
        scripts.add(script);
        endings.release();
        Exchange exchange = link.send(HttpRequest.of(headers(HttpMethod.GET)), REMAINING_NANOS);
        try {
            exchange.headers()
                    .thenCompose(exchange::aggregate)
                    .thenCompose(HttpResponse::aggregate)
                    .join();
            return true;
        } catch (CompletionException e) {
            return false;
        }
    }

    private static RequestHeaders headers(HttpMethod method) {
        return RequestHeaders.builder(method, "/").authority("h.example").build();
    }

    private void serve() {
        try {
            while (true) {
                try (Socket connection = socket.accept()) {
                    StringBuilder head = new StringBuilder();
                    while (head.indexOf("\r\n\r\n") < 0) {
                        head.append((char) connection.getInputStream().read());
                    }
                    Script script = scripts.take();
                    connection.getOutputStream().write(script.text.getBytes(StandardCharsets.US_ASCII));
                    endings.acquire();
                    if (script.reset) {
                        connection.setSoLinger(true, 0);
                    }
                }
            }
        } catch (IOException | InterruptedException e) {
            // The test has ended.
        }
    }
}
