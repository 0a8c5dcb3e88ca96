package io.mustardusher.server;

import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.generated.Announcement;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** Guards against malformed responses that are delivered as the codec has read them. */
class MalformedResponsesTest {

    private static final EventLoopGroup GROUP = new NioEventLoopGroup(1);

    /** Bytes that some part of a head cannot contain, and digits and letters that change its meaning. */
    private static final String MUTATIONS = "\u0000\u0001\t\n\u000b\u000c\r\u001b \"/:;,09Ax\u007f\u0080\u00a0";

    private final List<ResponseFault> faults = new ArrayList<>();
    private final List<DiscardedResponse> discarded = new ArrayList<>();
    private final List<Long> coldMillis = new ArrayList<>();
    private final BufferedServerLink link = (BufferedServerLink)
            BufferedServerLink.factory(GROUP, EchoDialect.INSTANCE, new RecordedReports(), new Clock.Manual())
                    .open(new Announcement()
                            .withHost(InetAddress.getLoopbackAddress().getHostAddress())
                            .withPort(1L));
    private final List<EmbeddedChannel> channels = new ArrayList<>();
    private EmbeddedChannel channel;
    private ServerConnection connection;

    @AfterEach
    void closeChannels() {
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    }

    @AfterAll
    static void closeGroup() {
        GROUP.shutdownGracefully();
    }

    static Stream<String> malformedHeads() {
        return Stream.of(
                        ResponseForms.malformedStatusLines(),
                        ResponseForms.malformedFields(),
                        ResponseForms.malformedInformational())
                .flatMap(forms -> forms);
    }

    // Guards against a status, a length or an id that is believed although the head is malformed.
    @ParameterizedTest
    @MethodSource("malformedHeads")
    void malformedHeadIsNoResponse(String text) {
        assertGivenUp(text, ResponseFault.MALFORMED_HEAD);
    }

    // Guards against a request that is sent again because a line that is no header promises that nothing ran.
    @ParameterizedTest
    @MethodSource("io.mustardusher.server.ResponseForms#malformedRefusals")
    void malformedRefusalIsNoPromise(String text) {
        assertGivenUp(text, ResponseFault.MALFORMED_HEAD);
    }

    // Guards against content that is not the server's because the line of a chunk or a trailer is malformed.
    @ParameterizedTest
    @MethodSource("io.mustardusher.server.ResponseForms#malformedChunks")
    void malformedChunksAreNoContent(String text) {
        assertGivenUp(text, ResponseFault.MALFORMED_BODY);
    }

    // Guards against sound responses that are lost.
    @ParameterizedTest
    @MethodSource("io.mustardusher.server.ResponseForms#sound")
    void soundResponseIsDelivered(String text) {
        for (int pieceSize : List.of(text.length(), 1, 5)) {
            connect();
            CompletableFuture<AggregatedHttpResponse> response = send(HttpMethod.POST, "one");
            receive(text, pieceSize);
            assertThat(response.join().status().code()).isEqualTo(200);
            assertThat(response.join().headers().get(CallHeaders.OUTCOME)).isEqualTo("ran");
            assertThat(response.join().contentUtf8()).isEqualTo(ResponseForms.BODY);
        }
        assertThat(faults).isEmpty();
    }

    // Guards against forms that the lists above lack: whether a changed head is one is decided by the grammar alone.
    @Test
    void grammarDecidesOnChangedHeads() {
        Random random = new Random(63);
        int rejected = 0;
        for (int round = 0; round < 20_000; round++) {
            StringBuilder head = new StringBuilder("HTTP/1.1 203 Changed\r\nid: one\r\nx-note: a b\r\n\r\n");
            for (int changes = 1 + random.nextInt(2); changes > 0; changes--) {
                char mutation = MUTATIONS.charAt(random.nextInt(MUTATIONS.length()));
                int at = random.nextInt(head.indexOf("\r\n\r\n"));
                if (random.nextBoolean()) {
                    head.setCharAt(at, mutation);
                } else {
                    head.insert(at, mutation);
                }
            }
            String text = head.toString();
            connect();
            faults.clear();
            send(HttpMethod.GET, "one");
            receive(text, random.nextBoolean() ? text.length() : 1 + random.nextInt(text.length()));
            if (ResponseForms.beginsWithHead(text)) {
                assertWithMessage(text).that(faults).doesNotContain(ResponseFault.MALFORMED_HEAD);
            } else {
                rejected++;
                assertWithMessage(text).that(faults).isEqualTo(List.of(ResponseFault.MALFORMED_HEAD));
            }
        }
        assertThat(rejected).isGreaterThan(5_000);
    }

    // Guards against an id that is believed, and reported, although the late response that names it is malformed.
    @ParameterizedTest
    @MethodSource("malformedHeads")
    void malformedLateResponseNamesNothing(String text) {
        connect();
        send(HttpMethod.GET, "one");
        receive("HTTP/1.1 200 OK\r\nid: one\r\ncontent-length: 0\r\n\r\n", 7);
        CompletableFuture<AggregatedHttpResponse> two = send(HttpMethod.POST, "two");
        receive(text + "HTTP/1.1 200 OK\r\nid: two\r\ncontent-length: 0\r\n\r\n", text.length());
        assertLost(text, two);
        assertThat(discarded).isEmpty();
        assertThat(channel.isOpen()).isFalse();
    }

    // Guards against a malformed response that is not counted because no request awaits one.
    @Test
    void malformedResponseWithoutRequestIsReported() {
        connect();
        send(HttpMethod.GET, "one");
        receive("HTTP/1.1 200 OK\r\nid: one\r\ncontent-length: 0\r\n\r\n", 7);
        receive("HTTP/1.1 000 None\r\nid: one\r\n\r\n", 7);
        assertThat(channel.isOpen()).isFalse();
        assertThat(faults).isEqualTo(List.of(ResponseFault.MALFORMED_HEAD));
        assertThat(discarded).isEmpty();
    }

    // Guards against a state of the server that is believed although the response to the probe is malformed.
    @Test
    void malformedResponseToProbeReportsNothing() {
        for (String head : List.of(
                "HTTP/1.1 200 OK\r\ncold : 9\r\n",
                "HTTP/1.1 200 OK\r\ncold: 9\r\nX Odd: 1\r\n",
                "HTTP/1.1 0200 OK\r\ncold: 9\r\n",
                "HTTP/1.1 200 \u0001\r\ncold: 9\r\n")) {
            connect();
            faults.clear();
            CompletableFuture<AggregatedHttpResponse> response = new CompletableFuture<>();
            send(
                    ServerExchange.ofUnmodified(
                            EchoDialect.INSTANCE, new RecordedReports(), new Clock.Manual(), response),
                    RequestHeaders.of(HttpMethod.GET, "/health"));
            receive(head + "content-length: 0\r\n\r\n", 1_000);
            assertLost(head, response);
            assertThat(coldMillis).isEmpty();
            assertThat(faults).isEqualTo(List.of(ResponseFault.MALFORMED_HEAD));
        }
    }

    // Guards against a request that is lost because it is sent on a connection on which malformed bytes have arrived
    // behind the response before, such as an empty line, which the codec skips.
    @Test
    void connectionIsNotReusedIfMalformedBytesFollowResponse() {
        for (String behind : List.of("\r\n", "x", "HTTP/1.1 000 None\r\n", "\u0000")) {
            connect();
            faults.clear();
            EmbeddedChannel used = channel;
            List<Boolean> openAtEnd = new ArrayList<>();
            send(HttpMethod.POST, "one").thenRun(() -> openAtEnd.add(used.isOpen()));
            receive("HTTP/1.1 200 OK\r\nid: one\r\ncontent-length: 2\r\n\r\nok" + behind, 1_000);
            assertThat(openAtEnd).containsExactly(false);
            assertThat(faults).containsExactly(ResponseFault.MALFORMED_HEAD);
        }
    }

    // Guards against a sound response that is lost with the malformed one behind it.
    @Test
    void responseBeforeMalformedOneIsDelivered() {
        connect();
        CompletableFuture<AggregatedHttpResponse> response = send(HttpMethod.POST, "one");
        String sound = "HTTP/1.1 200 OK\r\nid: one\r\ncontent-length: 2\r\n\r\nok";
        receive(sound + "HTTP/1.1 000 None\r\nid: one\r\n\r\n", 1_000);
        assertThat(response.join().contentUtf8()).isEqualTo("ok");
        assertThat(channel.isOpen()).isFalse();
    }

    static Stream<Arguments> framedResponses() {
        Stream<Arguments> sound = ResponseForms.sound().map(text -> arguments(HttpMethod.GET, text));
        Stream<Arguments> special = Stream.of(
                arguments(HttpMethod.HEAD, "HTTP/1.1 200 OK\r\nid: one\r\ncontent-length: 7\r\n\r\n"),
                arguments(HttpMethod.HEAD, "HTTP/1.1 200 OK\r\nid: one\r\ntransfer-encoding: chunked\r\n\r\n"),
                arguments(HttpMethod.HEAD, "HTTP/1.1 200 OK\r\nid: one\r\n\r\n"),
                arguments(HttpMethod.GET, "HTTP/1.1 204 No Content\r\nid: one\r\n\r\n"),
                arguments(HttpMethod.GET, "HTTP/1.1 204 No Content\r\nid: one\r\ncontent-length: 7\r\n\r\n"),
                arguments(HttpMethod.GET, "HTTP/1.1 304 Not Modified\r\nid: one\r\ncontent-length: 7\r\n\r\n"),
                arguments(HttpMethod.GET, "HTTP/1.1 205 Reset\r\nid: one\r\ncontent-length: 7\r\n\r\ncontent"),
                arguments(
                        HttpMethod.GET, "HTTP/1.1 205 Reset\r\nid: one\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
                arguments(
                        HttpMethod.GET,
                        "HTTP/1.1 103 Hints\r\ncontent-length: 7\r\n\r\n"
                                + "HTTP/1.1 200 OK\r\nid: one\r\ncontent-length: 0\r\n\r\n"));
        return Stream.concat(sound, special);
    }

    // Guards against a check that finds the end of a response elsewhere than the codec.
    @ParameterizedTest
    @MethodSource("framedResponses")
    void checkAndCodecFindSameEnd(HttpMethod method, String text) {
        channel = new EmbeddedChannel();
        channels.add(channel);
        ResponseSyntaxHandler syntax = new ResponseSyntaxHandler();
        channel.pipeline().addLast(syntax, BufferedServerLink.createCodec());
        for (int i = 0; i < 3; i++) {
            syntax.onRequest(method == HttpMethod.HEAD);
            channel.writeOutbound(new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, io.netty.handler.codec.http.HttpMethod.valueOf(method.name()), "/"));
            receive(text, 9);
            assertThat(endsOfResponses()).isEqualTo(text.split("HTTP/1").length - 1);
        }
        // The codec forgives this line, so that only the check can give it up, at the beginning of a response.
        receive("HTTP/1.1 0200 OK\r\n\r\n", 9);
        assertThat(channel.<Object>readInbound()).isNull();
    }

    private int endsOfResponses() {
        int ends = 0;
        for (Object read = channel.readInbound(); read != null; read = channel.readInbound()) {
            if (read instanceof LastHttpContent) {
                ends++;
            }
            ReferenceCountUtil.release(read);
        }
        return ends;
    }

    private void assertGivenUp(String text, ResponseFault fault) {
        for (HttpMethod method : List.of(HttpMethod.GET, HttpMethod.POST)) {
            for (int pieceSize : List.of(text.length(), 1, 5)) {
                connect();
                faults.clear();
                CompletableFuture<AggregatedHttpResponse> response = send(method, "one");
                receive(text, pieceSize);
                assertLost(text, response);
                assertThat(faults).isEqualTo(List.of(fault));
                assertThat(channel.isOpen()).isFalse();
            }
        }
    }

    private static void assertLost(String details, CompletableFuture<AggregatedHttpResponse> response) {
        assertWithMessage(details).that(response.isDone()).isTrue();
        CompletionException lost = assertThrows(CompletionException.class, response::join, details);
        assertWithMessage(details)
                .that(((MustardusherException) lost.getCause()).code())
                .isEqualTo(ResultCode.CONNECTION_LOST);
    }

    private void connect() {
        channel = new EmbeddedChannel();
        channels.add(channel);
        connection = new ServerConnection(link, channel, new Clock.Manual());
        channel.pipeline().addLast(BufferedServerLink.createCodec(), connection);
    }

    private CompletableFuture<AggregatedHttpResponse> send(HttpMethod method, String id) {
        CompletableFuture<AggregatedHttpResponse> response = new CompletableFuture<>();
        ServerExchange exchange =
                new ServerExchange(EchoDialect.INSTANCE, new RecordedReports(), new Clock.Manual(), response);
        send(exchange, RequestHeaders.builder(method, "/").set("id", id).build());
        return response;
    }

    private void send(ServerExchange exchange, RequestHeaders request) {
        RequestHeaders headers = request.toBuilder().authority("server").build();
        connection.send(exchange, HttpRequest.of(headers), null, 1_000 * Clock.NANOS_PER_MILLI);
        channel.runPendingTasks();
        for (Object sent = channel.readOutbound(); sent != null; sent = channel.readOutbound()) {
            ReferenceCountUtil.release(sent);
        }
    }

    private void receive(String text, int pieceSize) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int from = 0; from < bytes.length && channel.isOpen(); from += pieceSize) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, from, Math.min(pieceSize, bytes.length - from)));
            channel.runPendingTasks();
        }
    }

    /** Collects what the connection reports. */
    private final class RecordedReports implements ServerReports {

        @Override
        public void onLoad(ReportedServerLoad load) {
            // not needed
        }

        @Override
        public void onConditions(String instance, ServerConditions conditions, long sentNanos) {
            // not needed
        }

        @Override
        public void onHealth(long millis, long sentNanos) {
            coldMillis.add(millis);
        }

        @Override
        public void onResponseFault(ResponseFault fault) {
            faults.add(fault);
        }

        @Override
        public void onDiscardedResponse(DiscardedResponse response) {
            discarded.add(response);
        }
    }
}
