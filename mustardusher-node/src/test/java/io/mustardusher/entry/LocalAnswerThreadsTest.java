package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.util.EventLoopGroups;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.frame.Credential;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.gate.Gate;
import io.mustardusher.gate.GateFixture;
import io.mustardusher.generated.DistanceSettings;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.result.Outcome;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against answers of the gate of the same process that are handled, and calls that are sent again, on threads
 * other than the event loop.
 */
class LocalAnswerThreadsTest {

    private static final long SECOND_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    private final Clock.Manual clock = new Clock.Manual();
    private final ManualTimers timers = new ManualTimers();
    private final EventLoopGroup group = EventLoopGroups.newEventLoopGroup(1, "local-answers", true);
    private final EventLoop loop = group.next();
    private final Set<Thread> threads = ConcurrentHashMap.newKeySet();
    private final CompletableFuture<AggregatedHttpResponse> serverAnswer = new CompletableFuture<>();
    private final Gate gate = GateFixture.of(clock, timers, 1, () -> serverAnswer);

    @AfterEach
    void close() {
        group.shutdownGracefully();
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 500})
    void answersOfServerAreHandledOnEventLoop(int status) throws Exception {
        CompletableFuture<AggregatedHttpResponse> answer = call();
        loop.execute(() -> serverAnswer.complete(AggregatedHttpResponse.of(
                ResponseHeaders.builder(status)
                        .set(CallHeaders.OUTCOME, Outcome.RAN.token())
                        .setInt("content-length", 2)
                        .build(),
                HttpData.ofUtf8("ok"))));
        assertThat(answer.join().status().code()).isEqualTo(status);
        assertThat(threads).containsExactly(loop.submit(Thread::currentThread).get());
    }

    @Test
    void rejectionsAreHandledOnEventLoop() throws Exception {
        gate.close();
        call().join();
        assertThat(threads).containsExactly(loop.submit(Thread::currentThread).get());
    }

    private CompletableFuture<AggregatedHttpResponse> call() throws Exception {
        ServerDirectory directory = new ServerDirectory(
                new MemberTable(self(), clock, new Random(1)),
                gate,
                new DistanceSettings(),
                () -> {
                    throw new AssertionError("no call is streamed");
                },
                new Credential("secret"),
                clock);
        directory.useFrames(new ServerDirectory.FrameTransport(
                new UnreachablePeers(), new HeaderPacking(List.of()), new AtomicLong(), loop, BodyMemory.ofNode()));
        directory.refresh();
        Router router = new Router(
                directory,
                new SuspectTable(clock),
                report -> {},
                new RetryPolicyFactory.ForWindow(clock, SECOND_NANOS, () -> 100),
                timers,
                new RecordingClock(),
                new MetricRegistry());
        Call call = RouterFixture.call(clock, 0, 2, Long.MAX_VALUE);
        return loop.submit(() -> router.route(call, CallBody.Buffered.EMPTY, true, new CompletableFuture<>())
                        .aggregate())
                .get();
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
                .withService(GateFixture.SERVICE)
                .withSince(1_000)
                .withSlots(4)
                .withServing(true);
    }

    /** Records the threads on which a router reads the time. */
    private final class RecordingClock implements Clock {

        @Override
        public long nanoTime() {
            threads.add(Thread.currentThread());
            return clock.nanoTime();
        }

        @Override
        public long epochMillis() {
            return clock.epochMillis();
        }
    }

    private static final class UnreachablePeers implements Peers {

        @Override
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object request, long timeoutMillis) {
            throw new AssertionError("the only server is beside this node");
        }
    }
}
