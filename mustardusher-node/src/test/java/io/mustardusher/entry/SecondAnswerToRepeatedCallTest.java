package io.mustardusher.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.util.EventLoopGroups;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.frame.Credential;
import io.mustardusher.gate.Gate;
import io.mustardusher.gate.GateFixture;
import io.mustardusher.generated.Announcement;
import io.mustardusher.generated.DistanceSettings;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.server.BufferedServerLink;
import io.mustardusher.server.EchoDialect;
import io.mustardusher.server.ServerLink;
import io.mustardusher.server.ServerReports;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a caller that gets a success although its server failed the call: the server answers the first run a
 * second time, on the connection over which the call is sent to it again.
 */
class SecondAnswerToRepeatedCallTest {

    private static final ServiceName SERVICE = ServiceName.of(GateFixture.SERVICE);
    private static final long SECOND_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    private final Clock.Manual clock = new Clock.Manual();
    private final ManualTimers timers = new ManualTimers();
    private final EventLoopGroup group = EventLoopGroups.newEventLoopGroup(1, "second-answers", true);
    private final CountDownLatch firstRunStarted = new CountDownLatch(1);
    private final CountDownLatch firstRunEnds = new CountDownLatch(1);
    private ServerSocket socket;
    private ServerLink link;

    @BeforeEach
    void listen() throws IOException {
        socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        link = BufferedServerLink.factory(
                        group, EchoDialect.INSTANCE, ServerReports.Discarding.INSTANCE, Clock.ForSystem.INSTANCE)
                .open(new Announcement()
                        .withHost(socket.getInetAddress().getHostAddress())
                        .withPort((long) socket.getLocalPort())
                        .withInstance("i-1"));
        Thread server = new Thread(this::serve);
        server.setDaemon(true);
        server.start();
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        socket.close();
        group.shutdownGracefully();
    }

    @Test
    void secondAnswerOfFailedRunIsNotPassedOnAsSuccess() throws InterruptedException {
        Gate gate = GateFixture.of(clock, timers, 4, this::sendToServer);
        MemberTable members = new MemberTable(self(), clock, new Random(1));
        ServerDirectory directory = new ServerDirectory(
                members,
                gate,
                new DistanceSettings(),
                () -> {
                    throw new AssertionError("no call is streamed");
                },
                new Credential("secret"),
                clock);
        directory.refresh();
        CompletableFuture<AggregatedHttpResponse> answer = call(directory);
        firstRunStarted.await();
        members.updateSelf(self -> self.setServing(false));
        members.updateSelf(self -> self.withServing(true).setSince(2_000L));
        directory.refresh();
        firstRunEnds.countDown();
        assertThat(answer.join().status().code()).isEqualTo(500);
    }

    private CompletableFuture<AggregatedHttpResponse> call(ServerDirectory directory) {
        Router router = new Router(
                directory,
                new SuspectTable(clock),
                report -> {},
                new RetryPolicyFactory.ForWindow(clock, SECOND_NANOS, () -> 100),
                timers,
                clock,
                new MetricRegistry());
        Call call = RouterFixture.call(clock, 0, 2, Long.MAX_VALUE);
        return router.route(call, CallBody.Buffered.EMPTY, true, new CompletableFuture<>())
                .aggregate();
    }

    private CompletableFuture<AggregatedHttpResponse> sendToServer() {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/")
                .authority("h.example")
                .set("id", "one")
                .set(CallHeaders.IDEMPOTENT, "1")
                .build();
        Exchange exchange = link.send(HttpRequest.of(headers), 5 * SECOND_NANOS);
        return exchange.headers().thenCompose(exchange::aggregate).thenCompose(HttpResponse::aggregate);
    }

    // Fails each run. Answers the first one a second time, as a success, where the answer to the second one is due.
    private void serve() {
        int runs = 0;
        try {
            while (true) {
                try (Socket connection = socket.accept()) {
                    BufferedReader in = new BufferedReader(
                            new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
                    while (in.readLine() != null) {
                        skipHeaders(in);
                        runs++;
                        if (runs == 1) {
                            firstRunStarted.countDown();
                            firstRunEnds.await();
                        }
                        String answers = (runs == 2 ? answer("200 OK") : "") + answer("500 Error");
                        connection.getOutputStream().write(answers.getBytes(StandardCharsets.ISO_8859_1));
                    }
                }
            }
        } catch (IOException | InterruptedException e) {
            // The test has closed the socket.
        }
    }

    private static void skipHeaders(BufferedReader in) throws IOException {
        String line = in.readLine();
        while (line != null && !line.isEmpty()) {
            line = in.readLine();
        }
    }

    private static String answer(String status) {
        return "HTTP/1.1 " + status + "\r\nid: one\r\ncontent-length: 0\r\n\r\n";
    }

    private static MemberRecord self() {
        return new MemberRecord()
                .withId("node-1")
                .withBoot(1L)
                .withIncarnation(1)
                .withState(MemberState.ALIVE.toRecordState())
                .withHost("127.0.0.1")
                .withFramePort(1)
                .withGatePort(1)
                .withRegion("r")
                .withDomain("d")
                .withService(SERVICE.value())
                .withSince(1_000)
                .withSlots(4)
                .withServing(true);
    }
}
