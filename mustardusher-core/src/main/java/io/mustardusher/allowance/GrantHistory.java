package io.mustardusher.allowance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** Tokens that a coordinator granted to one account within the time that a window can see. */
final class GrantHistory {

    /** Parts of the window that grants are summed in; more parts cost memory, fewer delay the return of tokens. */
    private static final int SLOTS = 50;

    private static final double NANOS_PER_SECOND = 1e9;

    private final long memoryNanos;
    private final Deque<Slot> slots = new ArrayDeque<>();

    /**
     * Creates a history without grants.
     *
     * @param memoryNanos time for which a grant counts, in nanoseconds
     */
    GrantHistory(long memoryNanos) {
        this.memoryNanos = memoryNanos;
    }

    void record(double tokens, long now) {
        if (tokens <= 0) {
            return;
        }
        removeOld(now);
        Slot last = slots.peekLast();
        if (last == null || now - last.startNanos >= memoryNanos / SLOTS) {
            last = new Slot(now);
            slots.add(last);
        }
        last.tokens += tokens;
        last.lastNanos = now;
    }

    /**
     * Returns the tokens that shares which were held for the whole time may still grant: in each time that ends now, at
     * most the capacity and the refill of that time.
     *
     * @param plan  plan of the account's limit
     * @param share sum of the shares
     * @param now   current time, in nanoseconds
     * @return number of tokens; negative if more were granted
     */
    double tokensLeft(AllowanceBounds.Plan plan, double share, long now) {
        removeOld(now);
        double left = plan.capacity() * share;
        double granted = 0;
        for (Iterator<Slot> latestFirst = slots.descendingIterator(); latestFirst.hasNext(); ) {
            Slot slot = latestFirst.next();
            granted += slot.tokens;
            left = Math.min(left, tokensLeft(plan, share, now - slot.lastNanos, granted));
        }
        return left;
    }

    /**
     * Returns the time after which {@link #tokensLeft} is at least one.
     *
     * @param plan  plan of the account's limit, with a positive refill
     * @param share sum of the shares; their capacity is at least one token
     * @param now   current time, in nanoseconds
     * @return time in seconds
     */
    double secondsUntilToken(AllowanceBounds.Plan plan, double share, long now) {
        removeOld(now);
        double seconds = 0;
        double granted = 0;
        for (Iterator<Slot> latestFirst = slots.descendingIterator(); latestFirst.hasNext(); ) {
            Slot slot = latestFirst.next();
            granted += slot.tokens;
            long ageNanos = now - slot.lastNanos;
            double missing = 1 - tokensLeft(plan, share, ageNanos, granted);
            double untilForgotten = (memoryNanos - ageNanos + 1) / NANOS_PER_SECOND;
            seconds = Math.max(seconds, Math.min(missing / (plan.refillPerSecond() * share), untilForgotten));
        }
        return seconds;
    }

    private static double tokensLeft(AllowanceBounds.Plan plan, double share, long ageNanos, double granted) {
        return (plan.capacity() + plan.refillPerSecond() * ageNanos / NANOS_PER_SECOND) * share - granted;
    }

    private void removeOld(long now) {
        while (!slots.isEmpty() && now - slots.peek().lastNanos > memoryNanos) {
            slots.remove();
        }
    }

    /** Grants that follow each other closely; all of them count until the last one is old. */
    private static final class Slot {

        private final long startNanos;
        private long lastNanos;
        private double tokens;

        Slot(long startNanos) {
            this.startNanos = startNanos;
        }
    }
}
