package io.mustardusher.model;

import java.util.HashMap;
import java.util.Map;

/** What became of the calls of a simulation, by the second in which they were first made. */
public final class Outcomes {

    /** Worth of an answer after the target, relative to one within it. */
    private static final double LATE_WORTH = 0.1;

    private final Map<String, Tally> byKind = new HashMap<>();
    private final Map<Integer, Tally> bySecond = new HashMap<>();
    private final Tally total = new Tally();
    private long attempts;

    void recordAttempt() {
        attempts++;
    }

    void recordEnd(CallKind kind, long firstNanos, boolean answered, boolean withinTarget) {
        int second = (int) (firstNanos / 1_000_000_000L);
        record(total, kind, answered, withinTarget);
        record(byKind.computeIfAbsent(kind.name(), name -> new Tally()), kind, answered, withinTarget);
        record(bySecond.computeIfAbsent(second, key -> new Tally()), kind, answered, withinTarget);
    }

    private static void record(Tally tally, CallKind kind, boolean answered, boolean withinTarget) {
        tally.calls++;
        tally.answered += answered ? 1 : 0;
        tally.owed += kind.worth();
        if (answered) {
            tally.earned += kind.worth() * (withinTarget ? 1 : LATE_WORTH);
        }
    }

    /**
     * Returns the worth earned of that owed.
     *
     * @return fraction between 0 and 1
     */
    public double worth() {
        return total.worth();
    }

    /**
     * Returns the worth earned of that owed for calls of one kind.
     *
     * @param kind name of the kind
     * @return fraction between 0 and 1
     */
    public double worth(String kind) {
        return byKind.get(kind).worth();
    }

    /**
     * Returns the worth earned of that owed for calls first made in an interval.
     *
     * @param fromSecond first second of the interval
     * @param toSecond   second after the interval
     * @return fraction between 0 and 1
     */
    public double worth(int fromSecond, int toSecond) {
        Tally sum = new Tally();
        bySecond.forEach((second, tally) -> {
            if (second >= fromSecond && second < toSecond) {
                sum.earned += tally.earned;
                sum.owed += tally.owed;
            }
        });
        return sum.worth();
    }

    /**
     * Returns the share of calls that were answered at all.
     *
     * @return fraction between 0 and 1
     */
    public double answered() {
        return (double) total.answered / total.calls;
    }

    /**
     * Returns the average number of gates that a call was sent to.
     *
     * @return attempts for each call
     */
    public double attemptsPerCall() {
        return (double) attempts / total.calls;
    }

    private static final class Tally {

        private int calls;
        private int answered;
        private double earned;
        private double owed;

        private double worth() {
            return owed == 0 ? 1 : earned / owed;
        }
    }
}
