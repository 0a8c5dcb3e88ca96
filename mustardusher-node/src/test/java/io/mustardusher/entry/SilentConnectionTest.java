package io.mustardusher.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.Phaser;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.Credential;
import io.mustardusher.frame.FrameClient;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.FrameServer;
import io.mustardusher.frame.FrameTraffic;
import io.mustardusher.frame.SilentRelay;
import io.mustardusher.gate.FramedGate;
import io.mustardusher.gate.GateFixture;
import io.mustardusher.generated.ProbeAnswer;
import io.mustardusher.generated.ProbeQuestion;
import io.mustardusher.http.Transport;
import io.mustardusher.routing.TransferRate;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls that are lost, late or run twice when a connection between nodes goes silent for good: no byte
 * passes, and neither end sees a reset. Over real sockets, since what the kernel reports is part of the failure; the
 * time limit of calls is far above the time within which silence has to be found, so that a slow machine does not
 * matter.
 */
@Timeout(60)
class SilentConnectionTest {

    private static final Clock CLOCK = Clock.ForSystem.INSTANCE;
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final long BOOT = 7;

    private final EventLoopGroup group = Transport.newEventLoops(1, "test");
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final HeaderPacking packing = new HeaderPacking(List.of());
    private final Credential credential = new Credential("secret");
    private final FrameServer server = new FrameServer(credential, new FrameTraffic(), cause -> {});
    private final FrameTraffic traffic = new FrameTraffic();
    private final AtomicInteger runs = new AtomicInteger();
    private final Phaser arrivals = new Phaser(1);
    private final CompletableFuture<AggregatedHttpResponse> response = new CompletableFuture<>();
    private SilentRelay relay;
    private FrameClient client;
    private GateLink link;

    @BeforeEach
    void open() throws IOException {
        FramedGate gate = new FramedGate(
                GateFixture.of(CLOCK, timers, 8, this::run), packing, BOOT, group.next(), BodyMemory.ofNode(), CLOCK);
        server.on(FrameKind.CALL, (CallMessage call) -> gate.call(call))
                .on(FrameKind.RESUME, (CallMessage call) -> gate.resume(call))
                .on(FrameKind.CANCEL, (CallMessage call) -> gate.cancel(call))
                .on(FrameKind.PART, (CallMessage call) -> gate.part(call))
                .on(FrameKind.PROBE, (ProbeQuestion question) -> CompletableFuture.completedFuture(new ProbeAnswer()));
        int port = server.start("127.0.0.1", 0, group, Transport.of(group).serverChannelType());
        relay = new SilentRelay(new InetSocketAddress("127.0.0.1", port));
        client = new FrameClient(group, Transport.of(group).socketChannelType(), credential, traffic, CLOCK);
        link = new GateLink.ForFrames(
                client,
                relay.address(),
                BOOT,
                packing,
                new AtomicLong()::incrementAndGet,
                group.next(),
                BodyMemory.ofNode(),
                CLOCK,
                new PartFetcher(client, relay.address(), new TransferMemory(), new TransferRate(), CLOCK),
                null);
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        server.close();
        relay.close();
        timers.shutdownNow();
        group.shutdownGracefully();
    }

    @Test
    void callSentIntoSilentConnectionRunsOnceAndIsAnswered() {
        response.complete(AggregatedHttpResponse.of(ResponseHeaders.of(HttpStatus.OK), HttpData.ofUtf8("done")));
        assertThat(status(call())).isEqualTo(HttpStatus.OK);
        relay.silenceOpenConnections();
        assertThat(status(call())).isEqualTo(HttpStatus.OK);
        assertThat(runs.get()).isEqualTo(2);
    }

    @Test
    void callThatRunsWhenItsConnectionGoesSilentIsAnsweredAndNotRunAgain() {
        CompletableFuture<ResponseHeaders> headers = call();
        arrivals.awaitAdvance(0);
        relay.silenceOpenConnections();
        response.complete(AggregatedHttpResponse.of(ResponseHeaders.of(HttpStatus.OK), HttpData.ofUtf8("done")));
        assertThat(status(headers)).isEqualTo(HttpStatus.OK);
        assertThat(runs.get()).isEqualTo(1);
        assertThat(traffic.silentConnections()).isEqualTo(1);
        assertThat(traffic.resumedCalls()).isEqualTo(1);
    }

    @Test
    void requestsWithShortTimeoutsDoNotHideSilence() {
        response.complete(AggregatedHttpResponse.of(ResponseHeaders.of(HttpStatus.OK), HttpData.ofUtf8("done")));
        assertThat(status(call())).isEqualTo(HttpStatus.OK);
        relay.silenceOpenConnections();
        int lost = 0;
        while (probe().handle((answer, failure) -> failure != null).join()) {
            lost++;
            assertThat(lost).isLessThan(40);
        }
        assertThat(relay.accepted()).isEqualTo(2);
    }

    @Test
    void downloadGoesOnOverAnotherConnection() {
        relay.silenceFirstConnectionAfter(50_000);
        byte[] body = new byte[540_000];
        Arrays.fill(body, (byte) 'x');
        response.complete(AggregatedHttpResponse.of(ResponseHeaders.of(HttpStatus.OK), HttpData.wrap(body)));
        Exchange exchange = send();
        AggregatedHttpResponse received = exchange.headers()
                .thenCompose(exchange::aggregate)
                .thenCompose(HttpResponse::aggregate)
                .join();
        assertThat(received.content().array()).isEqualTo(body);
        assertThat(traffic.silentConnections()).isEqualTo(1);
        assertThat(runs.get()).isEqualTo(1);
    }

    /** Guards against connections of a paused node that are given up although they carry bytes again. */
    @Test
    void pausedNodeKeepsItsConnection() {
        CompletableFuture<ResponseHeaders> headers = call();
        arrivals.awaitAdvance(0);
        relay.holdAll();
        await(() -> relay.accepted() == 2);
        relay.release(0);
        response.complete(AggregatedHttpResponse.of(ResponseHeaders.of(HttpStatus.OK), HttpData.ofUtf8("done")));
        assertThat(status(headers)).isEqualTo(HttpStatus.OK);
        relay.release(1);
        assertThat(status(call())).isEqualTo(HttpStatus.OK);
        assertThat(runs.get()).isEqualTo(2);
        assertThat(traffic.silentConnections()).isEqualTo(0);
        assertThat(traffic.resumedCalls()).isEqualTo(0);
    }

    private static void await(BooleanSupplier condition) {
        long startNanos = CLOCK.nanoTime();
        while (!condition.getAsBoolean()) {
            assertThat(CLOCK.nanoTime() - startNanos).isLessThan(20_000 * Clock.NANOS_PER_MILLI);
            Thread.onSpinWait();
        }
    }

    private CompletableFuture<ProbeAnswer> probe() {
        return client.request(relay.address(), FrameKind.PROBE, new ProbeQuestion().withService("s"), 50);
    }

    private CompletableFuture<AggregatedHttpResponse> run() {
        runs.incrementAndGet();
        arrivals.arrive();
        return response;
    }

    private CompletableFuture<ResponseHeaders> call() {
        return send().headers();
    }

    private Exchange send() {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.POST, "/")
                .set(CallHeaders.SERVICE, GateFixture.SERVICE)
                .set(CallHeaders.TIMEOUT, TIMEOUT_MILLIS + "m")
                .build();
        return link.send(HttpRequest.of(headers), TIMEOUT_MILLIS * Clock.NANOS_PER_MILLI, new CompletableFuture<>());
    }

    private static HttpStatus status(CompletableFuture<ResponseHeaders> headers) {
        return headers.join().status();
    }
}
