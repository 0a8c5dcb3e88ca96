package io.mustardusher.server;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpRequestWriter;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.BodyCollector;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Load pattern: callers send bodies without end. They must not fill the memory of the node beside the called server,
 * which others pay for.
 */
class EndlessRequestsTest {

    private static final long REMAINING_NANOS = 60_000 * Clock.NANOS_PER_MILLI;
    private static final int MEMORY_BYTES = 1 << 20;
    private static final HttpData PART = HttpData.wrap(new byte[50_000]);

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final BodyMemory memory = new BodyMemory(MEMORY_BYTES);
    private ScriptedServer server;
    private ServerLink link;

    @BeforeEach
    void open() throws IOException {
        server = new ScriptedServer();
        server.serve((number, id) -> "HTTP/1.1 200 OK\r\nid: a\r\ncontent-length: 2\r\n\r\nok");
        link = link(memory);
    }

    private ServerLink link(BodyMemory bodyMemory) {
        return BufferedServerLink.factory(
                        group,
                        EchoDialect.INSTANCE,
                        ServerReports.Discarding.INSTANCE,
                        bodyMemory,
                        Clock.ForSystem.INSTANCE)
                .open(server.announcement());
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        server.close();
        group.shutdownGracefully();
    }

    /** Guards against a node that runs out of memory because it keeps all bytes of a body without end. */
    @Test
    void bodyBeyondMemoryIsRefusedAsNotRun() {
        HttpRequestWriter body = HttpRequest.streaming(headers());
        Exchange exchange = link.send(body, REMAINING_NANOS);
        int written = writeWhileAccepted(body, 10 * MEMORY_BYTES);
        assertRefused(exchange);
        assertThat(written).isAtMost(2 * MEMORY_BYTES);
        assertThat(memory.reservedBytes()).isEqualTo(0);
        assertThat(server.connections()).isEqualTo(0);
    }

    /** Guards against calls that fail because other callers send bodies without end. */
    @Test
    void soundBodiesHaveRoomBesideEndlessOnes() {
        List<HttpRequestWriter> endless = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            HttpRequestWriter body = HttpRequest.streaming(headers());
            link.send(body, REMAINING_NANOS);
            endless.add(body);
        }
        for (int i = 0; i < 40; i++) {
            endless.forEach(body -> writeWhileAccepted(body, PART.length()));
            HttpRequestWriter sound = HttpRequest.streaming(headers());
            Exchange exchange = link.send(sound, REMAINING_NANOS);
            writeWhileAccepted(sound, PART.length());
            sound.close();
            assertThat(body(exchange)).isEqualTo("ok");
        }
        assertThat(memory.reservedBytes()).isAtMost(MEMORY_BYTES);
        assertThat(endless.stream().anyMatch(body -> !body.isOpen())).isTrue();
    }

    /** Guards against uploads inside the limits that are refused because they are longer than the node's memory. */
    @Test
    void bodyBeyondWhatIsHeldIsPassedOnAsItArrives() throws IOException {
        for (boolean stated : new boolean[] {true, false}) {
            int bodies = 100 * PART.length();
            RequestHeaders headers =
                    stated ? headers().toBuilder().contentLength(bodies).build() : headers();
            BodyMemory small = new BodyMemory(2 * BodyCollector.MAX_HELD_BYTES);
            ServerLink streaming = link(small);
            HttpRequestWriter upload = HttpRequest.streaming(headers);
            Exchange exchange = streaming.send(upload, REMAINING_NANOS);
            assertThat(writeWhileAccepted(upload, bodies)).isEqualTo(bodies);
            assertThat(small.reservedBytes()).isEqualTo(0);
            upload.close();
            assertThat(body(exchange)).isEqualTo("ok");
            streaming.close();
        }
    }

    /** Guards against a request that is reported as not run although a server has received a part of it. */
    @Test
    void bodyThatEndsEarlyBehindWhatIsHeldIsUnknown() throws IOException {
        ServerLink streaming = link(new BodyMemory(2 * BodyCollector.MAX_HELD_BYTES));
        HttpRequestWriter upload = HttpRequest.streaming(headers());
        Exchange exchange = streaming.send(upload, REMAINING_NANOS);
        writeWhileAccepted(upload, 50 * PART.length());
        upload.close(new ClosedChannelException());
        CompletionException thrown =
                assertThrows(CompletionException.class, () -> exchange.headers().join());
        assertThat(((MustardusherException) thrown.getCause()).code()).isEqualTo(ResultCode.CONNECTION_LOST);
        streaming.close();
    }

    /** Guards against uploads none of which ends, since the one nearest its end is given up for the others. */
    @Test
    void bodyOfKnownLengthIsNotGivenUpForOthers() {
        RequestHeaders half =
                headers().toBuilder().contentLength(PART.length() * 10L).build();
        HttpRequestWriter upload = HttpRequest.streaming(half);
        Exchange exchange = link.send(upload, REMAINING_NANOS);
        writeWhileAccepted(upload, PART.length() * 9);
        HttpRequestWriter endless = HttpRequest.streaming(headers());
        assertRefusedWhile(endless);
        writeWhileAccepted(upload, PART.length());
        upload.close();
        assertThat(body(exchange)).isEqualTo("ok");
    }

    private void assertRefusedWhile(HttpRequestWriter endless) {
        Exchange exchange = link.send(endless, REMAINING_NANOS);
        writeWhileAccepted(endless, 10 * MEMORY_BYTES);
        assertRefused(exchange);
    }

    @Test
    void memoryIsReleasedAfterResponse() {
        HttpRequestWriter body = HttpRequest.streaming(headers());
        Exchange exchange = link.send(body, REMAINING_NANOS);
        writeWhileAccepted(body, MEMORY_BYTES / 2);
        assertThat(memory.reservedBytes()).isAtLeast(MEMORY_BYTES / 2);
        body.close();
        assertThat(body(exchange)).isEqualTo("ok");
        // The task of the event loop that completes the response releases the memory before it ends.
        group.next().submit(() -> {}).syncUninterruptibly();
        assertThat(memory.reservedBytes()).isEqualTo(0);
    }

    private static int writeWhileAccepted(HttpRequestWriter body, int atMost) {
        int written = 0;
        while (written < atMost && body.tryWrite(PART)) {
            written += PART.length();
            body.whenConsumed().exceptionally(failure -> null).join();
        }
        return written;
    }

    private static String body(Exchange exchange) {
        return exchange.headers()
                .thenCompose(exchange::aggregate)
                .thenCompose(HttpResponse::aggregate)
                .join()
                .contentUtf8();
    }

    private static void assertRefused(Exchange exchange) {
        CompletionException thrown =
                assertThrows(CompletionException.class, () -> exchange.headers().join());
        assertThat(((MustardusherException) thrown.getCause()).code()).isEqualTo(ResultCode.BODY_MEMORY_EXHAUSTED);
    }

    private static RequestHeaders headers() {
        return RequestHeaders.builder(HttpMethod.POST, "/")
                .authority("h.example")
                .set("id", "a")
                .set(CallHeaders.IDEMPOTENT, "0")
                .build();
    }
}
