package io.mustardusher.server;

import java.io.IOException;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.util.EventLoopGroups;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a response that is taken for the response to another run of its request. A server may respond twice,
 * the second time late, and both responses name the request, which may have been sent again meanwhile.
 */
class RepeatedRequestTest {

    private static final long REMAINING_NANOS = 5_000 * Clock.NANOS_PER_MILLI;

    private final EventLoopGroup group = EventLoopGroups.newEventLoopGroup(1, "repeated", true);
    private ScriptedServer server;
    private ServerLink link;

    @BeforeEach
    void listen() throws IOException {
        server = new ScriptedServer();
        // The clock stands still, so that no connection becomes too old to be reused.
        link = BufferedServerLink.factory(
                        group, EchoDialect.INSTANCE, ServerReports.Discarding.INSTANCE, new Clock.Manual())
                .open(server.announcement());
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        server.close();
        group.shutdownGracefully();
    }

    // Guards against a success that is delivered although the run that it answers has failed.
    @Test
    void secondRunIsNotAnsweredByLateSuccessOfFirstRun() {
        respondLate(
                response("500 Failed", "first run"), response("200 OK", "late"), response("500 Failed", "second run"));
        assertThat(send("one").contentUtf8()).isEqualTo("first run");
        AggregatedHttpResponse second = send("one");
        assertThat(second.contentUtf8()).isEqualTo("second run");
        assertThat(second.status().code()).isEqualTo(500);
    }

    // Guards against a late refusal of the first sending, by which a request that is running is declared not run.
    @Test
    void secondSendingIsNotRefusedByLateRefusalOfFirst() {
        String refusal = refusal("id: one\r\n");
        respondLate(refusal, refusal, response("200 OK", "ran"));
        assertThat(code(send("one"))).isEqualTo(ResultCode.SERVER_REFUSED);
        assertThat(send("one").contentUtf8()).isEqualTo("ran");
    }

    @Test
    void otherRequestsReuseTheConnection() {
        server.serve((number, id) -> "HTTP/1.1 200 OK\r\nid: " + id + "\r\ncontent-length: 0\r\n\r\n");
        send("one");
        send("two");
        assertThat(server.connections()).isEqualTo(1);
    }

    // Guards against a connection whose memory of requests grows without bound, or that forgets one of them.
    @Test
    void connectionIsReplacedWhenItsMemoryIsFull() {
        server.serve((number, id) -> "HTTP/1.1 200 OK\r\nid: " + id + "\r\ncontent-length: 0\r\n\r\n");
        for (int i = 0; i < CarriedRequests.CAPACITY; i++) {
            send("a".repeat(i + 1));
        }
        assertThat(server.connections()).isEqualTo(1);
        send("next");
        assertThat(server.connections()).isEqualTo(2);
    }

    // The server responds late on the connection that carried the first request, and to the second run on any other.
    private void respondLate(String first, String late, String second) {
        server.serve((number, id) -> {
            if (number == 0) {
                return first;
            }
            return server.connections() == 1 ? late + second : second;
        });
    }

    private static String response(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nid: one\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String refusal(String fields) {
        return "HTTP/1.1 503 Busy\r\nnot-run: 1\r\n" + fields + "content-length: 0\r\n\r\n";
    }

    private static ResultCode code(AggregatedHttpResponse response) {
        return ResultCode.of(response.headers().get(CallHeaders.CODE)).orElseThrow();
    }

    private AggregatedHttpResponse send(String id) {
        Exchange exchange = start(id);
        return exchange.headers()
                .thenCompose(exchange::aggregate)
                .thenCompose(HttpResponse::aggregate)
                .join();
    }

    private Exchange start(String id) {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/")
                .authority("h.example")
                .set("id", id)
                .set(CallHeaders.IDEMPOTENT, "1")
                .build();
        return link.send(HttpRequest.of(headers), REMAINING_NANOS);
    }
}
