package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import com.codahale.metrics.MetricRegistry;
import io.mustardusher.account.Account;
import io.mustardusher.allowance.AccountGroup;
import io.mustardusher.allowance.AccountLimiter;
import io.mustardusher.allowance.AllowanceBounds;
import io.mustardusher.allowance.NodeProcess;
import io.mustardusher.allowance.TokenListener;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.AllowanceReply;
import io.mustardusher.generated.AllowanceRequest;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;

/**
 * Limits the calls of client accounts over all nodes: carries the messages of the {@link AccountLimiter}, and holds
 * calls until the decision. It sends nothing and has no timer while no account in force is limited. All methods but
 * {@link #configure} and {@link #describe(Collection, int)} are called on the event loop.
 */
public final class AccountAllowances {

    /** Time without a complete list of the nodes after which those met so far are used, in nanoseconds. */
    private static final long DISCOVERY_NANOS = 2_000 * Clock.NANOS_PER_MILLI;

    /**
     * Time after which a call of an account whose allowance is unknown may be sent again, in nanoseconds. Another
     * coordinator is usually found within this time.
     */
    private static final long UNKNOWN_RETRY_NANOS = 400 * Clock.NANOS_PER_MILLI;

    /** Jitter added to the time after which a refused call may be sent again, as a fraction of that time. */
    private static final double RETRY_JITTER = 0.5;

    /** Longest time that a refused caller is told to wait, in nanoseconds. */
    private static final long MAX_RETRY_NANOS = 60_000 * Clock.NANOS_PER_MILLI;

    /** Number of ticks between two reports in the log. */
    private static final int TICKS_PER_REPORT = 25;

    private final MemberTable members;
    private final IntSupplier registeredNodes;
    private final Peers peers;
    private final ScheduledExecutorService loop;
    private final Clock clock;
    private final Random random;
    private final AccountLimiter limiter;
    private final AccountUsage usage;

    /** Time from which this node looks for the others, in nanoseconds. */
    private final long createdNanos;

    /** Version of the member table that the limiter knows. */
    private long membersVersion = -1;

    private int registered;
    private boolean discovered;
    private boolean ticking;
    private int ticks;

    /**
     * Creates allowances without accounts.
     *
     * @param members         the cluster membership
     * @param registeredNodes returns the number of nodes that the table service lists; 0 if it is not known
     * @param bounds          bound on the requests of an account
     * @param peers           sends requests to other nodes
     * @param loop            the event loop that handles calls and frames
     * @param clock           source of time
     * @param random          spreads the return of refused callers
     * @param metrics         registry of metrics
     * @param startNanos      time of the clock after which no process before this one has run, in nanoseconds
     */
    public AccountAllowances(
            MemberTable members,
            IntSupplier registeredNodes,
            AllowanceBounds bounds,
            Peers peers,
            ScheduledExecutorService loop,
            Clock clock,
            Random random,
            MetricRegistry metrics,
            long startNanos) {
        this.members = members;
        this.registeredNodes = registeredNodes;
        this.peers = peers;
        this.loop = loop;
        this.clock = clock;
        this.random = random;
        this.usage = new AccountUsage(metrics);
        this.createdNanos = clock.nanoTime();
        this.limiter = new AccountLimiter(
                processOf(members.self()), bounds, this::send, this::coordinatorChanged, clock, startNanos);
    }

    /**
     * Sets the accounts in force. May be called by any thread.
     *
     * @param version  version of the configuration
     * @param accounts the accounts, limited or not
     */
    public void configure(long version, Collection<Account> accounts) {
        loop.execute(() -> {
            limiter.configure(version, accounts);
            if (limiter.isActive() && !ticking) {
                ticking = true;
                tick();
            }
        });
    }

    /**
     * Acquires a token for a call.
     *
     * @param account       limited account of the call
     * @param deadlineNanos deadline of the call, in nanoseconds of the clock
     * @param cancelled     completes when the caller has left
     * @return completes when the call may be routed, within 100 ms; fails with a {@link MustardusherException} if the
     *     call is refused, its deadline has passed or its caller has left
     */
    public CompletableFuture<Void> acquire(Account account, long deadlineNanos, CompletableFuture<Void> cancelled) {
        if (membersVersion < 0) {
            refreshMembers();
        }
        PendingCall call = new PendingCall(account);
        if (limiter.take(account, call)) {
            long waitNanos = AccountLimiter.MAX_WAIT_MILLIS * Clock.NANOS_PER_MILLI;
            long remainingNanos = Math.max(0, Math.min(waitNanos, deadlineNanos - clock.nanoTime()));
            Future<?> timeout = loop.schedule(call::expire, remainingNanos, TimeUnit.NANOSECONDS);
            cancelled.thenRun(call::cancel);
            call.token.whenComplete((granted, refused) -> timeout.cancel(false));
        }
        return call.token;
    }

    /**
     * Answers a message of another node.
     *
     * @param request the message
     * @return the reply
     */
    public CompletableFuture<AllowanceReply> answer(AllowanceRequest request) {
        return CompletableFuture.completedFuture(limiter.answer(request));
    }

    /**
     * Describes the allowances of the accounts with the most calls at this node. May be called by any thread.
     *
     * @param accounts accounts to choose from; those without a limit are left out
     * @param max      maximum number of accounts
     * @return the allowances, those with the most calls first
     */
    public CompletableFuture<List<AllowanceState>> describe(Collection<Account> accounts, int max) {
        Comparator<Account> byCalls = Comparator.<Account>comparingLong(account -> usage.calls(account.name()))
                .reversed()
                .thenComparing(account -> account.name().value());
        return CompletableFuture.supplyAsync(
                () -> accounts.stream()
                        .filter(Account::isLimited)
                        .sorted(byCalls)
                        .limit(max)
                        .map(this::describe)
                        .toList(),
                loop);
    }

    private AllowanceState describe(Account account) {
        return usage.state(account, limiter.coordinator(account.name()), limiter.heldShare(account.name()));
    }

    private void tick() {
        if (!limiter.isActive() || loop.isShutdown()) {
            ticking = false;
            return;
        }
        loop.schedule(this::tick, AccountLimiter.TICK_MILLIS, TimeUnit.MILLISECONDS);
        refreshMembers();
        limiter.tick();
        ticks++;
        if (ticks % TICKS_PER_REPORT == 0) {
            usage.report(limiter::coordinator);
        }
    }

    private void refreshMembers() {
        int rows = registeredNodes.getAsInt();
        boolean nowDiscovered = rows > 0 || clock.nanoTime() - createdNanos >= DISCOVERY_NANOS;
        if (members.version() == membersVersion && rows == registered && discovered == nowDiscovered) {
            return;
        }
        membersVersion = members.version();
        registered = rows;
        discovered = nowDiscovered;
        int known = 0;
        List<NodeProcess> live = new ArrayList<>();
        for (MemberRecord member : members.members()) {
            MemberState state = MemberState.of(member);
            known += state == MemberState.LEFT ? 0 : 1;
            if (state == MemberState.ALIVE || state == MemberState.SUSPECT) {
                live.add(processOf(member));
            }
        }
        limiter.setMembers(live, discovered ? Math.max(known, rows) : 0, rows > 0);
    }

    private void send(AccountLimiter.SentMessage message) {
        Optional<InetSocketAddress> address =
                members.frameAddress(message.to().id(), message.to().boot());
        if (address.isEmpty()) {
            loop.execute(() -> limiter.onFailure(message));
            return;
        }
        CompletableFuture<AllowanceReply> reply = peers.request(
                address.get(), FrameKind.ALLOWANCE, message.request(), AccountLimiter.REPLY_TIMEOUT_MILLIS);
        // The limiter expects no answer while it is still sending.
        if (reply.isDone()) {
            loop.execute(() -> reply.whenComplete((received, failure) -> complete(message, received, failure)));
        } else {
            reply.whenComplete((received, failure) -> complete(message, received, failure));
        }
    }

    private void complete(AccountLimiter.SentMessage message, AllowanceReply reply, Throwable failure) {
        if (failure == null) {
            limiter.onReply(message, reply);
        } else {
            limiter.onFailure(message);
        }
    }

    private void coordinatorChanged(AccountGroup group, NodeProcess coordinator) {
        usage.recordCoordinatorChange();
        NodeLog.LOG.coordinatorChanged(group.number(), coordinator.id());
    }

    private long withJitter(long nanos) {
        return (long) (Math.min(nanos, MAX_RETRY_NANOS) * (1 + RETRY_JITTER * random.nextDouble()));
    }

    private static NodeProcess processOf(MemberRecord member) {
        return new NodeProcess(member.getId(), member.getBoot());
    }

    /** A call that needs a token. */
    private final class PendingCall implements TokenListener {

        private final Account account;
        private final CompletableFuture<Void> token = new CompletableFuture<>();

        PendingCall(Account account) {
            this.account = account;
        }

        @Override
        public void granted() {
            usage.recordGranted(account.name());
            token.complete(null);
        }

        @Override
        public void refused(long delayNanos) {
            usage.recordRefused(account);
            fail(ResultCode.ALLOWANCE_EXCEEDED, "the account is above its limit", withJitter(delayNanos));
        }

        @Override
        public void unavailable() {
            usage.recordUnanswered(account.name());
            fail(ResultCode.ALLOWANCE_UNAVAILABLE, "no coordinator answers", withJitter(UNKNOWN_RETRY_NANOS));
        }

        private void expire() {
            if (!token.isDone()) {
                limiter.cancel(account, this);
                unavailable();
            }
        }

        private void cancel() {
            if (!token.isDone()) {
                limiter.cancel(account, this);
                fail(ResultCode.CANCELLED, "the caller has left", -1);
            }
        }

        private void fail(ResultCode code, String detail, long retryAfterNanos) {
            token.completeExceptionally(new MustardusherException(code, detail, retryAfterNanos));
        }
    }
}
