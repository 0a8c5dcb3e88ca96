package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.call.Problem;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.Credential;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.DistanceSettings;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.retry.RetryPolicy;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.ImmediateEventExecutor;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a call that is sent again to a server that has run it, where a second answer to the first run may wait
 * on the connection.
 */
class ServerTriedOnceTest {

    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final long SECOND_NANOS = 1_000 * Clock.NANOS_PER_MILLI;
    private static final int MAX_REACHED_ATTEMPTS = 3;

    private final Clock.Manual clock = new Clock.Manual();
    private final ManualTimers timers = new ManualTimers();
    private final HeaderPacking packing = new HeaderPacking(List.of());
    private final HeldGates gates = new HeldGates();
    private final MemberTable members = new MemberTable(self(), clock, new Random(1));
    private final ServerDirectory directory = new ServerDirectory(
            members,
            null,
            new DistanceSettings(),
            () -> {
                throw new AssertionError("no call is streamed");
            },
            new Credential("secret"),
            clock);

    @Test
    void failedServerIsNotTriedAgain() {
        join(1);
        CompletableFuture<AggregatedHttpResponse> answer = call(0, RetryPolicy.DEFAULT_MAX_ATTEMPTS);
        gates.answer(0, serverError());
        assertThat(answer.join().status().code()).isEqualTo(500);
        assertThat(gates.addresses).hasSize(1);
    }

    /** Guards against a second run at a server that was taken for crashed or leaving while it ran the call. */
    @Test
    void failedServerIsNotTriedAgainWhenItServesAgain() {
        join(1);
        CompletableFuture<AggregatedHttpResponse> answer = call(0, RetryPolicy.DEFAULT_MAX_ATTEMPTS);
        members.merge(List.of(member(1).withIncarnation(2).withServing(false)));
        directory.refresh();
        members.merge(List.of(member(1).withIncarnation(3).withSince(2_000)));
        directory.refresh();
        gates.answer(0, serverError());
        assertThat(gates.addresses).hasSize(1);
        assertThat(answer.join().status().code()).isEqualTo(500);
    }

    /** Guards against a second run at a server whose node was taken for failed while it ran the call. */
    @Test
    void failedServerIsNotTriedAgainWhenItsNodeReturns() {
        join(1);
        CompletableFuture<AggregatedHttpResponse> answer = call(0, RetryPolicy.DEFAULT_MAX_ATTEMPTS);
        members.merge(List.of(member(1).withState(MemberState.FAILED.toRecordState())));
        directory.refresh();
        members.merge(List.of(member(1).withIncarnation(2)));
        directory.refresh();
        gates.answer(0, serverError());
        assertThat(gates.addresses).hasSize(1);
        assertThat(answer.join().status().code()).isEqualTo(500);
    }

    /** Guards against a second run at the ninth server that a call is sent to. */
    @Test
    void failedServerIsNotTriedAgainAfterEightOthers() {
        int servers = 9;
        join(servers);
        CompletableFuture<AggregatedHttpResponse> answer = call(0, servers + 2);
        for (int i = 0; i < servers - 1; i++) {
            gates.answer(i, Problem.headers(ResultCode.SERVER_UNREACHABLE).build());
        }
        gates.answer(servers - 1, serverError());
        assertThat(gates.addresses).hasSize(servers);
        assertThat(answer.join().status().code()).isEqualTo(500);
    }

    /** Guards against a second arrival at a server that refused the call itself, after its record was replaced. */
    @Test
    void refusingServerIsNotTriedAgainWhenItServesAgain() {
        join(2);
        CompletableFuture<AggregatedHttpResponse> answer = call(0, RetryPolicy.DEFAULT_MAX_ATTEMPTS);
        gates.answer(0, Problem.headers(ResultCode.SERVER_REFUSED).build());
        assertThat(gates.addresses).hasSize(2);
        for (int i = 1; i <= 2; i++) {
            members.merge(List.of(member(i).withIncarnation(2).withServing(false)));
            directory.refresh();
            members.merge(List.of(member(i).withIncarnation(3).withSince(2_000).withBoot(2L)));
            directory.refresh();
        }
        gates.answer(1, Problem.headers(ResultCode.SERVER_REFUSED).build());
        assertThat(gates.addresses).containsNoDuplicates();
        assertThat(answer.join().status().code()).isEqualTo(503);
    }

    /** Guards against a retry at the server that runs a hedge of the same call. */
    @Test
    @Tag("known-red")
    void serverOfHedgeIsNotTriedAgain() {
        join(2);
        call(100, RetryPolicy.DEFAULT_MAX_ATTEMPTS);
        timers.advance(SECOND_NANOS / 2);
        assertThat(gates.addresses).hasSize(2);
        gates.answer(0, serverError());
        assertThat(gates.addresses).containsNoDuplicates();
    }

    private CompletableFuture<AggregatedHttpResponse> call(int hedgePercent, int maxAttempts) {
        Router router = new Router(
                directory,
                new SuspectTable(clock),
                report -> {},
                service -> new RetryPolicy(
                        new RetryPolicyFactory.ForWindow(clock, SECOND_NANOS, () -> 100)
                                .create(service)
                                .budget(),
                        maxAttempts,
                        RetryPolicy.BudgetExemption.ALL_GATE_REJECTIONS),
                timers,
                clock,
                new MetricRegistry());
        Call call = RouterFixture.call(clock, hedgePercent, MAX_REACHED_ATTEMPTS, Long.MAX_VALUE);
        return router.route(call, CallBody.Buffered.EMPTY, true, new CompletableFuture<>())
                .aggregate();
    }

    private void join(int servers) {
        directory.useFrames(new ServerDirectory.FrameTransport(
                gates, packing, new AtomicLong(), ImmediateEventExecutor.INSTANCE, BodyMemory.ofNode()));
        for (int i = 1; i <= servers; i++) {
            members.merge(List.of(member(i)));
        }
        directory.refresh();
    }

    private static ResponseHeaders serverError() {
        return ResponseHeaders.builder(500)
                .set(CallHeaders.OUTCOME, Outcome.RAN.token())
                .setInt("content-length", 0)
                .build();
    }

    private static MemberRecord self() {
        return member(0).withService(null).withServing(false);
    }

    private static MemberRecord member(int number) {
        return new MemberRecord()
                .withId("node-" + number)
                .withBoot(1L)
                .withIncarnation(1)
                .withState(MemberState.ALIVE.toRecordState())
                .withHost("127.0.0.1")
                .withFramePort(number + 1)
                .withGatePort(number + 1)
                .withRegion("r")
                .withDomain("d")
                .withService(SERVICE.value())
                .withSince(1_000)
                .withSlots(4)
                .withServing(true);
    }

    /** Gates that answer when the test says so. */
    private final class HeldGates implements Peers {

        private final List<InetSocketAddress> addresses = new ArrayList<>();
        private final List<CallMessage> calls = new ArrayList<>();
        private final List<CompletableFuture<CallMessage>> answers = new ArrayList<>();

        @Override
        @SuppressWarnings("unchecked")
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object request, long timeoutMillis) {
            CompletableFuture<CallMessage> answer = new CompletableFuture<>();
            if (kind == FrameKind.CALL) {
                addresses.add(address);
                calls.add((CallMessage) request);
                answers.add(answer);
            }
            return (CompletableFuture<A>) answer;
        }

        void answer(int index, ResponseHeaders headers) {
            CallMessage call = calls.get(index);
            answers.get(index).complete(new CallMessage(call.call(), packing.pack(headers), new byte[0]));
        }
    }
}
