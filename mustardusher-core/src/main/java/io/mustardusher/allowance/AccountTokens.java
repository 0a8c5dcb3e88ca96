package io.mustardusher.allowance;

import java.util.ArrayDeque;
import java.util.Deque;

import io.mustardusher.account.Account;
import io.mustardusher.time.Clock;

/** Tokens and waiting calls of one account at an entry. */
final class AccountTokens {

    /** Time for whose calls a busy entry asks in advance, in nanoseconds. */
    static final long PREFETCH_NANOS = 100 * Clock.NANOS_PER_MILLI;

    /**
     * Calls within {@link #PREFETCH_NANOS} from which on tokens are asked for in advance. With two of them, at 72
     * entries with 12 calls/s each, so many tokens expired unused that the account missed its limit.
     */
    private static final int MIN_PREFETCH = 4;

    /** Longest time for which a refusal is remembered, in nanoseconds, because another coordinator may have tokens. */
    private static final long MAX_REFUSAL_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Time over which the rate of tokens is averaged, in nanoseconds. */
    private static final double MEAN_NANOS = 5_000 * Clock.NANOS_PER_MILLI;

    /** Part of the tokens that refused callers are told to return for. New callers use the rest. */
    private static final double RETURN_PART = 0.5;

    /** Longest time that a refused caller is told to wait behind others, in nanoseconds. */
    private static final long MAX_PROMISE_NANOS = 20_000 * Clock.NANOS_PER_MILLI;

    private static final double NANOS_PER_SECOND = 1e9;

    private Account account;

    /** Tokens at hand that expire at the same time. */
    private final Deque<Batch> batches = new ArrayDeque<>();

    private final Deque<TokenListener> waiting = new ArrayDeque<>();

    /** Time of the next token as the coordinator stated it, in nanoseconds; valid while {@link #refused}. */
    private long nextTokenNanos;

    private long refusedUntilNanos;
    private boolean refused;

    /** Last time at which a refused caller was told to return, in nanoseconds; valid if {@link #promised}. */
    private long promisedNanos;

    private boolean promised;

    /** Tokens used, of which each loses its weight over {@link #MEAN_NANOS}. */
    private double recentTokens;

    private long recentNanos;

    /** Number of the current period of {@link #PREFETCH_NANOS}. */
    private long period;

    private int calls;
    private int callsBefore;

    AccountTokens(Account account) {
        this.account = account;
    }

    Account account() {
        return account;
    }

    void setAccount(Account value) {
        account = value;
    }

    void recordCall(long now) {
        advance(now);
        calls++;
    }

    boolean tryTake(long now) {
        while (!batches.isEmpty()) {
            Batch first = batches.peek();
            if (first.count > 0 && now - first.endNanos < 0) {
                first.count--;
                decay(now);
                recentTokens++;
                return true;
            }
            batches.remove();
        }
        return false;
    }

    void add(int tokens, long endNanos) {
        if (tokens > 0) {
            batches.add(new Batch(tokens, endNanos));
        }
    }

    int atHand(long now) {
        int count = 0;
        for (Batch batch : batches) {
            count += now - batch.endNanos < 0 ? batch.count : 0;
        }
        return count;
    }

    Deque<TokenListener> waiting() {
        return waiting;
    }

    /**
     * Returns the number of tokens to ask for in advance.
     *
     * @param now current time, in nanoseconds
     * @return number of tokens; 0 if the entry has few calls, or half of that number at hand
     */
    int extra(long now) {
        advance(now);
        int expected = Math.max(calls, callsBefore);
        int atHand = atHand(now);
        return expected < MIN_PREFETCH || 2 * atHand > expected ? 0 : expected - atHand;
    }

    void refuse(long now, long delayNanos) {
        refused = true;
        nextTokenNanos = now + delayNanos;
        refusedUntilNanos = now + Math.min(delayNanos, MAX_REFUSAL_NANOS);
    }

    boolean isRefused(long now) {
        refused = refused && now - refusedUntilNanos < 0;
        return refused;
    }

    /**
     * Returns the time after which a token for a refused caller is likely. Callers return one after the other, as fast
     * as this entry got tokens, but no slower than an equal part of the limit.
     *
     * @param now   current time, in nanoseconds
     * @param nodes number of nodes
     * @return time in nanoseconds
     */
    long promise(long now, int nodes) {
        decay(now);
        double perNano =
                Math.max(recentTokens / MEAN_NANOS, account.ratePerSecond() / NANOS_PER_SECOND / Math.max(1, nodes));
        long next = Math.max(0, nextTokenNanos - now);
        long behind = promised ? promisedNanos - now + (long) (1 / (RETURN_PART * perNano)) : 0;
        long delay = Math.max(next, Math.min(behind, MAX_PROMISE_NANOS));
        promised = true;
        promisedNanos = now + delay;
        return delay;
    }

    private void decay(long now) {
        if (now != recentNanos) {
            recentTokens *= Math.exp((recentNanos - now) / MEAN_NANOS);
            recentNanos = now;
        }
    }

    private void advance(long now) {
        long current = now / PREFETCH_NANOS;
        if (current != period) {
            callsBefore = current == period + 1 ? calls : 0;
            calls = 0;
            period = current;
        }
    }

    private static final class Batch {

        private int count;
        private final long endNanos;

        Batch(int count, long endNanos) {
            this.count = count;
            this.endNanos = endNanos;
        }
    }
}
