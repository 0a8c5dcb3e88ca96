package io.mustardusher.server;

import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.generated.Announcement;
import io.mustardusher.result.Outcome;
import io.mustardusher.time.Clock;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against a response that is taken for the response to another run, or for the first one of its run. The
 * connection is real; the server answers runs again, with another status, wherever bytes may arrive.
 */
class SecondResponsesSimulationTest {

    private static final int SEEDS = 4_000;

    // The first two have the same hash code.
    private static final List<String> IDS = List.of("Aa", "BB", "one", "one.two", "two", "three", "four", "five");

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final BufferedServerLink link = (BufferedServerLink) BufferedServerLink.factory(
                    group, EchoDialect.INSTANCE, ServerReports.Discarding.INSTANCE, new Clock.Manual())
            .open(new Announcement()
                    .withHost(InetAddress.getLoopbackAddress().getHostAddress())
                    .withPort(1L));

    @AfterEach
    void close() {
        group.shutdownGracefully();
    }

    @Test
    void callersGetFirstResponseToOwnRun() {
        int answered = 0;
        int answeredBehindSecondResponse = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Simulation simulation = new Simulation(seed);
            simulation.simulate();
            answered += simulation.answered;
            answeredBehindSecondResponse += simulation.answeredBehindSecondResponse;
        }
        assertWithMessage("answered runs").that(answered).isAtLeast(2 * SEEDS);
        assertWithMessage("runs answered behind a second response")
                .that(answeredBehindSecondResponse)
                .isAtLeast(SEEDS / 20);
    }

    private enum Status {
        OK("200 OK"),
        FAILED("500 Failed"),
        REFUSED("503 Busy"),
        NO_CONTENT("204 No Content"),
        NOT_MODIFIED("304 Not Modified");

        private final String line;

        Status(String line) {
            this.line = line;
        }

        boolean isEmpty() {
            return this == NO_CONTENT || this == NOT_MODIFIED;
        }
    }

    private record Run(int number, String id, boolean head, Status status) {}

    /** One connection and its server. */
    private final class Simulation {

        private final int seed;
        private final Random random;
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final ServerConnection connection;
        private final List<Run> runs = new ArrayList<>();
        private final List<CompletableFuture<AggregatedHttpResponse>> responses = new ArrayList<>();
        private final StringBuilder history = new StringBuilder();

        /** Whether the last response ends with the connection, so that none follows it. */
        private boolean untilClose;

        private int answered;
        private int answeredBehindSecondResponse;

        Simulation(int seed) {
            this.seed = seed;
            random = new Random(seed);
            connection = new ServerConnection(link, channel, new Clock.Manual());
            channel.pipeline().addLast(BufferedServerLink.createCodec(), connection);
        }

        void simulate() {
            boolean sent = send();
            while (sent && channel.isOpen()) {
                int current = runs.size() - 1;
                boolean behindSecondResponse = answer();
                check();
                if (runs.size() - 1 == current && !responses.get(current).isDone()) {
                    break;
                }
                answeredBehindSecondResponse += behindSecondResponse && isAnswered(current) ? 1 : 0;
                sent = runs.size() - 1 > current || channel.isOpen() && send();
            }
            if (channel.isOpen() && random.nextBoolean()) {
                channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            }
            channel.close();
            check();
            channel.finishAndReleaseAll();
        }

        private boolean isAnswered(int run) {
            return responses.get(run).isDone() && !responses.get(run).isCompletedExceptionally();
        }

        // Sends a request that the connection has not carried, as its link does.
        private boolean send() {
            List<String> left =
                    IDS.stream().filter(id -> !connection.hasCarried(id)).toList();
            if (left.isEmpty()) {
                return false;
            }
            Status status = Status.values()[random.nextInt(Status.values().length)];
            Run run = new Run(runs.size(), left.get(random.nextInt(left.size())), random.nextInt(8) == 0, status);
            runs.add(run);
            history.append(" [").append(run).append(']');
            CompletableFuture<AggregatedHttpResponse> response = new CompletableFuture<>();
            responses.add(response);
            // A gate sends the next call as soon as a response frees a slot.
            if (random.nextBoolean()) {
                response.whenComplete((ignored, failure) -> {
                    if (channel.isOpen() && random.nextBoolean()) {
                        send();
                    }
                });
            }
            ServerExchange exchange = new ServerExchange(
                    EchoDialect.INSTANCE, ServerReports.Discarding.INSTANCE, new Clock.Manual(), response);
            RequestHeaders headers = RequestHeaders.builder(run.head ? HttpMethod.HEAD : HttpMethod.GET, "/")
                    .authority("h.example")
                    .set("id", run.id)
                    .build();
            connection.send(exchange, HttpRequest.of(headers), null, 1);
            Object written = channel.readOutbound();
            while (written != null) {
                ReferenceCountUtil.release(written);
                written = channel.readOutbound();
            }
            return true;
        }

        // Writes the response to the last run, among responses to it and to earlier runs that come a second time.
        private boolean answer() {
            Run run = runs.get(runs.size() - 1);
            StringBuilder bytes = new StringBuilder();
            boolean behindSecondResponse = false;
            while (!untilClose && run.number > 0 && random.nextInt(3) == 0) {
                bytes.append(response(runs.get(random.nextInt(run.number)), false));
                behindSecondResponse = true;
            }
            for (int i = random.nextInt(3); i > 0 && !untilClose; i--) {
                bytes.append("HTTP/1.1 103 Early Hints\r\nid: " + run.id + "\r\n\r\n");
            }
            if (!untilClose) {
                bytes.append(response(run, true));
            }
            while (!untilClose && random.nextInt(4) == 0) {
                bytes.append(response(runs.get(random.nextInt(runs.size())), false));
            }
            write(bytes.toString().getBytes(StandardCharsets.ISO_8859_1));
            return behindSecondResponse;
        }

        private void write(byte[] bytes) {
            int maxPart = random.nextBoolean() ? bytes.length : 1 + random.nextInt(20);
            int start = 0;
            while (start < bytes.length && channel.isOpen()) {
                int end = Math.min(bytes.length, start + 1 + random.nextInt(maxPart));
                channel.writeInbound(Unpooled.wrappedBuffer(Arrays.copyOfRange(bytes, start, end)));
                start = end;
            }
        }

        private String response(Run run, boolean first) {
            Status status = first ? run.status : Status.values()[random.nextInt(Status.values().length)];
            String body = bodyOf(run) + (first ? "" : " again");
            String head = "HTTP/1.1 " + status.line + "\r\n"
                    + identifier(run, first)
                    + (status == Status.REFUSED ? "not-run: 1\r\n" : "")
                    + "run: " + run.number + (first ? "" : " again") + "\r\n"
                    + (random.nextInt(20) == 0 ? "connection: close\r\n" : "");
            String response = head + framed(body, run, status);
            history.append(' ').append(response.replace("\r\n", "|"));
            return response;
        }

        private String identifier(Run run, boolean first) {
            return switch (random.nextInt(first ? 12 : 8)) {
                case 0 -> "ID:" + run.id + "\r\n";
                case 1 -> "iD: \t " + run.id + " \t\r\n";
                case 2 -> "id: " + run.id + "\r\nid: " + runs.get(runs.size() - 1).id + "\r\n";
                case 3 -> first ? "id: " + run.id + "\r\n" : "";
                case 4 -> first ? "id: " + run.id + "\r\n" : "id: \r\n";
                case 5 -> first
                        ? "id: " + run.id + "\r\n"
                        : "id: " + run.id + "," + runs.get(runs.size() - 1).id + "\r\n";
                default -> "id: " + run.id + "\r\n";
            };
        }

        private String framed(String body, Run run, Status status) {
            String length = "content-length: " + body.length() + "\r\n";
            if (status.isEmpty()) {
                return (random.nextBoolean() ? length : "") + "\r\n";
            }
            if (run.head) {
                return (random.nextBoolean() ? length : "transfer-encoding: chunked\r\n") + "\r\n";
            }
            String chunked = "transfer-encoding: chunked\r\n";
            int cut = 1 + random.nextInt(body.length() - 1);
            String chunks = Integer.toHexString(cut) + ";x=y\r\n" + body.substring(0, cut) + "\r\n"
                    + Integer.toHexString(body.length() - cut) + "\r\n" + body.substring(cut) + "\r\n0\r\n";
            return switch (random.nextInt(24)) {
                case 0, 1, 2, 3, 4, 5 -> chunked + "\r\n" + chunks + "\r\n";
                case 6, 7, 8 -> chunked + "\r\n" + chunks + "id: " + IDS.get(random.nextInt(IDS.size())) + "\r\n\r\n";
                case 9 -> length + chunked + "\r\n" + chunks + "\r\n";
                case 10 -> untilClose(body);
                case 11 -> "content-length: " + (body.length() - 3) + "\r\n\r\n" + body;
                default -> length + "\r\n" + body;
            };
        }

        private String untilClose(String body) {
            untilClose = true;
            return "\r\n" + body;
        }

        private String bodyOf(Run run) {
            return "run " + run.number + " " + run.status;
        }

        private void check() {
            for (Run run : runs) {
                CompletableFuture<AggregatedHttpResponse> response = responses.get(run.number);
                if (response.isDone() && !response.isCompletedExceptionally()) {
                    check(run, response.join());
                }
            }
        }

        private void check(Run run, AggregatedHttpResponse response) {
            answered++;
            String message = "seed " + seed + ", " + run + ":" + history;
            Outcome outcome =
                    Outcome.of(response.headers().get(CallHeaders.OUTCOME)).orElseThrow();
            assertWithMessage(message)
                    .that(outcome)
                    .isEqualTo(run.status == Status.REFUSED ? Outcome.NOT_RUN : Outcome.RAN);
            if (outcome == Outcome.RAN) {
                String status = run.status.line.substring(0, 3);
                assertWithMessage(message).that(response.status().codeAsText()).isEqualTo(status);
                assertWithMessage(message).that(response.headers().get("run")).isEqualTo("" + run.number);
                assertWithMessage(message).that(bodyOf(run)).startsWith(response.contentUtf8());
            }
        }
    }
}
