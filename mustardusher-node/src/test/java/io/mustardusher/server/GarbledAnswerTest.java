package io.mustardusher.server;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.util.EventLoopGroups;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.generated.Announcement;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Pattern of trouble: a server hands out answers that are doubled, late, cut short or without an end. */
class GarbledAnswerTest {

    private static final long LEFT = 5_000 * Clock.NANOS_PER_MILLI;

    private final EventLoopGroup group = EventLoopGroups.newEventLoopGroup(1, "garbled", true);
    private final AtomicInteger connections = new AtomicInteger();
    private ServerSocket socket;
    private ServerLink link;

    @BeforeEach
    void listen() throws IOException {
        socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        Announcement announced = new Announcement()
                .withHost(socket.getInetAddress().getHostAddress())
                .withPort(socket.getLocalPort())
                .withInstance("i-1");
        link = WholeAnswerLink.factory(group, EchoDialect.INSTANCE, reading -> {}, Clock.ForSystem.INSTANCE)
                .open(announced);
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        socket.close();
        group.shutdownGracefully();
    }

    @Test
    void connectionIsUsedAgainAfterAWholeAnswer() {
        serve((number, id) -> answer(id, "a" + number));
        assertThat(ask("one")).isEqualTo("a0");
        assertThat(ask("two")).isEqualTo("a1");
        assertThat(connections.get()).isEqualTo(1);
    }

    @Test
    void answerToAnEarlierRequestIsSkipped() {
        serve((number, id) -> number == 0 ? answer(id, "own") : answer("one", "other") + answer(id, "own"));
        assertThat(ask("one")).isEqualTo("own");
        assertThat(ask("two")).isEqualTo("own");
    }

    @Test
    void cutAnswerIsNoAnswer() {
        serve((number, id) -> "HTTP/1.1 200 OK\r\nid: " + id + "\r\ncontent-length: 10\r\n\r\nshort" + CLOSE);
        assertThat(failure("one")).isEqualTo(ResultCode.CONNECTION_LOST);
    }

    @Test
    void answerThatEndsWithItsConnectionIsWhole() {
        serve((number, id) -> "HTTP/1.1 200 OK\r\nid: " + id + "\r\n\r\nto the end" + CLOSE);
        assertThat(ask("one")).isEqualTo("to the end");
    }

    @Test
    void answerThatEndsWithAResetIsNot() {
        serve((number, id) -> "HTTP/1.1 200 OK\r\nid: " + id + "\r\n\r\nto the end" + RESET);
        assertThat(failure("one")).isEqualTo(ResultCode.CONNECTION_LOST);
    }

    @Test
    void bytesThatAreNoAnswerEndTheConnection() {
        serve((number, id) -> "what is this\r\n\r\n");
        assertThat(failure("one")).isEqualTo(ResultCode.CONNECTION_LOST);
    }

    @Test
    void refusedConnectionProvesThatNothingRan() throws IOException {
        socket.close();
        assertThat(failure("one")).isEqualTo(ResultCode.SERVER_UNREACHABLE);
    }

    private static final String CLOSE = "\u0000close";
    private static final String RESET = "\u0000reset";

    private interface Script {
        String answer(int number, String id);
    }

    private static String answer(String id, String body) {
        return "HTTP/1.1 200 OK\r\nid: " + id + "\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
    }

    private String ask(String id) {
        Exchange exchange = send(id);
        return exchange.headers()
                .thenCompose(exchange::aggregate)
                .thenCompose(HttpResponse::aggregate)
                .join()
                .contentUtf8();
    }

    private ResultCode failure(String id) {
        Exchange exchange = send(id);
        CompletionException thrown =
                assertThrows(CompletionException.class, () -> exchange.headers().join());
        return ((MustardusherException) thrown.getCause()).code();
    }

    private Exchange send(String id) {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/")
                .authority("h.example")
                .set("id", id)
                .set(CallHeaders.IDEMPOTENT, "1")
                .build();
        return link.send(HttpRequest.of(headers), LEFT);
    }

    private void serve(Script script) {
        Thread server = new Thread(() -> {
            AtomicInteger number = new AtomicInteger();
            try {
                while (true) {
                    Socket accepted = socket.accept();
                    connections.incrementAndGet();
                    new Thread(() -> converse(accepted, script, number)).start();
                }
            } catch (IOException e) {
                // the test is over
            }
        });
        server.setDaemon(true);
        server.start();
    }

    private static void converse(Socket socket, Script script, AtomicInteger number) {
        try (socket) {
            while (true) {
                String request = readHead(socket.getInputStream());
                if (request.isEmpty()) {
                    return;
                }
                String id = request.replaceAll("(?s).*\r\nid: ([a-z]+)\r\n.*", "$1");
                String text = script.answer(number.getAndIncrement(), id);
                String bytes = text.replace(CLOSE, "").replace(RESET, "");
                socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
                if (text.endsWith(RESET)) {
                    socket.setSoLinger(true, 0);
                }
                if (text.endsWith(CLOSE) || text.endsWith(RESET)) {
                    return;
                }
            }
        } catch (IOException e) {
            // the link has closed the connection
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** Servers that echo a header named id. */
    private enum EchoDialect implements ServerDialect {
        INSTANCE;

        @Override
        public RequestHeaders request(RequestHeadersBuilder call, String instance, long leftNanos) {
            return call.build();
        }

        @Override
        public Verdict judge(RequestHeaders sent, ResponseHeaders answer) {
            return sent.get("id").equals(answer.get("id")) ? Verdict.ANSWER : Verdict.FOREIGN;
        }

        @Override
        public Optional<String> instance(ResponseHeaders answer) {
            return Optional.empty();
        }

        @Override
        public Optional<ServerReading> reading(ResponseHeaders answer) {
            return Optional.empty();
        }
    }
}
