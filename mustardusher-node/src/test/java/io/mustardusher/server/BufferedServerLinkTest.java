package io.mustardusher.server;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.util.EventLoopGroups;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against a response that is accepted as that of another request, or as complete although it is not, when a
 * server sends responses twice, late, truncated, or delimited by the close of the connection only.
 */
class BufferedServerLinkTest {

    private static final long REMAINING_NANOS = 5_000 * Clock.NANOS_PER_MILLI;

    private final EventLoopGroup group = EventLoopGroups.newEventLoopGroup(1, "garbled", true);
    private final List<Long> reportedColdMillis = new CopyOnWriteArrayList<>();
    private final List<String> reportedRepetitions = new CopyOnWriteArrayList<>();
    private final List<String> reportedDiscards = new CopyOnWriteArrayList<>();
    private ScriptedServer server;
    private ServerLink link;

    @BeforeEach
    void listen() throws IOException {
        server = new ScriptedServer();
        link = open(Clock.ForSystem.INSTANCE);
    }

    private ServerLink open(Clock clock) {
        return BufferedServerLink.factory(group, EchoDialect.INSTANCE, new HealthReports(), clock)
                .open(server.announcement());
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        server.close();
        group.shutdownGracefully();
    }

    @Test
    void connectionIsReusedAfterCompleteResponse() {
        serve((number, id) -> response(id, "a" + number));
        assertThat(responseBody("one")).isEqualTo("a0");
        assertThat(responseBody("two")).isEqualTo("a1");
        assertThat(server.connections()).isEqualTo(1);
    }

    @Test
    void responseToEarlierRequestIsDiscarded() {
        serve((number, id) -> number == 0 ? response(id, "own") : response("one", "other") + response(id, "own"));
        assertThat(responseBody("one")).isEqualTo("own");
        assertThat(responseBody("two")).isEqualTo("own");
    }

    // Guards against late responses that leave no trace in log and metrics.
    @Test
    void discardedResponsesAndRepeatedRequestsAreReported() {
        serve((number, id) -> number == 1 ? response("other", "late") + response(id, "own") : response(id, "own"));
        responseBody("other");
        responseBody("one");
        assertThat(reportedDiscards).containsExactly("200 to other instead of one");
        responseBody("two");
        responseBody("two");
        assertThat(reportedRepetitions).containsExactly("two");
    }

    // Guards against a refused probe, or an answer to a call, that is taken for the statement that a server is warm.
    @Test
    void onlyAnswersOfHealthyServerToProbesReportColdness() {
        serve((number, id) -> (number == 0 ? "HTTP/1.1 503 Busy" : "HTTP/1.1 200 OK")
                + (number == 1 ? "\r\nid: one" : "")
                + "\r\ncold: 70\r\ncontent-length: 0\r\n\r\n");
        link.probe("/", REMAINING_NANOS).join();
        assertThat(reportedColdMillis).isEmpty();
        responseBody("one");
        assertThat(reportedColdMillis).isEmpty();
        link.probe("/", REMAINING_NANOS).join();
        assertThat(reportedColdMillis).containsExactly(70L);
    }

    // Guards against the response to an earlier call, written late, that is taken for the answer to a probe.
    @Test
    void probeIsNotAnsweredByLateResponseToCall() {
        serve((number, id) -> number == 0
                ? response(id, "own")
                : response("one", "late") + "HTTP/1.1 200 OK\r\ncold: 70\r\ncontent-length: 0\r\n\r\n");
        responseBody("one");
        link.probe("/", REMAINING_NANOS).join();
        assertThat(reportedColdMillis).containsExactly(70L);
    }

    // Guards against a caller who is told that its request did not run, by the late refusal of an earlier one.
    @Test
    void refusalThatNamesNoRequestIsNoProofBehindEarlierRequests() {
        serve((number, id) -> number == 0 ? response(id, "own") : REFUSAL + response(id, "ran"));
        assertThat(responseBody("one")).isEqualTo("own");
        assertThat(failureCode(send("two"))).isEqualTo(ResultCode.CONNECTION_LOST);
    }

    // Guards against calls that fail although a server without room has refused them, and could not name them.
    @Test
    void refusalThatNamesNoRequestIsProofOnNewConnection() {
        serve((number, id) -> REFUSAL);
        List<String> ids = List.of("one", "two", "three");
        for (int i = 0; i < ids.size(); i++) {
            assertThat(send(ids.get(i)).headers().join().status()).isEqualTo(HttpStatus.SERVICE_UNAVAILABLE);
            assertThat(server.connections()).isEqualTo(i + 1);
        }
    }

    // Guards against a connection that is used again although what arrived on it shows that its order is lost.
    @Test
    void connectionIsClosedBehindResponseThatProvesNothing() {
        serve((number, id) -> number == 0
                ? "HTTP/1.1 200 OK\r\nid: one\r\nspoiled: 1\r\ncontent-length: 0\r\n\r\n"
                : response(id, "own"));
        assertThat(failureCode(send("one"))).isEqualTo(ResultCode.CONNECTION_LOST);
        assertThat(responseBody("two")).isEqualTo("own");
        assertThat(server.connections()).isEqualTo(2);
    }

    // Guards against a call that is lost because the server that took over an address refuses it without its name: such
    // a
    // refusal is believed on new connections only.
    @Test
    void connectionIsClosedBehindProbeThatAnotherInstanceAnswers() {
        serve((number, id) -> number == 0 ? "HTTP/1.1 200 OK\r\ninstance: i-2\r\ncontent-length: 0\r\n\r\n" : REFUSAL);
        link.probe("/", REMAINING_NANOS).join();
        assertThat(send("one").headers().join().status()).isEqualTo(HttpStatus.SERVICE_UNAVAILABLE);
    }

    // Guards against a refusal that is believed behind the response to a request that this connection did not carry.
    @Test
    void refusalThatNamesNoRequestIsNoProofBehindMismatch() {
        serve((number, id) -> response("other", "late") + REFUSAL);
        assertThat(failureCode(send("one"))).isEqualTo(ResultCode.CONNECTION_LOST);
    }

    @Test
    void truncatedResponseFails() {
        serve((number, id) -> "HTTP/1.1 200 OK\r\nid: " + id + "\r\ncontent-length: 10\r\n\r\nshort" + CLOSE);
        assertThat(failureCode(send("one"))).isEqualTo(ResultCode.CONNECTION_LOST);
    }

    @Test
    void responseDelimitedByCloseIsComplete() {
        serve((number, id) -> "HTTP/1.1 200 OK\r\nid: " + id + "\r\n\r\nto the end" + CLOSE);
        assertThat(responseBody("one")).isEqualTo("to the end");
    }

    @Test
    void responseDelimitedByResetFails() {
        serve((number, id) -> "HTTP/1.1 200 OK\r\nid: " + id + "\r\n\r\nto the end" + RESET);
        assertThat(failureCode(send("one"))).isEqualTo(ResultCode.CONNECTION_LOST);
    }

    @Test
    void malformedResponseFails() {
        serve((number, id) -> "what is this\r\n\r\n");
        assertThat(failureCode(send("one"))).isEqualTo(ResultCode.CONNECTION_LOST);
    }

    @Test
    void refusedConnectionFailsAsUnreachable() throws IOException {
        server.close();
        assertThat(failureCode(send("one"))).isEqualTo(ResultCode.SERVER_UNREACHABLE);
    }

    /** A full server never answers, and it answers nothing that is sent later on the same connection. */
    @Test
    void unansweredRequestFailsAtDeadlineAndItsConnectionIsNotReused() {
        serve((number, id) -> number == 1 ? "" : response(id, "a" + number));
        // The clock stands still and a connection is open, so that the request is sent before its deadline in any case.
        link = open(new Clock.Manual());
        assertThat(responseBody("one")).isEqualTo("a0");
        assertThat(failureCode(send("two", Clock.NANOS_PER_MILLI))).isEqualTo(ResultCode.DEADLINE_PASSED);
        assertThat(responseBody("three")).isEqualTo("a2");
        assertThat(server.connections()).isEqualTo(2);
    }

    private static final String CLOSE = ScriptedServer.CLOSE;
    private static final String RESET = ScriptedServer.RESET;
    private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";

    private final class HealthReports implements ServerReports {

        @Override
        public void onLoad(ReportedServerLoad load) {
            // The load does not matter here.
        }

        @Override
        public void onConditions(String instance, ServerConditions conditions, long sentNanos) {
            // The conditions do not matter here.
        }

        @Override
        public void onHealth(long coldMillis, long sentNanos) {
            reportedColdMillis.add(coldMillis);
        }

        @Override
        public void onResponseFault(ResponseFault fault) {
            // The faults do not matter here.
        }

        @Override
        public void onDiscardedResponse(DiscardedResponse response) {
            reportedDiscards.add(response.status() + " to " + response.request().orElse("-") + " instead of "
                    + response.awaited().orElse("-"));
        }

        @Override
        public void onRepeatedRequest(String request) {
            reportedRepetitions.add(request);
        }
    }

    private static String response(String id, String body) {
        return "HTTP/1.1 200 OK\r\nid: " + id + "\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
    }

    private String responseBody(String id) {
        Exchange exchange = send(id);
        return exchange.headers()
                .thenCompose(exchange::aggregate)
                .thenCompose(HttpResponse::aggregate)
                .join()
                .contentUtf8();
    }

    private static ResultCode failureCode(Exchange exchange) {
        CompletionException thrown =
                assertThrows(CompletionException.class, () -> exchange.headers().join());
        return ((MustardusherException) thrown.getCause()).code();
    }

    private Exchange send(String id) {
        return send(id, REMAINING_NANOS);
    }

    private Exchange send(String id, long remainingNanos) {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/")
                .authority("h.example")
                .set("id", id)
                .set(CallHeaders.IDEMPOTENT, "1")
                .build();
        return link.send(HttpRequest.of(headers), remainingNanos);
    }

    private void serve(ScriptedServer.Script script) {
        server.serve(script);
    }
}
