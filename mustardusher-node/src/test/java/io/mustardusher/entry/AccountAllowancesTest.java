package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;

import com.codahale.metrics.MetricRegistry;
import io.mustardusher.account.Account;
import io.mustardusher.account.AccountName;
import io.mustardusher.allowance.AllowanceBounds;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.AllowanceRequest;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class AccountAllowancesTest {

    private static final Account ACCOUNT = new Account(AccountName.of("account"), OptionalInt.empty(), 10, 4);
    private static final Account UNLIMITED = new Account(AccountName.of("free"), OptionalInt.empty(), 0, 0);
    private static final CompletableFuture<Void> NEVER = new CompletableFuture<>();

    private final Clock.Manual clock = new Clock.Manual();
    private final ManualTimers loop = new ManualTimers();
    private final MetricRegistry metrics = new MetricRegistry();
    private final List<AllowanceRequest> sent = new ArrayList<>();
    private final List<CompletableFuture<Object>> replies = new ArrayList<>();
    private final MemberTable members = new MemberTable(member("node-0"), clock, new Random(1));

    private int registered = 1;

    @Test
    void aloneNodeGrantsItsLimitWithoutMessages() {
        AccountAllowances allowances = started();
        int granted = 0;
        for (int i = 0; i < 100; i++) {
            advance(100);
            granted += isGranted(allowances) ? 1 : 0;
            granted += isGranted(allowances) ? 1 : 0;
        }
        assertThat(granted).isAtMost(104);
        assertThat(granted).isAtLeast(90);
        assertThat(sent).isEmpty();
        assertThat(metrics.counter("allowance.granted").getCount()).isEqualTo(granted);
        assertThat(metrics.getMetrics()).containsKey("allowance.account.account.granted");
    }

    @Test
    void refusedCallersAreToldToReturnOneAfterTheOther() {
        AccountAllowances allowances = started();
        CompletableFuture<Void> call = acquire(allowances, NEVER);
        while (isGranted(call)) {
            call = acquire(allowances, NEVER);
        }
        MustardusherException refusal = refusalOf(call);
        assertThat(refusal.code()).isEqualTo(ResultCode.ALLOWANCE_EXCEEDED);
        assertThat(refusal.retryAfterNanos().orElseThrow()).isGreaterThan(0);
        assertThat(refusal.retryAfterNanos().orElseThrow()).isLessThan(200 * Clock.NANOS_PER_MILLI);
        for (int behind = 1; behind <= 10; behind++) {
            long next = refusalOf(acquire(allowances, NEVER)).retryAfterNanos().orElseThrow();
            // A node alone gets a token every 100 ms, half of them for callers that return.
            assertThat(next).isAtLeast(behind * 200 * Clock.NANOS_PER_MILLI);
            assertThat(next).isAtMost((100 + behind * 200) * 3 / 2 * Clock.NANOS_PER_MILLI);
        }
    }

    /** Without a limit in force nothing may run, whatever the number of accounts. */
    @Test
    void nothingRunsWithoutLimits() {
        AccountAllowances allowances = create();
        members.merge(List.of(member("node-1")));
        allowances.configure(1, List.of(UNLIMITED));
        advance(5_000);
        assertThat(loop.scheduled()).isEqualTo(0);
        allowances.configure(2, List.of(UNLIMITED, ACCOUNT));
        advance(1_000);
        assertThat(loop.scheduled()).isGreaterThan(0);
        allowances.configure(3, List.of());
        advance(5_000);
        assertThat(loop.scheduled()).isEqualTo(0);
        assertThat(sent.size()).isAtMost(10);
    }

    @Test
    void callIsRefusedIfCoordinatorDoesNotAnswer() {
        AccountAllowances allowances = withSilentCoordinator();
        CompletableFuture<Void> call = acquire(allowances, NEVER);
        advance(99);
        assertThat(call.isDone()).isFalse();
        advance(1);
        assertThat(refusalOf(call).code()).isEqualTo(ResultCode.ALLOWANCE_UNAVAILABLE);
        assertThat(metrics.counter("allowance.unanswered").getCount()).isEqualTo(1);
    }

    @Test
    void deadlineOfCallHolds() {
        AccountAllowances allowances = withSilentCoordinator();
        CompletableFuture<Void> call =
                allowances.acquire(ACCOUNT, clock.nanoTime() + 30 * Clock.NANOS_PER_MILLI, NEVER);
        advance(30);
        assertThat(refusalOf(call).code()).isEqualTo(ResultCode.ALLOWANCE_UNAVAILABLE);
    }

    @Test
    void callerThatLeavesIsNotWaitedFor() {
        AccountAllowances allowances = withSilentCoordinator();
        CompletableFuture<Void> left = new CompletableFuture<>();
        CompletableFuture<Void> call = acquire(allowances, left);
        left.complete(null);
        assertThat(refusalOf(call).code()).isEqualTo(ResultCode.CANCELLED);
        assertThat(metrics.counter("allowance.unanswered").getCount()).isEqualTo(0);
    }

    /** A node that reaches no other one coordinates all accounts itself, with its own share of their limits. */
    @Test
    void isolatedNodeGrantsItsShare() {
        AccountAllowances allowances = withSilentCoordinator();
        Account large = new Account(ACCOUNT.name(), OptionalInt.empty(), 90, 90);
        allowances.configure(2, List.of(large));
        int granted = 0;
        for (int i = 0; i < 100; i++) {
            advance(100);
            replies.forEach(reply -> reply.completeExceptionally(new TimeoutException()));
            granted += isGranted(allowances.acquire(large, Long.MAX_VALUE, NEVER)) ? 1 : 0;
            granted += isGranted(allowances.acquire(large, Long.MAX_VALUE, NEVER)) ? 1 : 0;
        }
        assertThat(metrics.counter("allowance.coordinatorChanged").getCount()).isAtLeast(1);
        assertThat(granted).isAtLeast(70);
        assertThat(granted).isAtMost(110);
    }

    /** Guards against a list for operators that grows with the number of accounts, or omits the largest ones. */
    @Test
    void describesAccountsWithMostCallsFirst() {
        Account idle = new Account(AccountName.of("a-idle"), OptionalInt.empty(), 5, 5);
        AccountAllowances allowances = started();
        allowances.configure(2, List.of(idle, ACCOUNT, UNLIMITED));
        advance(1);
        int granted = 0;
        while (isGranted(allowances)) {
            granted++;
        }
        AllowanceState state = describe(allowances, List.of(idle, ACCOUNT, UNLIMITED), 1);
        assertThat(state).isEqualTo(new AllowanceState("account", 10, 4, granted, 1, 0, "node-0", state.heldShare()));
        assertThat(state.heldShare()).isGreaterThan(0.0);
        assertThat(describe(allowances, List.of(idle), 10).granted()).isEqualTo(0);
    }

    private AllowanceState describe(AccountAllowances allowances, List<Account> accounts, int max) {
        CompletableFuture<List<AllowanceState>> states = allowances.describe(accounts, max);
        loop.advance(0);
        assertThat(states.join()).hasSize(1);
        return states.join().get(0);
    }

    private AccountAllowances create() {
        return new AccountAllowances(
                members,
                () -> registered,
                new AllowanceBounds(5_000 * Clock.NANOS_PER_MILLI, 0, 0),
                new SilentPeers(),
                loop,
                clock,
                new Random(1),
                metrics,
                clock.nanoTime());
    }

    private AccountAllowances started() {
        AccountAllowances allowances = create();
        allowances.configure(1, List.of(ACCOUNT, UNLIMITED));
        advance(3_000);
        return allowances;
    }

    /** Adds nodes until one of them is preferred as the coordinator of the account. */
    private AccountAllowances withSilentCoordinator() {
        AccountAllowances allowances = create();
        for (int i = 1; i <= 8; i++) {
            members.merge(List.of(member("node-" + i)));
        }
        registered = 9;
        allowances.configure(1, List.of(ACCOUNT));
        advance(100);
        assertThat(sent).isNotEmpty();
        return allowances;
    }

    private boolean isGranted(AccountAllowances allowances) {
        return isGranted(acquire(allowances, NEVER));
    }

    private static boolean isGranted(CompletableFuture<Void> call) {
        return call.isDone() && !call.isCompletedExceptionally();
    }

    private CompletableFuture<Void> acquire(AccountAllowances allowances, CompletableFuture<Void> cancelled) {
        return allowances.acquire(ACCOUNT, clock.nanoTime() + 10_000 * Clock.NANOS_PER_MILLI, cancelled);
    }

    private static MustardusherException refusalOf(CompletableFuture<Void> call) {
        return (MustardusherException)
                assertThrows(CompletionException.class, call::join).getCause();
    }

    private void advance(long millis) {
        for (long i = 0; i < millis; i++) {
            clock.advanceMillis(1);
            loop.advance(Clock.NANOS_PER_MILLI);
        }
    }

    private static MemberRecord member(String id) {
        return new MemberRecord()
                .withId(id)
                .withBoot(1L)
                .withIncarnation(1)
                .withState(MemberState.ALIVE.toRecordState())
                .withHost("127.0.0.1")
                .withFramePort(9)
                .withRegion("r")
                .withDomain("d");
    }

    /** Peers that answer only if a test makes them. */
    private final class SilentPeers implements Peers {

        @Override
        @SuppressWarnings("unchecked")
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object message, long timeoutMillis) {
            assertThat(kind).isEqualTo(FrameKind.ALLOWANCE);
            sent.add((AllowanceRequest) message);
            CompletableFuture<Object> reply = new CompletableFuture<>();
            replies.add(reply);
            return (CompletableFuture<A>) reply;
        }
    }
}
