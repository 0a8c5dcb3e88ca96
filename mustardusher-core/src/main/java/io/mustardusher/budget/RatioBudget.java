package io.mustardusher.budget;

/**
 * Budget that allows extra attempts as a fraction of the original requests. Each request adds a fraction of an attempt
 * to the balance; neither extra attempts nor elapsed time add to it, so extra attempts cannot multiply.
 */
public final class RatioBudget implements RetryBudget {

    /** Maximum balance, in attempts. */
    private static final double MAX_BALANCE = 20;

    /** Balance of a new budget, in attempts. */
    private static final double INITIAL_BALANCE = 3;

    private static final double PERCENT = 100;

    /** Extra attempts that are currently allowed. */
    private double balance = INITIAL_BALANCE;

    @Override
    public synchronized void earn(int percent) {
        balance = Math.min(MAX_BALANCE, balance + percent / PERCENT);
    }

    /** Returns an extra attempt that no server has received. */
    public synchronized void refund() {
        balance = Math.min(MAX_BALANCE, balance + 1);
    }

    @Override
    public synchronized boolean trySpend(int attempts) {
        if (balance < attempts) {
            return false;
        }
        balance -= attempts;
        return true;
    }
}
