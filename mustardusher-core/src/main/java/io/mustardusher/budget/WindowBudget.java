package io.mustardusher.budget;

import java.util.function.DoubleSupplier;

import io.mustardusher.time.Clock;

/**
 * A budget over a sliding window: further sends within any window stay below a part of the requests of that window plus
 * a fixed allowance. Nodes that share a bound each take their part of the allowance.
 */
public final class WindowBudget implements RetryBudget {

    private static final int BUCKETS = 20;
    private static final double PERCENT = 100;

    private final Clock clock;
    private final long bucketNanos;
    private final DoubleSupplier allowance;
    /** Hundredths of a send. */
    private final long[] earned = new long[BUCKETS];

    private final int[] spent = new int[BUCKETS];
    private long newest;

    /**
     * Creates a budget.
     *
     * @param clock       source of time
     * @param windowNanos length of the window, in nanoseconds
     * @param allowance   further sends allowed in a window without any requests
     */
    public WindowBudget(Clock clock, long windowNanos, DoubleSupplier allowance) {
        this.clock = clock;
        // One bucket less than the window holds, so that whole buckets cover it however it is cut.
        this.bucketNanos = windowNanos / (BUCKETS - 1);
        this.allowance = allowance;
        this.newest = clock.nanoTime() / bucketNanos;
    }

    @Override
    public synchronized void earn(int percent) {
        advance();
        earned[index(newest)] += percent;
    }

    @Override
    public synchronized boolean trySpend() {
        advance();
        double credit = allowance.getAsDouble() * PERCENT;
        int debit = 1;
        for (int i = 0; i < BUCKETS; i++) {
            credit += earned[i];
            debit += spent[i];
        }
        if (debit * PERCENT > credit) {
            return false;
        }
        spent[index(newest)]++;
        return true;
    }

    private void advance() {
        long present = clock.nanoTime() / bucketNanos;
        long from = Math.max(newest + 1, present - BUCKETS + 1);
        for (long bucket = from; bucket <= present; bucket++) {
            earned[index(bucket)] = 0;
            spent[index(bucket)] = 0;
        }
        newest = Math.max(newest, present);
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }
}
