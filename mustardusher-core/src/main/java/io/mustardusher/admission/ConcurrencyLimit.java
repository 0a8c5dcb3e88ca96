package io.mustardusher.admission;

/**
 * Limit on the number of calls that a gate dispatches concurrently, with additive increase and multiplicative decrease
 * (AIMD). It starts at the slots that may be used, is multiplied by a factor below 1 when the server sheds calls or
 * misses deadlines, and grows by a small step with each call that is answered in time.
 */
final class ConcurrencyLimit {

    /** Factor by which the limit is multiplied on a decrease. */
    private static final double DECREASE_FACTOR = 0.9;

    /** Lower bound of the limit, as a fraction of the slots. */
    private static final double MIN_SLOTS_FRACTION = 0.25;

    /** Slots that may be used. */
    private int slots;

    /** Current limit; fractional so that small increases accumulate. */
    private double limit;

    /** Time of the last decrease, in nanoseconds. */
    private long lastDecreaseNanos;

    /**
     * Creates a limit that starts at a number of slots.
     *
     * @param slots slots that may be used
     */
    ConcurrencyLimit(int slots) {
        this.slots = slots;
        this.limit = slots;
    }

    /**
     * Resizes the limit to a new number of slots. Slots that are added are used at once; earlier decreases stay in
     * effect.
     *
     * @param newSlots slots that may be used
     */
    void resize(int newSlots) {
        limit = newSlots > slots ? limit + newSlots - slots : Math.min(limit, newSlots);
        slots = newSlots;
    }

    /**
     * Returns the number of slots, without decreases.
     *
     * @return number of slots that may be used
     */
    int slots() {
        return slots;
    }

    /**
     * Returns the current limit.
     *
     * @return number of calls that may be dispatched concurrently, at least 1
     */
    int value() {
        return (int) Math.max(1, limit);
    }

    /** Increases the limit after a call was answered in time. */
    void recordAnswer() {
        limit = Math.min(slots, limit + 1 / Math.max(1, limit));
    }

    /**
     * Decreases the limit after the server shed a call or missed its deadline. At most one decrease is applied per
     * service time, because calls that overlap report the same overload.
     *
     * @param now          current time, in nanoseconds
     * @param serviceNanos smoothed service time, in nanoseconds
     */
    void recordOverload(long now, long serviceNanos) {
        if (now - lastDecreaseNanos < serviceNanos) {
            return;
        }
        lastDecreaseNanos = now;
        limit = Math.max(Math.max(1, slots * MIN_SLOTS_FRACTION), limit * DECREASE_FACTOR);
    }
}
