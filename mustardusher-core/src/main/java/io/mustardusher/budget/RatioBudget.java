package io.mustardusher.budget;

/**
 * A budget of extra calls as a fraction of fresh ones. Each fresh call earns a part of an extra call; nothing is earned
 * by extra calls or by time, so that extra calls never multiply.
 */
public final class RatioBudget {

    /** Extra calls that a budget holds at most. */
    private static final double CAPACITY = 20;

    /** Extra calls that a new budget holds. */
    private static final double INITIAL = 3;

    /** Percentage in a whole. */
    private static final double PERCENT = 100;

    /** Extra calls held. */
    private double held = INITIAL;

    /**
     * Earns the part of one fresh call.
     *
     * @param percent extra calls as a percentage of fresh ones
     */
    public synchronized void earn(int percent) {
        held = Math.min(CAPACITY, held + percent / PERCENT);
    }

    /**
     * Spends one extra call.
     *
     * @return {@code false} if the budget does not hold one
     */
    public synchronized boolean trySpend() {
        if (held < 1) {
            return false;
        }
        held -= 1;
        return true;
    }
}
