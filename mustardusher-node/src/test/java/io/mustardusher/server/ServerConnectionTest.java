package io.mustardusher.server;

import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import io.mustardusher.generated.Announcement;
import io.mustardusher.time.Clock;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

/** Guards against bytes of one response that are taken for those of another on the same connection. */
class ServerConnectionTest {

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final BufferedServerLink link = (BufferedServerLink) BufferedServerLink.factory(
                    group, EchoDialect.INSTANCE, ServerReports.Discarding.INSTANCE, new Clock.Manual())
            .open(new Announcement()
                    .withHost(InetAddress.getLoopbackAddress().getHostAddress())
                    .withPort(1L));
    private EmbeddedChannel channel;
    private ServerConnection connection;

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
        group.shutdownGracefully();
    }

    // Guards against a failure that is lost because a second response arrives in pieces before and behind the request.
    @Test
    void secondResponseInPiecesHidesNoFailure() {
        List<String> secondResponses = List.of(
                response("200 OK", "one", "again"),
                "HTTP/1.1 200 OK\r\nid: one\r\ntransfer-encoding: chunked\r\n\r\n5\r\nagain\r\n0\r\n\r\n",
                "HTTP/1.1 204 No Content\r\nid: one\r\n\r\n");
        for (String second : secondResponses) {
            // The connection is closed as soon as the head is whole.
            for (int cut = 0; cut < second.indexOf("\r\n\r\n") + 4; cut++) {
                connect();
                send(HttpMethod.GET, "one");
                receive(response("200 OK", "one", "own"));
                receive(second.substring(0, cut));
                CompletableFuture<AggregatedHttpResponse> two = send(HttpMethod.GET, "two");
                receiveBytes(
                        second.substring(cut) + response("500 Failed", "two", "own") + response("200 OK", "two", "x"));
                assertWithMessage(second + " cut at " + cut)
                        .that(two.join().status().code())
                        .isEqualTo(500);
            }
        }
    }

    // Guards against a call that waits until its deadline behind a late response without end.
    @Test
    void endlessLateResponseIsGivenUp() {
        connect();
        send(HttpMethod.GET, "one");
        receive(response("200 OK", "one", "own"));
        CompletableFuture<AggregatedHttpResponse> two = send(HttpMethod.GET, "two");
        receive("HTTP/1.1 200 OK\r\nid: one\r\n\r\n");
        for (int sent = 0; sent < 2_000 && channel.isOpen(); sent++) {
            receive("x".repeat(1_000));
        }
        CompletionException thrown = assertThrows(CompletionException.class, two::join);
        assertThat(thrown).hasMessageThat().contains(ResponseFault.ENDLESS_MISMATCH.description());
    }

    // Guards against an idle connection that is used again although a response has arrived for which nothing waits.
    @Test
    void connectionIsClosedByResponseWithoutRequest() {
        connect();
        send(HttpMethod.GET, "one");
        receive(response("200 OK", "one", "own"));
        assertThat(channel.isOpen()).isTrue();
        receiveBytes("HTTP/1.1 200 OK\r\nid: one\r\ncontent-length: 9\r\n\r\n");
        assertThat(channel.isOpen()).isFalse();
    }

    // Guards against a call that never ends because content follows a status that has none.
    @Test
    void exchangeEndsWithContentBehindStatusWithoutContent() {
        connect();
        CompletableFuture<AggregatedHttpResponse> one = send(HttpMethod.GET, "one");
        receive(response("205 Reset Content", "one", "content"));
        assertThat(one.isDone()).isTrue();
    }

    // Guards against a failure that is taken for the body of a second response to HEAD, which states a length only.
    @Test
    void secondResponseToHeadHidesNoFailure() {
        connect();
        String failure = response("500 Failed", "two", "own");
        String toHead = "HTTP/1.1 200 OK\r\nid: one\r\ncontent-length: " + failure.length() + "\r\n\r\n";
        send(HttpMethod.HEAD, "one");
        receive(toHead);
        // A connection that is not used again cannot mix anything up.
        if (channel.isOpen()) {
            CompletableFuture<AggregatedHttpResponse> two = send(HttpMethod.GET, "two");
            receive(toHead + failure + response("200 OK", "two", "late"));
            assertThat(isSuccess(two)).isFalse();
        }
    }

    // Guards against a failure that is taken for the rest of a second response that was cut short.
    @Test
    void secondResponseThatIsCutHidesNoFailure() {
        connect();
        String failure = response("500 Failed", "two", "own");
        String cut = "HTTP/1.1 200 OK\r\nid: one\r\ncontent-length: " + failure.length() + "\r\n\r\n";
        send(HttpMethod.GET, "one");
        receive(cut + "x".repeat(failure.length()));
        CompletableFuture<AggregatedHttpResponse> two = send(HttpMethod.GET, "two");
        receive(cut + failure + response("200 OK", "two", "late"));
        assertThat(isSuccess(two)).isFalse();
    }

    // Guards against a success whose missing rest is the beginning of a second response to the same request.
    @Test
    void secondResponseDoesNotCompleteCutResponse() {
        String whole = response("200 OK", "one", "x".repeat(400));
        int headLength = whole.indexOf("\r\n\r\n") + 4;
        List<Integer> deliveries = new ArrayList<>();
        for (int cut = headLength; cut < whole.length(); cut++) {
            connect();
            CompletableFuture<AggregatedHttpResponse> one = send(HttpMethod.GET, "one");
            receive(whole.substring(0, cut));
            receive(whole);
            pause();
            if (isSuccess(one)) {
                deliveries.add(cut);
            }
        }
        assertWithMessage("cut at").that(deliveries).isEmpty();
    }

    // Guards against a success with a second response to the same request as a part of its body.
    @Test
    void secondResponseIsNoPartOfUnframedResponse() {
        connect();
        CompletableFuture<AggregatedHttpResponse> one = send(HttpMethod.GET, "one");
        receive("HTTP/1.1 200 OK\r\nid: one\r\n\r\nown");
        receive(response("200 OK", "one", "own"));
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        assertThat(isSuccess(one)).isFalse();
    }

    // Guards against a success whose missing rest is the beginning of a second response that arrives in pieces.
    @Test
    void secondResponseInPiecesDoesNotCompleteCutResponse() {
        for (String second : secondResponses()) {
            assertSecondResponseCompletesNone(second, 1);
        }
    }

    // Guards against a second response that is not recognized in a cut response because of the form of its head.
    @Test
    void secondResponseInAnyFormDoesNotCompleteCutResponse() {
        for (String second : secondResponses()) {
            assertSecondResponseCompletesNone(second, Integer.MAX_VALUE);
        }
    }

    private static List<String> secondResponses() {
        return List.of(
                response("200 OK", "one", "again"),
                "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nid: one\r\n\r\nagain",
                "HTTP/1.0 200 OK\r\nID:one\r\n\r\nagain",
                "HTTP/1.1 200 OK\nid: one\ncontent-length: 5\n\nagain",
                "HTTP/1.1 200 OK\r\nid:\r\n one\r\ncontent-length: 5\r\n\r\nagain",
                "HTTP/1.1 200 OK\r\nid : one\r\ncontent-length: 5\r\n\r\nagain",
                "HTTP/1.1 200 OK\r\nid: one\r\ntransfer-encoding: chunked\r\n\r\n5\r\nagain\r\n0\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n" + response("200 OK", "one", "again"));
    }

    private void assertSecondResponseCompletesNone(String second, int partLength) {
        String own = "x".repeat(second.length());
        for (int missing = 1; missing <= second.length(); missing++) {
            connect();
            CompletableFuture<AggregatedHttpResponse> one = send(HttpMethod.GET, "one");
            receive("HTTP/1.1 200 OK\r\nid: one\r\ncontent-length: " + own.length() + "\r\n\r\n");
            receive(own.substring(missing));
            if (partLength == 1) {
                receiveBytes(second);
            } else {
                receive(second);
            }
            pause();
            assertWithMessage(missing + " bytes missing before " + second)
                    .that(isSuccess(one))
                    .isFalse();
        }
    }

    // Guards against a success without a length behind which a second response begins that is cut among its headers.
    @Test
    @Tag("known-red")
    void beginningOfSecondResponseIsNoPartOfUnframedResponse() {
        for (String second : secondResponses()) {
            int headStart = second.lastIndexOf("HTTP/1.");
            int statusEnd = second.indexOf('\n', headStart) + 1;
            for (int cut = statusEnd; cut <= second.length(); cut++) {
                connect();
                CompletableFuture<AggregatedHttpResponse> one = send(HttpMethod.GET, "one");
                receive("HTTP/1.1 200 OK\r\nid: one\r\n\r\nown" + second.substring(0, cut));
                channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
                assertWithMessage(second.substring(0, cut)).that(isSuccess(one)).isFalse();
            }
        }
    }

    // Guards against a success whose head is that of a cut response, continued by a second response with another body.
    @Test
    void secondResponseDoesNotCompleteCutHead() {
        String failure = "HTTP/1.1 500 Failed\r\na: b\r\nid: one\r\ncontent-length: 3\r\n\r\nown";
        String success = "HTTP/1.1 200 OK\r\na: b\r\nid: one\r\ncontent-length: 5\r\n\r\nagain";
        List<String> deliveries = new ArrayList<>();
        for (String own : List.of(failure, success)) {
            String second = own.equals(failure) ? success : failure;
            for (int cut = 1; cut < own.indexOf("\r\n\r\n") + 4; cut++) {
                connect();
                CompletableFuture<AggregatedHttpResponse> one = send(HttpMethod.GET, "one");
                receive(own.substring(0, cut) + second);
                pause();
                if (isSuccess(one)) {
                    deliveries.add(own.substring(0, cut));
                }
            }
        }
        assertThat(deliveries).isEmpty();
    }

    // Guards against a failure whose head is taken for the rest of the head of a late response that was cut.
    @Test
    void secondResponseThatIsCutInItsHeadHidesNoFailure() {
        String second = "HTTP/1.1 100 Continue\r\na: b\r\n\r\nHTTP/1.1 200 OK\r\na: b\r\nid: one\r\n\r\n";
        for (int cut = 1; cut < second.length(); cut++) {
            connect();
            send(HttpMethod.GET, "one");
            receive(response("200 OK", "one", "own") + second.substring(0, cut));
            CompletableFuture<AggregatedHttpResponse> two = send(HttpMethod.GET, "two");
            receive(response("500 Failed", "two", "") + response("200 OK", "two", "late"));
            pause();
            assertWithMessage(second.substring(0, cut)).that(isSuccess(two)).isFalse();
        }
    }

    // Guards against a success in chunks that is cut at any byte and continued by a second response.
    @Test
    void secondResponseDoesNotCompleteChunks() {
        String body = "x".repeat(0x40);
        String head = "HTTP/1.1 200 OK\r\nid: one\r\ntransfer-encoding: chunked\r\n\r\n";
        String chunks = "20;a=b\r\n" + body.substring(0x20) + "\r\n20\r\n" + body.substring(0x20) + "\r\n0\r\n\r\n";
        List<String> seconds = List.of(head + chunks, response("200 OK", "one", body), response("200 OK", "one", ""));
        for (String second : seconds) {
            for (int cut = 0; cut < chunks.length(); cut++) {
                connect();
                CompletableFuture<AggregatedHttpResponse> one = send(HttpMethod.GET, "one");
                receive(head + chunks.substring(0, cut));
                receive(second);
                pause();
                if (isSuccess(one)) {
                    assertWithMessage(second + " behind " + chunks.substring(0, cut))
                            .that(one.join().contentUtf8())
                            .isEqualTo(body);
                }
            }
        }
    }

    // Guards against a success in chunks that is cut in the line of a chunk's size, which then hides a status line.
    @Test
    void secondResponseInLineOfChunkSizeDoesNotCompleteChunks() {
        String head = "HTTP/1.1 200 OK\r\nid: one\r\ntransfer-encoding: chunked\r\n\r\n";
        String chunks = "44;a=b\r\n" + "x".repeat(0x44) + "\r\n0\r\n\r\n";
        for (int cut = 1; cut < chunks.indexOf('\n'); cut++) {
            connect();
            CompletableFuture<AggregatedHttpResponse> one = send(HttpMethod.GET, "one");
            receive(head + chunks.substring(0, cut) + head + chunks);
            pause();
            assertWithMessage(chunks.substring(0, cut)).that(isSuccess(one)).isFalse();
        }
    }

    // Guards against a success in chunks that looks whole although a second response took the place of its end.
    @Test
    void secondResponseIsNoEndOfChunks() {
        String whole = "HTTP/1.1 200 OK\r\nid: one\r\ntransfer-encoding: chunked\r\n\r\n"
                + "3\r\nown\r\n0;last\r\ntrailer: 1\r\nother: 2\r\n\r\n";
        for (String second : List.of(whole, response("200 OK", "one", "own"))) {
            for (int cut = whole.indexOf("0;last"); cut < whole.length() - 2; cut++) {
                connect();
                CompletableFuture<AggregatedHttpResponse> one = send(HttpMethod.GET, "one");
                receive(whole.substring(0, cut));
                receive(second);
                pause();
                assertWithMessage(second + " behind " + whole.substring(0, cut))
                        .that(isSuccess(one))
                        .isFalse();
            }
        }
    }

    // Guards against a failure whose head is taken for the trailers or a chunk of a late response that is cut.
    @Test
    void secondResponseInChunksThatIsCutHidesNoFailure() {
        String head = "HTTP/1.1 200 OK\r\nid: one\r\ntransfer-encoding: chunked\r\n\r\n";
        String chunks = "3;a=b\r\nown\r\n0;c=d\r\n\r\n";
        for (String body : List.of("", "own")) {
            for (int cut = 0; cut < chunks.length(); cut++) {
                connect();
                send(HttpMethod.GET, "one");
                receive(response("200 OK", "one", "own"));
                CompletableFuture<AggregatedHttpResponse> two = send(HttpMethod.GET, "two");
                receive(head + chunks.substring(0, cut));
                receive(response("500 Failed", "two", body) + response("200 OK", "two", "late"));
                assertWithMessage(body + " behind " + chunks.substring(0, cut))
                        .that(isSuccess(two))
                        .isFalse();
            }
        }
    }

    // Guards against a success that is completed by a second response to a health probe, which names no request.
    @Test
    void secondResponseToProbeDoesNotCompleteCutResponse() {
        connect();
        String second = "HTTP/1.1 200 OK\r\ninstance: i-1\r\ncontent-length: 2\r\n\r\nok";
        CompletableFuture<AggregatedHttpResponse> probe = new CompletableFuture<>();
        send(
                HttpMethod.GET,
                "",
                ServerExchange.ofUnmodified(
                        EchoDialect.INSTANCE, ServerReports.Discarding.INSTANCE, new Clock.Manual(), probe));
        receive(second);
        assertThat(probe.join().contentUtf8()).isEqualTo("ok");
        assertThat(channel.isOpen()).isTrue();
        CompletableFuture<AggregatedHttpResponse> one = send(HttpMethod.GET, "one");
        receive("HTTP/1.1 200 OK\r\nid: one\r\ncontent-length: " + (second.length() + 3) + "\r\n\r\nown" + second);
        assertThat(isSuccess(one)).isFalse();
    }

    // Guards against a response that fails, or an exchange without an end, because its body quotes odd header lines.
    @Test
    void bodyMayContainInvalidHeaders() {
        List<String> lines =
                List.of("a=b;c: 1", ": 1", "caf\u00e9: 1", "a: \u0000", "a: b\u000bc", "{\"a\": 1}", "a\tb: 1");
        for (String line : lines) {
            String body = "HTTP/1.1 404 Not Found\r\n" + line + "\r\n\r\n";
            connect();
            CompletableFuture<AggregatedHttpResponse> framed = send(HttpMethod.GET, "one");
            receive(response("200 OK", "one", body));
            pause();
            assertWithMessage("framed: " + line).that(isSuccess(framed)).isTrue();
            connect();
            CompletableFuture<AggregatedHttpResponse> unframed = send(HttpMethod.GET, "one");
            receive("HTTP/1.1 200 OK\r\nid: one\r\n\r\n" + body);
            channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            assertWithMessage("unframed: " + line).that(isSuccess(unframed)).isTrue();
        }
    }

    // Guards against an event loop that is blocked by a body with many status lines.
    @Test
    void manyStatusLinesAreSearchedInLinearTime() {
        String body = "HTTP/1.1 200\r\n".repeat(300_000);
        connect();
        CompletableFuture<AggregatedHttpResponse> one = send(HttpMethod.GET, "one");
        assertTimeoutPreemptively(Duration.ofSeconds(30), () -> receive(response("200 OK", "one", body)));
        pause();
        assertThat(one.isDone()).isTrue();
    }

    // Guards against bodies that are taken for a second response because they quote the protocol.
    @Test
    void bodyMayQuoteProtocol() {
        String head = "HTTP/1.1 404 Not Found\r\nid: other\r\n\r\n";
        List<String> bodies =
                List.of("see HTTP/1.1 404", "GET / HTTP/1.1\r\nid: one\r\n\r\n", head, head + "x", "HTTP");
        for (String body : bodies) {
            connect();
            CompletableFuture<AggregatedHttpResponse> framed = send(HttpMethod.GET, "one");
            receive(response("200 OK", "one", body));
            pause();
            assertWithMessage("framed: " + body)
                    .that(framed.join().contentUtf8())
                    .isEqualTo(body);
            connect();
            CompletableFuture<AggregatedHttpResponse> unframed = send(HttpMethod.GET, "one");
            receive("HTTP/1.1 200 OK\r\nid: one\r\n\r\n" + body);
            channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            assertWithMessage("unframed: " + body)
                    .that(unframed.join().contentUtf8())
                    .isEqualTo(body);
        }
    }

    // Guards against a failure that is passed over because it names a request that the connection has not carried.
    @Test
    void failureThatNamesUnknownRequestIsNotPassedOver() {
        connect();
        CompletableFuture<AggregatedHttpResponse> one = send(HttpMethod.GET, "one");
        receive(response("500 Failed", "unknown", "own") + response("200 OK", "one", "late"));
        assertThat(isSuccess(one)).isFalse();
    }

    // Guards against a late refusal without a name that is believed for a request that has none either.
    @Test
    void requestWithoutIdentifierIsNotRefusedByLateRefusal() {
        connect();
        send(HttpMethod.GET, "one");
        receive(response("200 OK", "one", "own"));
        CompletableFuture<AggregatedHttpResponse> unnamed = send(HttpMethod.GET, "");
        receive("HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n");
        assertThat(unnamed.isCompletedExceptionally()).isTrue();
    }

    private static boolean isSuccess(CompletableFuture<AggregatedHttpResponse> response) {
        return response.isDone()
                && !response.isCompletedExceptionally()
                && response.join().status().isSuccess();
    }

    private void connect() {
        channel = new EmbeddedChannel();
        channel.freezeTime();
        connection = new ServerConnection(link, channel, new Clock.Manual());
        channel.pipeline().addLast(BufferedServerLink.createCodec(), connection);
    }

    private CompletableFuture<AggregatedHttpResponse> send(HttpMethod method, String id) {
        CompletableFuture<AggregatedHttpResponse> response = new CompletableFuture<>();
        ServerExchange exchange = new ServerExchange(
                EchoDialect.INSTANCE, ServerReports.Discarding.INSTANCE, new Clock.Manual(), response);
        send(method, id, exchange);
        return response;
    }

    private void send(HttpMethod method, String id, ServerExchange exchange) {
        RequestHeadersBuilder headers = RequestHeaders.builder(method, "/").authority("h.example");
        if (!id.isEmpty()) {
            headers.set("id", id);
        }
        connection.send(exchange, HttpRequest.of(headers.build()), null, 1);
        ReferenceCountUtil.release(channel.readOutbound());
    }

    private void receive(String bytes) {
        if (channel.isOpen()) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        }
    }

    // Lets the time pass for which bytes are awaited that show whether a body is whole.
    private void pause() {
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
    }

    // Receives one byte at a time.
    private void receiveBytes(String bytes) {
        bytes.chars().forEach(next -> receive(Character.toString(next)));
    }

    private static String response(String status, String id, String body) {
        return "HTTP/1.1 " + status + "\r\nid: " + id + "\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
    }
}
