package io.mustardusher.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What became of the calls of a simulation, by the second in which they were first made. */
public final class Outcomes {

    /** Worth of an answer after the target, relative to one within it. */
    private static final double LATE_WORTH = 0.1;

    private final Map<String, Tally> byKind = new HashMap<>();
    private final Map<Integer, Tally> bySecond = new HashMap<>();
    private final Tally total = new Tally();
    private final Map<String, Tally> byAccount = new HashMap<>();
    private final Map<String, Map<Integer, Tally>> secondsByKind = new HashMap<>();
    private long attempts;
    private long runs;
    private long wastedRuns;

    void recordAttempt() {
        attempts++;
    }

    /**
     * Records the run of a call that could make nested calls.
     *
     * @param wasted whether the run failed because a nested call was not answered
     */
    void recordRun(boolean wasted) {
        runs++;
        wastedRuns += wasted ? 1 : 0;
    }

    void recordEnd(CallKind kind, String account, long firstNanos, boolean answered, boolean withinTarget) {
        int second = (int) (firstNanos / 1_000_000_000L);
        List<Tally> tallies = List.of(
                total,
                byKind.computeIfAbsent(kind.name(), name -> new Tally()),
                bySecond.computeIfAbsent(second, key -> new Tally()),
                secondsByKind
                        .computeIfAbsent(kind.name(), name -> new HashMap<>())
                        .computeIfAbsent(second, key -> new Tally()),
                byAccount.computeIfAbsent(account, name -> new Tally()));
        tallies.forEach(tally -> record(tally, kind, answered, withinTarget));
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
        return worth(bySecond, fromSecond, toSecond);
    }

    /**
     * Returns the worth earned of that owed for calls of one kind first made in an interval.
     *
     * @param kind       name of the kind
     * @param fromSecond first second of the interval
     * @param toSecond   second after the interval
     * @return fraction between 0 and 1
     */
    public double worth(String kind, int fromSecond, int toSecond) {
        return worth(secondsByKind.get(kind), fromSecond, toSecond);
    }

    private static double worth(Map<Integer, Tally> seconds, int fromSecond, int toSecond) {
        Tally sum = new Tally();
        seconds.forEach((second, tally) -> {
            if (second >= fromSecond && second < toSecond) {
                sum.earned += tally.earned;
                sum.owed += tally.owed;
            }
        });
        return sum.worth();
    }

    /**
     * Returns the average worth earned of that owed for the tenth of the small accounts that got least.
     *
     * @return fraction between 0 and 1
     */
    public double worthOfWorstTenthOfAccounts() {
        List<Double> worths = byAccount.entrySet().stream()
                .filter(account ->
                        !account.getKey().isEmpty() && !account.getKey().equals(LoadPattern.Accounts.HOT))
                .map(account -> account.getValue().worth())
                .sorted()
                .toList();
        return worths.stream()
                .limit(Math.max(1, worths.size() / 10))
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(1);
    }

    /**
     * Returns the share of the runs of calls with nested calls that failed because a nested call was not answered.
     *
     * @return fraction between 0 and 1
     */
    public double wastedRuns() {
        return runs == 0 ? 0 : (double) wastedRuns / runs;
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
