package io.mustardusher.budget;

/**
 * A budget of extra calls as a fraction of fresh ones. Each fresh call earns a part of an extra call; nothing is earned
 * by extra calls or by time, so that extra calls never multiply.
 */
public final class RatioBudget implements RetryBudget {

    /** Extra calls that a budget holds at most. */
    private static final double CAPACITY = 20;

    /** Extra calls that a new budget holds. */
    private static final double INITIAL = 3;

    /** Percentage in a whole. */
    private static final double PERCENT = 100;

    /** Extra calls held. */
    private double held = INITIAL;

    @Override
    public synchronized void earn(int percent) {
        held = Math.min(CAPACITY, held + percent / PERCENT);
    }

    @Override
    public synchronized boolean trySpend() {
        if (held < 1) {
            return false;
        }
        held -= 1;
        return true;
    }
}
