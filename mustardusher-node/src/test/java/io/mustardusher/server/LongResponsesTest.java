package io.mustardusher.server;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.NodeMemory;
import io.mustardusher.generated.Announcement;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Responses that are too long to be held are passed on as they are taken, and only sound ones look complete. */
class LongResponsesTest {

    private static final long REMAINING_NANOS = 60_000 * Clock.NANOS_PER_MILLI;
    private static final int LENGTH = 64 << 20;
    private static final int MEMORY_BYTES = 8 << 20;

    /** Bytes that connections may hold between a server and a node that reads nothing more. */
    private static final long MAX_IN_KERNEL_BYTES = 16L << 20;

    private static final byte[] BLOCK = new byte[64 << 10];

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final NodeMemory memory = new NodeMemory(MEMORY_BYTES);
    private final AtomicLong writtenBytes = new AtomicLong();
    private ServerSocket server;
    private ServerLink link;

    @BeforeEach
    void open() throws IOException {
        server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        link = BufferedServerLink.factory(
                        group,
                        EchoDialect.INSTANCE,
                        ServerReports.Discarding.INSTANCE,
                        memory,
                        Clock.ForSystem.INSTANCE)
                .open(new Announcement()
                        .withHost(server.getInetAddress().getHostAddress())
                        .withPort(server.getLocalPort())
                        .withInstance("i-1"));
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        server.close();
        group.shutdownGracefully();
    }

    @Test
    void nothingMoreIsReadWhileNobodyTakesResponse() throws Exception {
        serve("content-length: " + LENGTH, LENGTH, "");
        Exchange exchange = send();
        HttpResponse response = exchange.stream(exchange.headers().join());
        awaitStandstill();
        assertThat(writtenBytes.get()).isLessThan(MAX_IN_KERNEL_BYTES);
        assertThat(memory.responses().reservedBytes()).isLessThan(MEMORY_BYTES / 2);
        assertThat(response.aggregate().join().content().length()).isEqualTo(LENGTH);
        group.next().submit(() -> {}).syncUninterruptibly();
        assertThat(memory.responses().reservedBytes()).isEqualTo(0);
    }

    @Test
    void lengthIsPassedOnAndResponseWithoutOneIsComplete() throws Exception {
        serve("content-length: " + LENGTH, LENGTH, "");
        ResponseHeaders headers = send().headers().join();
        assertThat(headers.contentLength()).isEqualTo(LENGTH);
        assertThat(headers.contains(CallHeaders.STREAMED)).isTrue();
        serve("connection: close", LENGTH, "");
        assertThat(receive().content().length()).isEqualTo(LENGTH);
    }

    @Test
    void responseThatIsCutFails() throws Exception {
        serve("content-length: " + (LENGTH + 1), LENGTH, "");
        assertThrows(CompletionException.class, this::receive);
    }

    @Test
    void responseThatGoesOnWithAnotherFails() throws Exception {
        String late = "HTTP/1.1 200 OK\r\nid: a\r\ncontent-length: 0\r\n\r\n";
        serve("content-length: " + (LENGTH + late.length()), LENGTH, late);
        assertThrows(CompletionException.class, this::receive);
    }

    private AggregatedHttpResponse receive() {
        Exchange exchange = send();
        return exchange.stream(exchange.headers().join()).aggregate().join();
    }

    private Exchange send() {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/")
                .authority("h.example")
                .set("id", "a")
                .set(CallHeaders.IDEMPOTENT, "1")
                .build();
        return link.send(HttpRequest.of(headers), REMAINING_NANOS);
    }

    // Answers the next request and closes its connection.
    private void serve(String field, int length, String end) {
        Thread thread = new Thread(() -> {
            try (Socket accepted = server.accept()) {
                accepted.getInputStream().readNBytes(10);
                OutputStream out = accepted.getOutputStream();
                out.write(("HTTP/1.1 200 OK\r\nid: a\r\n" + field + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                for (int left = length; left > 0; left -= BLOCK.length) {
                    out.write(left < BLOCK.length ? Arrays.copyOf(BLOCK, left) : BLOCK);
                    writtenBytes.addAndGet(BLOCK.length);
                }
                out.write(end.getBytes(StandardCharsets.ISO_8859_1));
                accepted.shutdownOutput();
                while (accepted.getInputStream().read() >= 0) {
                    // The rest of the request.
                }
            } catch (IOException e) {
                // The link has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void awaitStandstill() throws InterruptedException {
        long before = -1;
        while (before != writtenBytes.get()) {
            before = writtenBytes.get();
            Thread.sleep(500);
        }
    }
}
