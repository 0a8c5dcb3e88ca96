package io.mustardusher.admission;

import java.util.ArrayDeque;
import java.util.Deque;

import io.mustardusher.budget.TokenBucket;
import io.mustardusher.time.Clock;

/**
 * Paces calls to a server that is cold, or that may have become cold since it last stated that it is not. A statement
 * in a health answer holds for all calls dispatched before the request for it was sent. Calls dispatched later count as
 * if the server were cold, and their number within a second is bounded; the next statement releases them. Not
 * thread-safe.
 */
final class ColdServerRate {

    /** Time over which calls are counted: a second, and the time that a call may take to reach the server. */
    private static final long WINDOW_NANOS = 1_100 * Clock.NANOS_PER_MILLI;

    /** Time whose calls may be dispatched at once after a pause, in seconds. */
    private static final double BURST_SECONDS = 0.25;

    /** Fraction of the bound from which a statement is requested, so that it arrives before calls have to wait. */
    private static final double REQUEST_FRACTION = 0.5;

    /** Expected wait for a statement of the server or for the configuration, in nanoseconds. */
    private static final long STATEMENT_WAIT_NANOS = 5 * Clock.NANOS_PER_MILLI;

    /** Time after which a server that has stated nothing counts as cold, in nanoseconds. */
    private static final long FIRST_STATEMENT_NANOS = 500 * Clock.NANOS_PER_MILLI;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;
    private final TokenBucket tokens;
    private final long createdNanos;
    private ColdPolicy policy = ColdPolicy.NONE;

    /** Times of calls in the window that reached the server while it was known to be cold. */
    private final Deque<Long> coldCalls = new ArrayDeque<>();

    /** Times of calls in the window since the server last stated that it is not cold. */
    private final Deque<Long> unconfirmedCalls = new ArrayDeque<>();

    /** Whether the server has stated nothing since it was first announced. */
    private boolean unstated = true;

    private long unstatedSinceNanos;

    private long coldUntilNanos;

    /** Time from which requests for statements have to be sent for the answer to be believed. */
    private long believedFromNanos;

    ColdServerRate(Clock clock) {
        this.clock = clock;
        this.tokens = new TokenBucket(clock, 0, 0);
        this.createdNanos = clock.nanoTime();
        this.unstatedSinceNanos = createdNanos;
        this.coldUntilNanos = createdNanos;
        this.believedFromNanos = createdNanos;
    }

    /**
     * Sets the policy. Calls that were dispatched without one have not been counted, and those of an earlier process of
     * the node are not known, so calls that may have been dispatched are counted in their place.
     *
     * @param newPolicy the policy
     */
    void configure(ColdPolicy newPolicy) {
        if (newPolicy.equals(policy)) {
            return;
        }
        if (newPolicy.paces() && !policy.paces()) {
            boolean dispatched = policy.equals(ColdPolicy.NONE);
            int assumed = newPolicy.maxCalls() - (dispatched ? 0 : newPolicy.maxCallsAfterStart());
            long assumedNanos = dispatched ? clock.nanoTime() : createdNanos;
            for (int i = 0; i < assumed; i++) {
                unconfirmedCalls.addLast(assumedNanos);
            }
        }
        policy = newPolicy;
        tokens.resize(policy.callsPerSecond(), Math.max(1, policy.callsPerSecond() * BURST_SECONDS));
        if (!policy.paces()) {
            coldCalls.clear();
            unconfirmedCalls.clear();
        }
    }

    /** Records that another server, or another process of the server, was announced. */
    void recordNewServer() {
        unstated = true;
        unstatedSinceNanos = clock.nanoTime();
        believedFromNanos = unstatedSinceNanos;
    }

    /**
     * Records an announcement. It may have been on its way for long, so that it shows that the server is cold, but not
     * that it no longer is.
     *
     * @param remainingNanos time for which the server is still cold, in nanoseconds; 0 if it is not
     */
    void recordAnnouncement(long remainingNanos) {
        unstated = false;
        if (remainingNanos > 0) {
            long now = clock.nanoTime();
            believedFromNanos = now;
            becomeCold(Math.max(coldUntilNanos, now + remainingNanos));
        }
    }

    /**
     * Records the answer to a health request.
     *
     * @param remainingNanos time for which the server is still cold, in nanoseconds; 0 if it is not
     * @param sentNanos      time at which the request was sent, in nanoseconds
     */
    void recordHealth(long remainingNanos, long sentNanos) {
        if (sentNanos - believedFromNanos < 0) {
            return;
        }
        believedFromNanos = sentNanos;
        unstated = false;
        long now = clock.nanoTime();
        if (remainingNanos > 0) {
            becomeCold(now + remainingNanos);
            return;
        }
        coldUntilNanos = now;
        while (!unconfirmedCalls.isEmpty() && unconfirmedCalls.peekFirst() - sentNanos < 0) {
            unconfirmedCalls.removeFirst();
        }
    }

    private void becomeCold(long untilNanos) {
        coldUntilNanos = untilNanos;
        coldCalls.addAll(unconfirmedCalls);
        unconfirmedCalls.clear();
    }

    /**
     * Returns whether the server is known or assumed to be cold.
     *
     * @return {@code true} if it is
     */
    boolean isCold() {
        if (!policy.paces()) {
            return false;
        }
        long now = clock.nanoTime();
        if (unstated && now - unstatedSinceNanos >= FIRST_STATEMENT_NANOS) {
            unstated = false;
            becomeCold(Math.max(coldUntilNanos, unstatedSinceNanos + policy.durationNanos()));
        }
        return now - coldUntilNanos < 0;
    }

    /**
     * Returns whether a statement of the server is needed now or soon.
     *
     * @return {@code true} if a health request should be sent
     */
    boolean needsStatement() {
        if (!policy.paces() || isCold()) {
            return false;
        }
        return unstated || countCalls() >= REQUEST_FRACTION * policy.maxCalls();
    }

    /**
     * Returns the time until a call may be dispatched.
     *
     * @param ahead number of calls to be dispatched before it
     * @return time in nanoseconds; 0 if it may be dispatched now
     */
    double delayNanos(int ahead) {
        if (!policy.paces()) {
            return policy.equals(ColdPolicy.UNKNOWN) ? STATEMENT_WAIT_NANOS : 0;
        }
        boolean cold = isCold();
        if (unstated) {
            return STATEMENT_WAIT_NANOS;
        }
        int excess = countCalls() + ahead + 1 - policy.maxCalls();
        if (cold) {
            return Math.max(tokens.nanosUntil(ahead + 1.0), excess <= 0 ? 0 : windowDelayNanos(excess));
        }
        return excess <= 0 ? 0 : STATEMENT_WAIT_NANOS;
    }

    /** Records that a call is dispatched, which has to be permitted now. */
    void recordDispatch() {
        if (!policy.paces()) {
            return;
        }
        if (isCold()) {
            tokens.tryTake();
            coldCalls.addLast(clock.nanoTime());
        } else {
            unconfirmedCalls.addLast(clock.nanoTime());
        }
    }

    /**
     * Returns the number of calls that run concurrently on average at the rate that a cold server tolerates.
     *
     * @param serviceNanos service time of a call, in nanoseconds
     * @return number of calls, at least 1; unlimited if the server is not cold
     */
    int concurrency(double serviceNanos) {
        double calls = Math.ceil(policy.callsPerSecond() * serviceNanos / NANOS_PER_SECOND);
        return isCold() ? (int) Math.max(1, calls) : Integer.MAX_VALUE;
    }

    private int countCalls() {
        long start = clock.nanoTime() - WINDOW_NANOS;
        removeUntil(start, coldCalls);
        removeUntil(start, unconfirmedCalls);
        return coldCalls.size() + unconfirmedCalls.size();
    }

    private static void removeUntil(long start, Deque<Long> calls) {
        while (!calls.isEmpty() && calls.peekFirst() - start <= 0) {
            calls.removeFirst();
        }
    }

    // Returns the time until a number of calls have left the window; all calls are in the first queue while it is cold.
    private double windowDelayNanos(int count) {
        long now = clock.nanoTime();
        int left = count;
        for (long call : coldCalls) {
            if (--left == 0) {
                return call + WINDOW_NANOS - now;
            }
        }
        return WINDOW_NANOS;
    }
}
