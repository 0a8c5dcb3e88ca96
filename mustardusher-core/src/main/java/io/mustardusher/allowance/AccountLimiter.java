package io.mustardusher.allowance;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import io.mustardusher.account.Account;
import io.mustardusher.account.AccountName;
import io.mustardusher.generated.AllowanceAsk;
import io.mustardusher.generated.AllowanceReply;
import io.mustardusher.generated.AllowanceRequest;
import io.mustardusher.time.Clock;

/**
 * Limits the requests of accounts over all nodes: one node's part in the protocol of delegated shares. It sends
 * messages through a {@link Messenger} and has to be ticked while {@link #isActive}. Not thread-safe.
 */
public final class AccountLimiter {

    /** Interval between two ticks, in milliseconds. */
    public static final long TICK_MILLIS = DelegationTiming.MIN_INTERVAL_NANOS / Clock.NANOS_PER_MILLI;

    /** Time within which a message has to be answered, in milliseconds; above the stalls of a busy node. */
    public static final long REPLY_TIMEOUT_MILLIS = 300;

    /** Longest time that a call may wait for its token, in milliseconds. */
    public static final long MAX_WAIT_MILLIS = AllowancePool.QUESTION_NANOS / Clock.NANOS_PER_MILLI;

    private final NodeProcess self;
    private final AllowanceBounds bounds;
    private final Messenger messenger;
    private final CoordinatorListener listener;
    private final Clock clock;
    private final Clock expiryClock;
    private final NodeShare share;
    private final UnreachableNodes unreachable;
    private final AllowanceLedger ledger;
    private final AllowancePool pool;
    private final SortedMap<Integer, DelegatedShare> shares = new TreeMap<>();

    /** Limited accounts in force. */
    private Map<AccountName, Account> limited = Map.of();

    /** Groups with a limited account. */
    private List<AccountGroup> activeGroups = List.of();

    /** Processes that may coordinate groups. */
    private List<NodeProcess> members = List.of();

    private long sequence;

    /**
     * Creates a limiter without accounts.
     *
     * @param self       this process
     * @param bounds     bound on the requests of an account
     * @param messenger  sends messages to other nodes
     * @param listener   notified when a group gets another coordinator
     * @param clock      source of time
     * @param startNanos time of the clock after which no process before this one has run, in nanoseconds
     */
    public AccountLimiter(
            NodeProcess self,
            AllowanceBounds bounds,
            Messenger messenger,
            CoordinatorListener listener,
            Clock clock,
            long startNanos) {
        this.self = self;
        this.bounds = bounds;
        this.messenger = messenger;
        this.listener = listener;
        this.clock = clock;
        this.share = new NodeShare(clock);
        this.unreachable = new UnreachableNodes(clock);
        this.expiryClock = new SuspensionClock(clock);
        this.ledger = new AllowanceLedger(self.boot(), bounds, clock);
        this.pool = new AllowancePool(expiryClock);
        // The wait for delegations of the process before this one begins at the start, not with the first account.
        for (int number = 0; number < AccountGroup.COUNT; number++) {
            shares.put(number, createShare(new AccountGroup(number), startNanos));
        }
    }

    /**
     * Sets the accounts in force.
     *
     * @param version  version of the configuration
     * @param accounts the accounts, limited or not
     */
    public void configure(long version, Collection<Account> accounts) {
        Map<AccountName, Account> next = new HashMap<>();
        accounts.stream().filter(Account::isLimited).forEach(account -> next.put(account.name(), account));
        limited = next;
        activeGroups = next.keySet().stream().map(AccountGroup::of).distinct().toList();
        sortCandidates();
        ledger.configure(version, limited);
        pool.configure(version, limited);
    }

    /**
     * Returns whether an account is limited, so that {@link #tick} has to be called.
     *
     * @return {@code true} if an account in force is limited
     */
    public boolean isActive() {
        return !limited.isEmpty();
    }

    /**
     * Sets the nodes of the deployment.
     *
     * @param live     processes that may coordinate groups
     * @param known    number of nodes that may be running, reachable or not, including this one; 0 before the first
     *                 discovery, so that this node delegates nothing
     * @param complete whether {@code known} is the number of all nodes, and not only of those met so far
     */
    public void setMembers(Collection<NodeProcess> live, int known, boolean complete) {
        share.update(known, complete);
        pool.setNodes(share.known());
        members = List.copyOf(live);
        sortCandidates();
    }

    /** Renews delegations, and looks for coordinators. Called every {@link #TICK_MILLIS} while there are accounts. */
    public void tick() {
        for (AccountGroup group : activeGroups) {
            DelegatedShare delegated = shares.get(group.number());
            delegated.avoidUnreachable();
            for (NodeProcess node : delegated.due()) {
                boolean coordinator = node.equals(delegated.coordinator());
                send(group, node, coordinator ? pool.open(group) : List.of());
            }
        }
    }

    /**
     * Requests a token for a call. The listener may be notified before this method returns.
     *
     * @param account  limited account of the call
     * @param decision notified of the decision
     * @return whether the call waits; the caller has to {@link #cancel} it after {@link #MAX_WAIT_MILLIS}
     */
    public boolean take(Account account, TokenListener decision) {
        boolean waits = pool.take(account, decision);
        ask(AccountGroup.of(account.name()));
        return waits;
    }

    /**
     * Removes a call that no longer waits for its token. Calls that wait behind it are asked for again if its question
     * was not answered.
     *
     * @param account  account of the call
     * @param decision its listener
     */
    public void cancel(Account account, TokenListener decision) {
        pool.cancel(account.name(), decision);
        ask(AccountGroup.of(account.name()));
    }

    /**
     * Answers a message of another node.
     *
     * @param request the message
     * @return the reply
     */
    public AllowanceReply answer(AllowanceRequest request) {
        return ledger.answer(request);
    }

    /**
     * Processes the reply to a message.
     *
     * @param sent  the message
     * @param reply the reply
     */
    public void onReply(SentMessage sent, AllowanceReply reply) {
        if (reply.getBoot() != sent.to().boot()) {
            onFailure(sent);
            return;
        }
        DelegatedShare delegated = shares.get(sent.group().number());
        boolean again = delegated.onReply(sent.to(), sent.request(), reply);
        if (!sent.request().getAsks().isEmpty()) {
            pool.onGrants(sent.group(), sent.request().getAsks(), reply.getGrants(), sent.sentNanos());
        }
        if (again) {
            send(sent.group(), delegated.coordinator(), pool.open(sent.group()));
        } else {
            ask(sent.group());
        }
    }

    /**
     * Processes the failure of a message, or that no reply arrived within {@link #REPLY_TIMEOUT_MILLIS}.
     *
     * @param sent the message
     */
    public void onFailure(SentMessage sent) {
        shares.values().forEach(delegated -> delegated.onFailure(sent.to(), sent.request()));
        pool.onUnanswered(sent.group(), sent.request().getAsks());
        ask(sent.group());
    }

    /**
     * Returns the coordinator of an account, as this node sees it.
     *
     * @param account name of the account
     * @return the coordinator; {@code null} before the members are known
     */
    public NodeProcess coordinator(AccountName account) {
        return shares.get(AccountGroup.of(account).number()).coordinator();
    }

    /**
     * Returns the sum of the shares of an account that this node holds as a coordinator.
     *
     * @param account name of the account
     * @return sum of the shares, at most 1
     */
    public double heldShare(AccountName account) {
        return ledger.share(AccountGroup.of(account));
    }

    private void sortCandidates() {
        activeGroups.forEach(group -> shares.get(group.number()).setCandidates(group.sort(members)));
    }

    private void ask(AccountGroup group) {
        NodeProcess coordinator = shares.get(group.number()).coordinator();
        if (coordinator == null) {
            return;
        }
        List<AllowanceAsk> asks = pool.open(group);
        if (!asks.isEmpty()) {
            send(group, coordinator, asks);
        }
    }

    private void send(AccountGroup group, NodeProcess to, List<AllowanceAsk> asks) {
        AllowanceRequest request = shares.get(group.number()).message(to).withAsks(asks);
        SentMessage sent = new SentMessage(to, group, request, expiryClock.nanoTime());
        if (to.equals(self)) {
            onReply(sent, ledger.answer(request));
        } else {
            messenger.send(sent);
        }
    }

    private DelegatedShare createShare(AccountGroup group, long startNanos) {
        DelegatedShare[] created = new DelegatedShare[1];
        created[0] = new DelegatedShare(
                self,
                group,
                share,
                unreachable,
                bounds,
                () -> ++sequence,
                () -> listener.coordinatorChanged(group, created[0].coordinator()),
                clock,
                startNanos);
        return created[0];
    }

    /** Sends messages to other nodes. */
    @FunctionalInterface
    public interface Messenger {

        /**
         * Sends a message, and later calls {@link #onReply} or {@link #onFailure} of the limiter, but not before this
         * method returns.
         *
         * @param message the message
         */
        void send(SentMessage message);
    }

    /** Notified of coordinators. */
    @FunctionalInterface
    public interface CoordinatorListener {

        /**
         * Another node coordinates a group.
         *
         * @param group       the group
         * @param coordinator the new coordinator, as this node sees it
         */
        void coordinatorChanged(AccountGroup group, NodeProcess coordinator);
    }

    /**
     * A message to another node.
     *
     * @param to        the receiver
     * @param group     group of accounts
     * @param request   the message
     * @param sentNanos time at which it was sent, from which the life of its tokens counts, in nanoseconds
     */
    public record SentMessage(NodeProcess to, AccountGroup group, AllowanceRequest request, long sentNanos) {}
}
