package io.mustardusher.allowance;

import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.mustardusher.account.Account;
import io.mustardusher.account.AccountName;
import io.mustardusher.generated.AllowanceAsk;
import io.mustardusher.generated.AllowanceGrant;
import io.mustardusher.time.Clock;

/**
 * The entry's side: tokens at hand, calls that wait for one, and refusals that are still in force. One question at a
 * time is open for each group; it covers all calls of the group that wait. Not thread-safe.
 */
final class AllowancePool {

    /** Time after which a question is no longer waited for, in nanoseconds. */
    static final long QUESTION_NANOS = 100 * Clock.NANOS_PER_MILLI;

    /** Largest number of tokens asked for at once. */
    private static final int MAX_TOKENS = 10_000;

    private final Clock clock;
    private final Map<AccountName, AccountTokens> accounts = new HashMap<>();
    private final Map<AccountGroup, GroupQuestions> groups = new HashMap<>();

    /** Version of the configuration. */
    private long version;

    /** Number of nodes. */
    private int nodes;

    AllowancePool(Clock clock) {
        this.clock = clock;
    }

    void setNodes(int known) {
        nodes = known;
    }

    void configure(long newVersion, Map<AccountName, Account> limited) {
        version = newVersion;
        accounts.values().removeIf(tokens -> {
            Account current = limited.get(tokens.account().name());
            if (current != null) {
                tokens.setAccount(current);
            }
            return current == null && tokens.waiting().isEmpty();
        });
    }

    /**
     * Requests a token for a call. The listener may be notified before this method returns.
     *
     * @param account  account of the call
     * @param listener notified of the decision
     * @return whether the call waits; if so, the listener can be removed by {@link #cancel}
     */
    boolean take(Account account, TokenListener listener) {
        long now = clock.nanoTime();
        AccountTokens tokens = accounts.computeIfAbsent(account.name(), name -> new AccountTokens(account));
        tokens.recordCall(now);
        if (tokens.waiting().isEmpty() && tokens.tryTake(now)) {
            if (tokens.extra(now) > 0) {
                group(account.name()).asking.add(tokens);
            }
            listener.granted();
            return false;
        }
        if (tokens.isRefused(now)) {
            listener.refused(tokens.promise(now, nodes));
            return false;
        }
        tokens.waiting().add(listener);
        group(account.name()).asking.add(tokens);
        return true;
    }

    /**
     * Removes a call that no longer waits. A token that arrives for it is used by the next call.
     *
     * @param account  account of the call
     * @param listener its listener
     */
    void cancel(AccountName account, TokenListener listener) {
        AccountTokens tokens = accounts.get(account);
        if (tokens != null) {
            tokens.waiting().remove(listener);
        }
    }

    /**
     * Opens a question for a group if there is something to ask and no question is open.
     *
     * @param group the group
     * @return the requests for tokens; empty if there is nothing to ask now
     */
    List<AllowanceAsk> open(AccountGroup group) {
        GroupQuestions questions = groups.get(group);
        long now = clock.nanoTime();
        if (questions == null || questions.asking.isEmpty() || questions.isOpen(now)) {
            return List.of();
        }
        List<AllowanceAsk> asks = new ArrayList<>(questions.asking.size());
        for (AccountTokens tokens : questions.asking) {
            int needed = Math.min(MAX_TOKENS, tokens.waiting().size());
            int extra = Math.min(MAX_TOKENS, tokens.extra(now));
            if (needed + extra > 0) {
                Account account = tokens.account();
                asks.add(new AllowanceAsk()
                        .withAccount(account.name().value())
                        .withNeeded(needed)
                        .withExtra(extra)
                        .withVersion(version)
                        .withRate(account.ratePerSecond())
                        .withBurst(account.burst()));
            }
        }
        questions.asking.clear();
        if (!asks.isEmpty()) {
            questions.open(asks, now);
        }
        return asks;
    }

    /**
     * Processes the grants of a reply.
     *
     * @param group     the group
     * @param asks      the requests for tokens
     * @param grants    the answers, in the order of the requests
     * @param sentNanos time at which the requests were sent, in nanoseconds
     */
    void onGrants(AccountGroup group, List<AllowanceAsk> asks, List<AllowanceGrant> grants, long sentNanos) {
        group(group).close(asks);
        for (int i = 0; i < Math.min(asks.size(), grants.size()); i++) {
            AllowanceAsk ask = asks.get(i);
            AccountTokens tokens = accounts.get(AccountName.of(ask.getAccount()));
            if (tokens != null) {
                onGrant(group, tokens, ask, grants.get(i), sentNanos);
            }
        }
    }

    /**
     * Processes the failure of a question: the calls that still wait are asked for again.
     *
     * @param group     the group
     * @param asks      the requests for tokens
     */
    void onUnanswered(AccountGroup group, List<AllowanceAsk> asks) {
        GroupQuestions questions = group(group);
        questions.close(asks);
        for (AllowanceAsk ask : asks) {
            AccountTokens tokens = accounts.get(AccountName.of(ask.getAccount()));
            if (tokens != null && !tokens.waiting().isEmpty()) {
                questions.asking.add(tokens);
            }
        }
    }

    private void onGrant(
            AccountGroup group, AccountTokens tokens, AllowanceAsk ask, AllowanceGrant grant, long sentNanos) {
        long now = clock.nanoTime();
        long endNanos = sentNanos + AllowanceBounds.TOKEN_LIFETIME_NANOS;
        boolean timely = now - endNanos < 0;
        if (timely) {
            tokens.add((int) Math.min(grant.getTokens(), 2L * MAX_TOKENS), endNanos);
        }
        Deque<TokenListener> waiting = tokens.waiting();
        List<TokenListener> granted = new ArrayList<>();
        while (!waiting.isEmpty() && tokens.tryTake(now)) {
            granted.add(waiting.remove());
        }
        List<TokenListener> rejected = new ArrayList<>();
        boolean exhausted = grant.getTokens() < ask.getNeeded();
        long delayNanos = grant.getDelayMicros() * Clock.NANOS_PER_MICRO;
        if (timely && exhausted) {
            rejected.addAll(waiting);
            waiting.clear();
            if (delayNanos >= 0) {
                tokens.refuse(now, delayNanos);
            }
        }
        if (!waiting.isEmpty()) {
            group(group).asking.add(tokens);
        }
        // Listeners are notified last, because they may route calls and request further tokens.
        granted.forEach(TokenListener::granted);
        for (TokenListener listener : rejected) {
            if (delayNanos >= 0) {
                listener.refused(tokens.promise(now, nodes));
            } else {
                listener.unavailable();
            }
        }
    }

    private GroupQuestions group(AccountName account) {
        return group(AccountGroup.of(account));
    }

    private GroupQuestions group(AccountGroup group) {
        return groups.computeIfAbsent(group, ignored -> new GroupQuestions());
    }

    /** Questions of one group. */
    private static final class GroupQuestions {

        /** Accounts with calls to ask for. */
        private final Set<AccountTokens> asking = new LinkedHashSet<>();

        /** The open question; {@code null} if there is none. */
        private List<AllowanceAsk> open;

        private long openedNanos;

        boolean isOpen(long now) {
            return open != null && now - openedNanos < QUESTION_NANOS;
        }

        void open(List<AllowanceAsk> asks, long now) {
            open = asks;
            openedNanos = now;
        }

        // Compared by identity: an earlier question may have the same content.
        void close(List<AllowanceAsk> asks) {
            if (open == asks) {
                open = null;
            }
        }
    }
}
