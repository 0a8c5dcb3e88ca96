package io.mustardusher.server;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.util.EventLoopGroups;
import io.mustardusher.call.Exchange;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against malformed responses that the HTTP client of streams passes on as its codec has read them. */
class MalformedStreamsTest {

    private static final long REMAINING_NANOS = 60_000 * Clock.NANOS_PER_MILLI;
    private static final long WAIT_SECONDS = 30;

    private static final BlockingQueue<ResponseFault> FAULTS = new LinkedBlockingQueue<>();
    private static EventLoopGroup group;
    private static ClientFactory clientFactory;

    private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
    private ScriptedServer server;
    private ServerLink link;

    @BeforeAll
    static void createClients() {
        group = EventLoopGroups.newEventLoopGroup(1, "streams", true);
        clientFactory = StreamedResponses.checkIn(ClientFactory.builder(), new RecordedFaults())
                .workerGroup(group, false)
                .build();
    }

    @AfterAll
    static void closeClients() {
        clientFactory.closeAsync();
        group.shutdownGracefully();
    }

    @BeforeEach
    void serve() throws IOException {
        FAULTS.clear();
        server = new ScriptedServer();
        server.serve((number, id) -> responses.remove());
        link = ServerLink.ForStreams.factory(clientFactory).open(server.announcement());
    }

    @AfterEach
    void close() throws IOException {
        server.close();
    }

    static Stream<String> malformed() {
        return Stream.of(
                        ResponseForms.malformedStatusLines(),
                        ResponseForms.malformedFields(),
                        ResponseForms.malformedInformational(),
                        ResponseForms.malformedRefusals(),
                        ResponseForms.malformedChunks())
                .flatMap(forms -> forms);
    }

    @ParameterizedTest
    @MethodSource("malformed")
    void malformedResponseFails(String text) throws InterruptedException {
        responses.add(text);
        assertWithMessage(text).that(receive(HttpMethod.POST)).isNull();
        assertWithMessage(text)
                .that(FAULTS.poll(WAIT_SECONDS, TimeUnit.SECONDS))
                .isAnyOf(ResponseFault.MALFORMED_HEAD, ResponseFault.MALFORMED_BODY);
    }

    @ParameterizedTest
    @MethodSource("io.mustardusher.server.ResponseForms#sound")
    void soundResponseIsDelivered(String text) {
        responses.add(text);
        AggregatedHttpResponse response = receive(HttpMethod.POST);
        assertWithMessage(text).that(response).isNotNull();
        assertWithMessage(text).that(response.contentUtf8()).isEqualTo(ResponseForms.BODY);
        assertThat(FAULTS).isEmpty();
    }

    // Guards against a check that awaits content behind the response to HEAD, also to the first request.
    @Test
    void checkFollowsRequestsOfConnection() throws InterruptedException {
        String toHead = "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n";
        for (HttpMethod method : List.of(HttpMethod.HEAD, HttpMethod.GET, HttpMethod.HEAD, HttpMethod.HEAD)) {
            responses.add(method == HttpMethod.HEAD ? toHead : toHead + ResponseForms.BODY);
            assertThat(receive(method).status().code()).isEqualTo(200);
        }
        responses.add("HTTP/1.1 200 OK\r\nX Odd: 1\r\ncontent-length: 0\r\n\r\n");
        assertThat(receive(HttpMethod.GET)).isNull();
        assertThat(FAULTS.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(ResponseFault.MALFORMED_HEAD);
        assertThat(server.connections()).isEqualTo(1);
    }

    // Returns null if the response is lost.
    private AggregatedHttpResponse receive(HttpMethod method) {
        RequestHeaders headers =
                RequestHeaders.builder(method, "/").authority("h.example").build();
        Exchange exchange = link.send(HttpRequest.of(headers), REMAINING_NANOS);
        try {
            return exchange.headers()
                    .thenCompose(exchange::aggregate)
                    .thenCompose(HttpResponse::aggregate)
                    .orTimeout(WAIT_SECONDS, TimeUnit.SECONDS)
                    .join();
        } catch (CompletionException e) {
            return null;
        }
    }

    /** Collects the faults. */
    private static final class RecordedFaults implements ServerReports {

        @Override
        public void onLoad(ReportedServerLoad load) {
            // not needed
        }

        @Override
        public void onConditions(String instance, ServerConditions conditions, long sentNanos) {
            // not needed
        }

        @Override
        public void onResponseFault(ResponseFault fault) {
            FAULTS.add(fault);
        }
    }
}
