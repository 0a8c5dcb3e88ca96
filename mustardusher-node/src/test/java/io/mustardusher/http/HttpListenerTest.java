package io.mustardusher.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class HttpListenerTest {

    private static final int WAIT_MILLIS = 20_000;
    private static final int POLL_MILLIS = 20;
    private static final int MAX_WAITS = WAIT_MILLIS / POLL_MILLIS;
    private static final RequestLimits LIMITS = new RequestLimits(16 << 10, 1 << 20, 3_000, 15_000);

    private final Clock.Manual clock = new Clock.Manual();
    private final MetricRegistry metrics = new MetricRegistry();
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpListener listener = new HttpListener(group, clock, metrics);
    private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
    private final AtomicReference<Error> limitsFailure = new AtomicReference<>();
    private CallerSocket sender;
    private int waits;

    @BeforeEach
    void connect() throws IOException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        sender = new CallerSocket(listener.bind(any, this::receive, this::limits));
    }

    @AfterEach
    void close() throws IOException {
        sender.close();
        listener.close();
        group.shutdownGracefully();
    }

    @Test
    void answersRequestsOnOneConnection() throws Exception {
        sender.send("GET /a HTTP/1.1\r\nHost: s\r\n\r\n");
        next().answer("first");
        assertThat(sender.readUntil("first")).startsWith("HTTP/1.1 200 OK\r\n");
        sender.send("GET /b HTTP/1.1\r\nHost: s\r\n\r\n");
        next().answer("second");
        assertThat(sender.readUntil("second")).contains("content-length: 6\r\n");
    }

    @Test
    void countsRequestWhoseHeadCannotBeRead() throws Exception {
        sender.send("GET /a b HTTP/1.1 c\r\nHost: s\r\n\r\n");
        assertThat(sender.readUntil("\r\n\r\n")).startsWith("HTTP/1.1 400 ");
        assertThat(metrics.counter("listener.rejected.400").getCount()).isEqualTo(1);
    }

    @Test
    void collectsBodyInChunks() throws Exception {
        sender.send("POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        assertThat(received.poll(50, TimeUnit.MILLISECONDS)).isNull();
        sender.send("4\r\ndefg\r\n0\r\n\r\n");
        Received request = next();
        assertThat(request.aggregated().contentUtf8()).isEqualTo("abcdefg");
        assertThat(request.request.headers().contentLength()).isEqualTo(7);
        assertThat(request.request.headers().contains("transfer-encoding")).isFalse();
    }

    @Test
    void streamsLongBodyBeforeItIsComplete() throws Exception {
        byte[] half = new byte[100_000];
        sender.send("POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 200000\r\n\r\n");
        sender.send(half);
        Received request = next();
        CompletableFuture<AggregatedHttpRequest> body = request.request.aggregate();
        sender.send(half);
        assertThat(body.get(WAIT_MILLIS, TimeUnit.MILLISECONDS).content().length())
                .isEqualTo(200_000);
    }

    /** A body that stalls must not hide its request from the deadline of the call. */
    @Test
    void handsOverRequestWhoseBodyStalls() throws Exception {
        sender.send("POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 10\r\n\r\nabc");
        assertThat(nextWhileTimePasses().request.path()).isEqualTo("/a");
    }

    @Test
    void answersBeforeBodyIsCompleteAndCloses() throws Exception {
        sender.send("POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 10\r\n\r\nabc");
        nextWhileTimePasses().answer("early");
        // Read first: a body that completes before the response leaves the connection open.
        assertThat(sender.readUntil("early").toLowerCase(Locale.ROOT)).contains("connection: close");
        sender.send("defghij");
        assertThat(sender.readAll()).isEmpty();
    }

    @Test
    void asksForBodyThatIsExpected() throws Exception {
        sender.send("POST /a HTTP/1.1\r\nHost: s\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        sender.readUntil("HTTP/1.1 100 Continue\r\n\r\n");
        sender.send("ok");
        assertThat(next().aggregated().contentUtf8()).isEqualTo("ok");
    }

    @Test
    void sendsNoContentInResponseToHead() throws Exception {
        sender.send("HEAD /a HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n");
        next().answer("content");
        String response = sender.readAll();
        assertThat(response).contains("content-length: 7\r\n");
        assertThat(response).endsWith("\r\n\r\n");
    }

    @Test
    void handlesNothingBehindRequestThatClosesConnection() throws Exception {
        sender.send("GET /a HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\nGET /b HTTP/1.1\r\nHost: s\r\n\r\n");
        next().answer("last");
        assertThat(sender.readAll()).endsWith("last");
        assertThat(received).isEmpty();
    }

    @Test
    void endsExchangesOfSenderThatDisconnects() throws Exception {
        sender.send("GET /a HTTP/1.1\r\nHost: s\r\n\r\nGET /b HTTP/1.1\r\nHost: s\r\n\r\n");
        Received first = next();
        Received second = next();
        sender.close();
        first.exchange.cancelled().get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        second.exchange.ended().get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Test
    void rejectsHeaderBlockWithoutEnd() throws Exception {
        sender.send("GET /a HTTP/1.1\r\n");
        String line = "X-Filler: " + "x".repeat(1_000) + "\r\n";
        assertThat(sendUntilClosed(line)).contains("HTTP/1.1 431 ");
        assertThat(received).isEmpty();
    }

    @Test
    void rejectsRequestLineWithoutEnd() throws Exception {
        sender.send("GET /");
        assertThat(sendUntilClosed("x".repeat(1_000))).contains("HTTP/1.1 400 ");
        assertThat(received).isEmpty();
    }

    @Test
    void closesConnectionOnChunkSizeWithoutEnd() throws Exception {
        sender.send("POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n5;");
        sendUntilClosed("x".repeat(1_000));
        assertThat(received).isEmpty();
    }

    /** The status promises that the request has not run. */
    @Test
    void rejectsHeaderBlockThatTakesTooLong() throws Exception {
        sender.send("GET /a HTTP/1.1\r\nHost: s");
        while (!sender.hasAnswer()) {
            clock.advanceMillis(LIMITS.headerTimeoutMillis() / 2);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        assertThat(sender.readAll()).startsWith("HTTP/1.1 408 ");
        assertThat(received).isEmpty();
    }

    @Test
    void closesIdleConnectionOnlyAfterItsLimit() throws Exception {
        sender.send("GET /a HTTP/1.1\r\nHost: s\r\n\r\n");
        next().answer("done");
        sender.readUntil("done");
        clock.advanceMillis(LIMITS.idleTimeoutMillis() - 1);
        sender.send("GET /b HTTP/1.1\r\nHost: s\r\n\r\n");
        Received late = next();
        clock.advanceMillis(LIMITS.idleTimeoutMillis() + 1);
        late.answer("not idle");
        sender.readUntil("not idle");
        clock.advanceMillis(LIMITS.idleTimeoutMillis() + 1);
        assertThat(sender.readAll()).isEmpty();
    }

    // Guards against connections that are never closed any more after one check of their limits has failed.
    @Test
    void checksLimitsAfterFailedCheck() throws Exception {
        limitsFailure.set(new StackOverflowError("expected by the test"));
        sender.send("GET /a HTTP/1.1\r\nHost: s");
        while (limitsFailure.get() != null || !sender.hasAnswer() && waits++ < MAX_WAITS) {
            clock.advanceMillis(LIMITS.headerTimeoutMillis() / 2);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        assertThat(sender.hasAnswer()).isTrue();
        assertThat(sender.readAll()).startsWith("HTTP/1.1 408 ");
    }

    private RequestLimits limits() {
        Error failure = limitsFailure.getAndSet(null);
        if (failure != null) {
            throw failure;
        }
        return LIMITS;
    }

    private HttpResponse receive(HttpRequest request, RequestExchange exchange) {
        Received next = new Received(request, exchange, new CompletableFuture<>());
        received.add(next);
        return HttpResponse.of(next.response);
    }

    private Received next() throws InterruptedException {
        Received next = received.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(next).isNotNull();
        return next;
    }

    private Received nextWhileTimePasses() throws InterruptedException {
        Received next = null;
        for (int waited = 0; next == null && waited < WAIT_MILLIS; waited += POLL_MILLIS) {
            clock.advanceMillis(500);
            next = received.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
        assertThat(next).isNotNull();
        return next;
    }

    // Returns what was answered, as far as it arrived before the connection was reset.
    private String sendUntilClosed(String text) throws IOException {
        StringBuilder answer = new StringBuilder();
        try {
            for (int i = 0; i < 10_000 && !sender.hasAnswer(); i++) {
                sender.send(text);
            }
            answer.append(sender.readAll());
        } catch (SocketException e) {
            return answer.toString();
        }
        return answer.toString();
    }

    private record Received(HttpRequest request, RequestExchange exchange, CompletableFuture<HttpResponse> response) {

        AggregatedHttpRequest aggregated() throws Exception {
            return request.aggregate().get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }

        void answer(String body) {
            response.complete(HttpResponse.of(ResponseHeaders.of(HttpStatus.OK), HttpData.ofUtf8(body)));
        }
    }
}
