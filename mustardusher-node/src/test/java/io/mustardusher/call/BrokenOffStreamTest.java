package io.mustardusher.call;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.Server;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a streamed answer that breaks off at one hop and looks complete at the next one. */
class BrokenOffStreamTest {

    private static final int LENGTH = 100_000;
    private static final long REMAINING_NANOS = 60_000 * Clock.NANOS_PER_MILLI;

    private static ClientFactory clientFactory;
    private static Server server;

    /** Breaks the answer off when a part of it has been sent. */
    private static volatile CompletableFuture<Void> breakOff;

    @BeforeAll
    static void start() {
        clientFactory = ClientFactory.builder().build();
        server = Server.builder()
                .http(new InetSocketAddress("127.0.0.1", 0))
                .gracefulShutdownTimeoutMillis(0, 0)
                .serviceUnder("/length", (context, request) -> brokenOff(true))
                .serviceUnder("/", (context, request) -> brokenOff(false))
                .build();
        server.start().join();
    }

    @BeforeEach
    void reset() {
        breakOff = new CompletableFuture<>();
    }

    @AfterAll
    static void stop() {
        server.stop().join();
        clientFactory.close();
    }

    private static HttpResponse brokenOff(boolean withLength) {
        ResponseHeadersBuilder headers = ResponseHeaders.builder(HttpStatus.OK);
        if (withLength) {
            headers.contentLength(LENGTH);
        }
        HttpResponseWriter source = HttpResponse.streaming();
        source.write(headers.build());
        source.write(HttpData.wrap(new byte[LENGTH / 2]));
        breakOff.thenRun(
                () -> source.close(new MustardusherException(ResultCode.CONNECTION_LOST, "the answer was cut short")));
        return Exchange.ofLocal(source).stream(headers.build());
    }

    @ParameterizedTest
    @CsvSource({"H1C,/length/", "H1C,/chunks/", "H2C,/length/", "H2C,/chunks/"})
    void failsAtNextNode(SessionProtocol protocol, String path) {
        WebClient client = WebClient.builder(protocol.uriText() + "://127.0.0.1:" + server.activeLocalPort())
                .factory(clientFactory)
                .build();
        Exchange exchange = Exchange.send(client, HttpRequest.of(HttpMethod.GET, path), REMAINING_NANOS);
        ResponseHeaders headers = exchange.headers().join();
        CompletableFuture<HttpResponse> answer = exchange.aggregate(headers);
        breakOff.complete(null);
        assertThrows(CompletionException.class, answer::join);
    }

    @ParameterizedTest
    @CsvSource({"1.1,/length/", "1.1,/chunks/", "1.0,/length/", "1.0,/chunks/"})
    void isIncompleteForCaller(String version, String path) throws IOException {
        String received = receive("GET " + path + " HTTP/" + version + "\r\nHost: h.example\r\n\r\n");
        int bodyStart = received.indexOf("\r\n\r\n") + 4;
        String head = received.substring(0, bodyStart).toLowerCase(Locale.ROOT);
        boolean length = head.contains("content-length: " + LENGTH);
        boolean chunked = head.contains("transfer-encoding: chunked");
        assertThat(length || chunked).isTrue();
        assertThat(received.length() - bodyStart).isLessThan(LENGTH);
        assertThat(received).doesNotContain("\r\n0\r\n");
    }

    private static String receive(String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", server.activeLocalPort())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            StringBuilder received = new StringBuilder();
            byte[] buffer = new byte[8_192];
            try {
                int read = socket.getInputStream().read(buffer);
                breakOff.complete(null);
                while (read >= 0) {
                    received.append(new String(buffer, 0, read, StandardCharsets.ISO_8859_1));
                    read = socket.getInputStream().read(buffer);
                }
            } catch (SocketException e) {
                // A reset shows that the answer is incomplete, as a close before its end does.
            }
            return received.toString();
        }
    }
}
