package io.mustardusher.admission;

/**
 * Number of calls that a gate dispatches at the same time. It starts at the announced slots, falls by a factor when the
 * server sheds or misses deadlines and rises by additive steps with each call answered in time.
 */
final class ConcurrencyLimit {

    /** Factor of a decrease. */
    private static final double DECREASE = 0.9;

    /** Smallest share of the slots. */
    private static final double FLOOR = 0.25;

    /** Slots that the server announced. */
    private int slots;

    /** Present limit. */
    private double limit;

    /** Time of the last decrease, in nanoseconds. */
    private long decreasedNanos;

    /**
     * Creates a limit.
     *
     * @param slots slots that the server announced
     */
    ConcurrencyLimit(int slots) {
        this.slots = slots;
        this.limit = slots;
    }

    /**
     * Takes over a new number of slots.
     *
     * @param announced slots that the server announced
     */
    void resize(int announced) {
        if (announced == slots) {
            return;
        }
        slots = announced;
        limit = announced;
    }

    /**
     * Returns the present limit.
     *
     * @return calls dispatched at the same time, at least 1
     */
    int value() {
        return (int) Math.max(1, limit);
    }

    /** Notes a call answered in time. */
    void answered() {
        limit = Math.min(slots, limit + 1 / Math.max(1, limit));
    }

    /**
     * Notes a call that the server shed or did not answer in time. Calls of one service time count once.
     *
     * @param now          present time, in nanoseconds
     * @param serviceNanos smoothed service time, in nanoseconds
     */
    void overloaded(long now, long serviceNanos) {
        if (now - decreasedNanos < serviceNanos) {
            return;
        }
        decreasedNanos = now;
        limit = Math.max(Math.max(1, slots * FLOOR), limit * DECREASE);
    }
}
