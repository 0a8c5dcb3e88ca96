package io.mustardusher.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.FrameCodec;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.gate.FramedGate;
import io.mustardusher.gate.GateFixture;
import io.mustardusher.routing.TransferRate;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.ImmediateEventExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against large responses that hold up other frames, are cut short unnoticed, or stay in memory. */
class LargeResponseTest {

    private static final long SECOND_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Time that a link of 7 Mbit/s needs for a part, in milliseconds. */
    private static final long PART_MILLIS = 10;

    private final Clock.Manual clock = new Clock.Manual();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final HeaderPacking packing = new HeaderPacking(List.of());
    private final TransferMemory memory = new TransferMemory();
    private final SlowLink network = new SlowLink();
    private FramedGate gate;
    private GateLink link;

    @AfterEach
    void close() {
        timers.shutdownNow();
    }

    @Test
    void downloadsOnSlowLinkLetOtherFramesWaitForSixteenKilobytes() {
        byte[] body = body(540_000);
        open(body);
        List<CompletableFuture<byte[]>> downloads = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            downloads.add(download());
        }
        network.run(0, new Random(1));
        downloads.forEach(download -> assertThat(download.join()).isEqualTo(body));
        assertThat(network.maxQueuedPartBytes).isAtMost(17_000);
        assertThat(memory.transferred()).isEqualTo(6);
    }

    @Test
    void lostPartsAreRequestedAgainAndNoResponseIsCutShortUnnoticed() {
        byte[] body = body(90_000);
        int whole = 0;
        for (int seed = 0; seed < 300; seed++) {
            open(body);
            CompletableFuture<byte[]> download = download();
            network.run(12, new Random(seed));
            assertWithMessage("seed " + seed).that(download.isDone()).isTrue();
            if (!download.isCompletedExceptionally()) {
                assertThat(download.join()).isEqualTo(body);
                whole++;
            }
        }
        assertThat(whole).isAtLeast(200);
    }

    @Test
    void gateDropsResponseThatHasArrived() {
        open(body(90_000));
        CompletableFuture<byte[]> download = download();
        network.run(0, new Random(1));
        assertThat(download.isDone()).isTrue();
        assertThat(gate.part(CallMessage.part(1, 0)).join().body()).isEmpty();
    }

    @Test
    void cancelledDownloadEndsAndIsDropped() {
        open(body(90_000));
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        Exchange exchange = link.send(request(), SECOND_NANOS, cancelled);
        network.step(false);
        cancelled.complete(null);
        network.run(0, new Random(1));
        assertThrows(Exception.class, () -> exchange.headers().join());
        assertThat(gate.part(CallMessage.part(1, 0)).join().body()).isEmpty();
    }

    /** Guards against responses of many gates that together take more memory than a node has. */
    @Test
    void transfersWaitForMemory() {
        TransferMemory limited = new TransferMemory();
        List<Integer> started = new ArrayList<>();
        limited.reserve(TransferMemory.BYTES, () -> started.add(1));
        limited.reserve(1, () -> started.add(2));
        assertThat(started).containsExactly(1);
        limited.release(TransferMemory.BYTES);
        assertThat(started).containsExactly(1, 2).inOrder();
    }

    /** Guards against a gate that keeps the responses of entries that never fetch them. */
    @Test
    void gateDropsOldestResponsesBeyondItsMemory() {
        open(body(2 << 20));
        for (int i = 0; i < 8; i++) {
            link.send(request(), SECOND_NANOS, new CompletableFuture<>());
            network.step(false);
            network.queue.clear();
        }
        assertThat(gate.part(CallMessage.part(1, 0)).join().body()).isEmpty();
        assertThat(gate.part(CallMessage.part(8, 0)).join().body()).hasLength(FramedGate.PART_BYTES);
    }

    private void open(byte[] body) {
        gate = new FramedGate(
                GateFixture.of(
                        clock,
                        timers,
                        8,
                        () -> CompletableFuture.completedFuture(
                                AggregatedHttpResponse.of(ResponseHeaders.of(HttpStatus.OK), HttpData.wrap(body)))),
                packing,
                1,
                ImmediateEventExecutor.INSTANCE,
                BodyMemory.ofNode(),
                clock);
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        link = new GateLink.ForFrames(
                network,
                address,
                1,
                packing,
                new AtomicLong()::incrementAndGet,
                ImmediateEventExecutor.INSTANCE,
                BodyMemory.ofNode(),
                clock,
                new PartFetcher(network, address, memory, new TransferRate(), clock),
                null);
    }

    private CompletableFuture<byte[]> download() {
        Exchange exchange = link.send(request(), SECOND_NANOS, new CompletableFuture<>());
        return exchange.headers().thenCompose(headers -> exchange.aggregate(headers)
                .thenCompose(response -> response.aggregate(ImmediateEventExecutor.INSTANCE))
                .thenApply(response -> response.content().array()));
    }

    private static HttpRequest request() {
        return HttpRequest.of(RequestHeaders.builder(HttpMethod.GET, "/")
                .set(CallHeaders.SERVICE, GateFixture.SERVICE)
                .set(CallHeaders.TIMEOUT, "1S")
                .build());
    }

    private static byte[] body(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    /** Carries one frame at a time, in order; requests take no time. */
    private final class SlowLink implements Peers {

        private final Deque<Delivery> queue = new ArrayDeque<>();
        private int maxQueuedPartBytes;

        @Override
        @SuppressWarnings("unchecked")
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object message, long timeoutMillis) {
            CallMessage request = (CallMessage) message;
            CompletableFuture<CallMessage> reply = new CompletableFuture<>();
            CompletableFuture<CallMessage> answer =
                    switch (kind) {
                        case CALL -> gate.call(request);
                        case RESUME -> gate.resume(request);
                        case CANCEL -> gate.cancel(request);
                        case PART -> gate.part(request);
                        default -> throw new AssertionError(kind);
                    };
            answer.thenAccept(found -> queue.addLast(new Delivery(kind, found, reply)));
            int bytes = queue.stream()
                    .filter(delivery -> delivery.kind == FrameKind.PART)
                    .mapToInt(delivery -> FrameCodec.sizeOf(delivery.message))
                    .sum();
            maxQueuedPartBytes = Math.max(maxQueuedPartBytes, bytes);
            return (CompletableFuture<A>) reply;
        }

        void run(int lostPercent, Random random) {
            while (!queue.isEmpty()) {
                step(random.nextInt(100) < lostPercent);
            }
        }

        void step(boolean lost) {
            Delivery next = queue.removeFirst();
            clock.advanceMillis(PART_MILLIS);
            if (lost) {
                next.reply.completeExceptionally(new IOException("connection reset"));
            } else {
                next.reply.complete(next.message);
            }
        }
    }

    private record Delivery(FrameKind kind, CallMessage message, CompletableFuture<CallMessage> reply) {}
}
