package io.mustardusher.server;

import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.generated.Announcement;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against a head that is cut within a line and continued by the next response, so that one response has the
 * status of the first and the headers and the body of the second.
 */
class CutHeadsTest {

    private static final String SUCCESS = response("200 OK", "one", "success");
    private static final String REFUSAL =
            "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nid: one\r\ncontent-length: 0\r\nnote: full\r\n\r\n";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final BufferedServerLink link = (BufferedServerLink) BufferedServerLink.factory(
                    group, EchoDialect.INSTANCE, ServerReports.Discarding.INSTANCE, new Clock.Manual())
            .open(new Announcement()
                    .withHost(InetAddress.getLoopbackAddress().getHostAddress())
                    .withPort(1L));
    private final List<EmbeddedChannel> channels = new ArrayList<>();
    private EmbeddedChannel channel;
    private ServerConnection connection;

    @AfterEach
    void close() {
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
        group.shutdownGracefully();
    }

    // Guards against a success with the body of the failure that the server answered the second time.
    @Test
    void secondFailureDoesNotContinueHeadOfSuccess() {
        for (int cut = 1; cut < headLength(SUCCESS); cut++) {
            connect();
            CompletableFuture<AggregatedHttpResponse> one = send("one");
            receive(SUCCESS.substring(0, cut));
            receive(response("500 Failed", "one", "failure"));
            assertNoSuccess("cut at " + cut, one);
        }
    }

    // Guards against a success in place of the failure that is due, by a late response that is cut.
    @Test
    void lateHeadHidesNoFailure() {
        for (String behind : List.of("", response("200 OK", "two", "success"))) {
            for (int cut = 1; cut < headLength(SUCCESS); cut++) {
                connect();
                send("one");
                receive(SUCCESS);
                CompletableFuture<AggregatedHttpResponse> two = send("two");
                receive(SUCCESS.substring(0, cut));
                receive(response("500 Failed", "two", "failure") + behind);
                assertNoSuccess("cut at " + cut, two);
                assertWithMessage("cut at " + cut).that(two.isDone()).isTrue();
            }
        }
    }

    // Guards against a call that is sent on although it ran, because a late refusal that is cut takes in its success.
    @Test
    void lateRefusalTakesInNoSuccess() {
        for (int cut = 1; cut < headLength(REFUSAL); cut++) {
            connect();
            send("one");
            receive(REFUSAL);
            CompletableFuture<AggregatedHttpResponse> two = send("two");
            receive(REFUSAL.substring(0, cut));
            receive(response("200 OK", "two", "success"));
            String details = "cut at " + cut;
            CompletionException lost = assertThrows(CompletionException.class, two::join, details);
            assertWithMessage(details)
                    .that(((MustardusherException) lost.getCause()).code())
                    .isEqualTo(ResultCode.CONNECTION_LOST);
        }
    }

    // Guards against sound responses that are lost because a header names the protocol.
    @Test
    void headerMayNameProtocol() {
        connect();
        CompletableFuture<AggregatedHttpResponse> one = send("one");
        receive("HTTP/1.1 200 OK\r\nid: one\r\nvia: HTTP/1.1 relay\r\ncontent-length: 0\r\n\r\n");
        assertThat(one.join().headers().get(CallHeaders.OUTCOME)).isEqualTo("ran");
    }

    private static void assertNoSuccess(String details, CompletableFuture<AggregatedHttpResponse> response) {
        boolean success = response.isDone()
                && !response.isCompletedExceptionally()
                && response.join().status().isSuccess();
        assertWithMessage(details).that(success).isFalse();
    }

    private static int headLength(String response) {
        return response.indexOf("\r\n\r\n") + 4;
    }

    private static String response(String status, String id, String body) {
        return "HTTP/1.1 " + status + "\r\nid: " + id + "\r\nload: 1,0,8\r\ncontent-length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private void connect() {
        channel = new EmbeddedChannel();
        channels.add(channel);
        connection = new ServerConnection(link, channel, new Clock.Manual());
        channel.pipeline().addLast(BufferedServerLink.createCodec(), connection);
    }

    private CompletableFuture<AggregatedHttpResponse> send(String id) {
        CompletableFuture<AggregatedHttpResponse> response = new CompletableFuture<>();
        ServerExchange exchange = new ServerExchange(
                EchoDialect.INSTANCE, ServerReports.Discarding.INSTANCE, new Clock.Manual(), response);
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/")
                .authority("h.example")
                .set("id", id)
                .build();
        connection.send(exchange, HttpRequest.of(headers), null, 1);
        ReferenceCountUtil.release(channel.readOutbound());
        return response;
    }

    private void receive(String bytes) {
        if (channel.isOpen()) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        }
    }
}
