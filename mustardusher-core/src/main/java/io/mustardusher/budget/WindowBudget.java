package io.mustardusher.budget;

import java.util.function.DoubleSupplier;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.time.Clock;

/**
 * Budget over a sliding window: the extra attempts within any window stay below a fraction of the requests of that
 * window plus an allowance. Nodes that share one bound each use their share of the allowance.
 *
 * <p>A part of the budget is reserved for the highest class of the requests within the window, and another one for that
 * class and for nested calls.
 */
public final class WindowBudget implements RetryBudget {

    private static final int BUCKETS = 20;
    private static final double PERCENT = 100;

    /** Fraction of the budget up to which nested calls below the highest class may use it. */
    private static final double NESTED_FRACTION = 0.75;

    /** Fraction of the budget up to which other calls below the highest class may use it. */
    private static final double LOWER_FRACTION = 0.5;

    private final Clock clock;
    private final long bucketNanos;
    private final DoubleSupplier allowance;

    /** Extra attempts added by requests, in hundredths, for each time bucket. */
    private final long[] earned = new long[BUCKETS];

    /** Extra attempts spent, for each time bucket. */
    private final int[] spent = new int[BUCKETS];

    /** Classes of the requests, as a set of bits by ordinal, for each time bucket. */
    private final int[] classes = new int[BUCKETS];

    /** Number of the current time bucket since the origin of the clock. */
    private long currentBucket;

    /**
     * Creates a budget.
     *
     * @param clock       source of time
     * @param windowNanos length of the window, in nanoseconds
     * @param allowance   returns the extra attempts allowed in a window without any requests
     */
    public WindowBudget(Clock clock, long windowNanos, DoubleSupplier allowance) {
        this.clock = clock;
        // The buckets span more than the window, so that they cover it wherever it starts within a bucket.
        this.bucketNanos = windowNanos / (BUCKETS - 1);
        this.allowance = allowance;
        this.currentBucket = clock.nanoTime() / bucketNanos;
    }

    @Override
    public synchronized void earn(int percent) {
        advance();
        earned[index(currentBucket)] += percent;
    }

    @Override
    public synchronized void earn(int percent, ServiceClass serviceClass) {
        earn(percent);
        classes[index(currentBucket)] |= bit(serviceClass);
    }

    @Override
    public boolean trySpend(int attempts) {
        return trySpend(attempts, SpendingRank.HIGHEST);
    }

    @Override
    public synchronized boolean trySpend(int attempts, SpendingRank rank) {
        advance();
        double credit = allowance.getAsDouble() * PERCENT;
        int debit = attempts;
        int seen = 0;
        for (int i = 0; i < BUCKETS; i++) {
            credit += earned[i];
            debit += spent[i];
            seen |= classes[i];
        }
        if (debit * PERCENT > credit * usableFraction(rank, seen)) {
            return false;
        }
        spent[index(currentBucket)] += attempts;
        return true;
    }

    private void advance() {
        long bucketNow = clock.nanoTime() / bucketNanos;
        long firstExpired = Math.max(currentBucket + 1, bucketNow - BUCKETS + 1);
        for (long bucket = firstExpired; bucket <= bucketNow; bucket++) {
            earned[index(bucket)] = 0;
            spent[index(bucket)] = 0;
            classes[index(bucket)] = 0;
        }
        currentBucket = Math.max(currentBucket, bucketNow);
    }

    private static double usableFraction(SpendingRank rank, int classesSeen) {
        boolean highest = (classesSeen & (bit(rank.serviceClass()) - 1)) == 0;
        if (highest) {
            return 1;
        }
        return rank.nested() ? NESTED_FRACTION : LOWER_FRACTION;
    }

    // Higher classes have lower bits.
    private static int bit(ServiceClass serviceClass) {
        return 1 << serviceClass.ordinal();
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }
}
