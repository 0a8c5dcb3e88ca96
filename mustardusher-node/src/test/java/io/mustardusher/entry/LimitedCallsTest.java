package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.account.Account;
import io.mustardusher.account.AccountName;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.allowance.AllowanceBounds;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.CallOptions;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.ImmediateEventExecutor;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against calls above their account's limit that reach a gate, and against refusals that say otherwise. */
class LimitedCallsTest {

    private static final Account LIMITED = new Account(AccountName.of("limited"), OptionalInt.empty(), 10, 4);
    private static final long WINDOW = 5_000 * Clock.NANOS_PER_MILLI;

    private final Clock.Manual clock = new Clock.Manual();
    private final ManualTimers loop = new ManualTimers();
    private final MetricRegistry metrics = new MetricRegistry();
    private final CountingGates gates = new CountingGates();
    private final AccountAllowances allowances = new AccountAllowances(
            new MemberTable(self(), clock, new Random(1)),
            () -> 1,
            new AllowanceBounds(WINDOW, 0, 0),
            gates,
            loop,
            clock,
            new Random(1),
            metrics,
            clock.nanoTime());

    @Test
    void callsAboveTheLimitDoNotReachAGate() {
        Entry entry = entry(Optional.of(LIMITED));
        start();
        for (int i = 0; i < 20; i++) {
            call(entry);
        }
        AggregatedHttpResponse refused = call(entry).join();
        assertThat(gates.calls).isAtMost(4);
        assertThat(gates.calls).isAtLeast(1);
        assertThat(refused.status().code()).isEqualTo(429);
        assertThat(refused.headers().get(CallHeaders.OUTCOME)).isEqualTo(Outcome.NOT_RUN.token());
        assertThat(refused.headers().get(CallHeaders.RETRY_AFTER)).isNotNull();
        assertThat(metrics.counter("entry.rejected." + ResultCode.ALLOWANCE_EXCEEDED.label())
                        .getCount())
                .isEqualTo(21 - gates.calls);
    }

    @Test
    void callsWithoutAccountAreNotLimited() {
        Entry entry = entry(Optional.empty());
        start();
        for (int i = 0; i < 20; i++) {
            call(entry);
        }
        assertThat(gates.calls).isEqualTo(20);
    }

    private void start() {
        allowances.configure(1, List.of(LIMITED));
        for (int i = 0; i < 30; i++) {
            clock.advanceMillis(100);
            loop.advance(100 * Clock.NANOS_PER_MILLI);
        }
    }

    private Entry entry(Optional<Account> account) {
        Router router = RouterFixture.create(clock, loop, new HeaderPacking(List.of()), gates, List.of(true));
        PlainProtocol plain = new PlainProtocol(1_000, RequestLimits.NONE);
        Entry entry = new Entry(
                router,
                null,
                new AccountProtocol(plain, account),
                call -> {},
                new EventLoopDelay(clock),
                clock,
                metrics);
        entry.limitAccounts(allowances);
        return entry;
    }

    private static CompletableFuture<AggregatedHttpResponse> call(Entry entry) {
        HttpRequest request = HttpRequest.of(RequestHeaders.of(HttpMethod.GET, "/"));
        return entry.handle(request, new OpenExchange(ImmediateEventExecutor.INSTANCE))
                .aggregate();
    }

    private static MemberRecord self() {
        return new MemberRecord()
                .withId("node-0")
                .withBoot(1L)
                .withIncarnation(1)
                .withState(MemberState.ALIVE.toRecordState())
                .withHost("127.0.0.1")
                .withFramePort(1)
                .withRegion("r")
                .withDomain("d");
    }

    /** Reads calls of one account. */
    private record AccountProtocol(PlainProtocol plain, Optional<Account> account) implements CallerProtocol {

        @Override
        public Call read(RequestHeaders headers, long now) {
            Call call = plain.read(headers, now);
            return new Call(
                    call.entry(),
                    call.headers(),
                    call.owner(),
                    call.serviceClass(),
                    call.deadlineNanos(),
                    call.key(),
                    call.depth(),
                    call.retry(),
                    new CallOptions("call", 2, Long.MAX_VALUE, account, 0));
        }

        @Override
        public String callName(RequestHeaders request) {
            return plain.callName(request);
        }

        @Override
        public RequestLimits limits() {
            return plain.limits();
        }

        @Override
        public HttpResponse write(RequestHeaders request, HttpResponse answer) {
            return answer;
        }
    }

    /** Gates that take calls and never answer. */
    private static final class CountingGates implements Peers {

        private int calls;

        @Override
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object message, long timeoutMillis) {
            calls += kind == FrameKind.CALL ? 1 : 0;
            return new CompletableFuture<>();
        }
    }
}
