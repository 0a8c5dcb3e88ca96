package io.mustardusher.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.mustardusher.time.Clock;

/** Load and disturbances of a deployment over time. Times are in milliseconds from the start. */
public final class LoadPattern {

    /** Subject of an interval that applies to all services and kinds of calls. */
    private static final String ALL = "";

    private final Map<String, Integer> servers;
    private final List<CallKind> kinds;
    private final int slots;
    private final double nearlyFullFactor;
    private final double slowShare;
    private final double slowFactor;
    private final double slowPeriodMillis;
    private final double coldCostFactor;
    private final double callCostMillis;
    private final double lengthMillis;
    private final List<Interval> bursts;
    private final List<Restart> restarts;
    private final List<Interval> lostAnswers;
    private final List<Interval> refusals;
    private final Map<String, NestedCalls> nestedCalls;
    private final Map<String, Accounts> accounts;

    private LoadPattern(Builder builder) {
        this.servers = Map.copyOf(builder.servers);
        this.kinds = List.copyOf(builder.kinds);
        this.slots = builder.slots;
        this.nearlyFullFactor = builder.nearlyFullFactor;
        this.slowShare = builder.slowShare;
        this.slowFactor = builder.slowFactor;
        this.slowPeriodMillis = builder.slowPeriodMillis;
        this.coldCostFactor = builder.coldCostFactor;
        this.callCostMillis = builder.callCostMillis;
        this.lengthMillis = builder.lengthMillis;
        this.bursts = List.copyOf(builder.bursts);
        this.restarts = List.copyOf(builder.restarts);
        this.lostAnswers = List.copyOf(builder.lostAnswers);
        this.refusals = List.copyOf(builder.refusals);
        this.nestedCalls = Map.copyOf(builder.nestedCalls);
        this.accounts = Map.copyOf(builder.accounts);
    }

    /**
     * Returns a builder of a pattern without servers and calls.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the services of the servers.
     *
     * @return name of the service of each server, in a stable order
     */
    List<String> serviceOfEachServer() {
        List<String> services = new ArrayList<>();
        new TreeMap<>(servers).forEach((service, count) -> {
            for (int i = 0; i < count; i++) {
                services.add(service);
            }
        });
        return services;
    }

    List<CallKind> kinds() {
        return kinds;
    }

    int slots() {
        return slots;
    }

    double nearlyFullFactor() {
        return nearlyFullFactor;
    }

    double slowShare() {
        return slowShare;
    }

    double slowFactor() {
        return slowFactor;
    }

    double slowPeriodMillis() {
        return slowPeriodMillis;
    }

    double coldCostFactor() {
        return coldCostFactor;
    }

    double callCostMillis() {
        return callCostMillis;
    }

    double lengthMillis() {
        return lengthMillis;
    }

    List<Restart> restarts() {
        return restarts;
    }

    /**
     * Returns the factor by which bursts increase the rate of calls.
     *
     * @param kind   name of the kind of calls
     * @param millis time from the start, in milliseconds
     * @return the factor; 1 outside of bursts
     */
    double rateFactor(String kind, double millis) {
        double factor = 1;
        for (Interval burst : bursts) {
            factor *= burst.applies(kind, millis) ? burst.factor : 1;
        }
        return factor;
    }

    /**
     * Returns the share of the answers that are lost now.
     *
     * @param clock source of time
     * @return fraction between 0 and 1
     */
    double lostAnswerShare(Clock clock) {
        return share(lostAnswers, ALL, clock);
    }

    /**
     * Returns the share of the calls that the servers of a service refuse now, whatever their load.
     *
     * @param service the service
     * @param clock   source of time
     * @return fraction between 0 and 1
     */
    double refusedShare(String service, Clock clock) {
        return share(refusals, service, clock);
    }

    /**
     * Returns the nested calls of a kind of calls.
     *
     * @param kind name of the kind
     * @return the nested calls, or {@code null} if there are none
     */
    NestedCalls nestedCalls(String kind) {
        return nestedCalls.get(kind);
    }

    /**
     * Returns the accounts of a kind of calls.
     *
     * @param kind name of the kind
     * @return the accounts, or {@code null} if the calls have none
     */
    Accounts accounts(String kind) {
        return accounts.get(kind);
    }

    private static double share(List<Interval> intervals, String subject, Clock clock) {
        double millis = clock.nanoTime() / (double) Clock.NANOS_PER_MILLI;
        return intervals.stream()
                .filter(interval -> interval.applies(subject, millis))
                .mapToDouble(Interval::factor)
                .max()
                .orElse(0);
    }

    private record Interval(String subject, double fromMillis, double toMillis, double factor) {

        boolean applies(String to, double millis) {
            return (subject.equals(ALL) || subject.equals(to)) && millis >= fromMillis && millis < toMillis;
        }
    }

    /**
     * Calls that the run of another call makes one after the other. The run fails if one of them is not answered.
     *
     * @param kind        the nested calls
     * @param count       number of calls
     * @param probability probability that a run makes the calls
     */
    record NestedCalls(CallKind kind, int count, double probability) {}

    /**
     * Accounts that make the calls of a kind: a hot one and many small ones.
     *
     * @param small    number of small accounts
     * @param hotShare fraction of the calls that the hot account makes
     */
    record Accounts(int small, double hotShare) {

        static final String HOT = "hot";
    }

    /**
     * Loss and return of all machines at once. Servers are slow for some seconds after their start.
     *
     * @param atMillis   time of the loss, in milliseconds
     * @param downMillis time until nodes and servers accept calls again, in milliseconds
     */
    record Restart(double atMillis, double downMillis) {}

    /** Builds a pattern. */
    public static final class Builder {

        private final Map<String, Integer> servers = new TreeMap<>();
        private final List<CallKind> kinds = new ArrayList<>();
        private final List<Interval> bursts = new ArrayList<>();
        private final List<Restart> restarts = new ArrayList<>();
        private final List<Interval> lostAnswers = new ArrayList<>();
        private final List<Interval> refusals = new ArrayList<>();
        private final Map<String, NestedCalls> nestedCalls = new TreeMap<>();
        private final Map<String, Accounts> accounts = new TreeMap<>();
        private int slots = 12;
        private double nearlyFullFactor = 1.7;
        private double slowShare;
        private double slowFactor = 5;
        private double slowPeriodMillis = 150;
        private double coldCostFactor = 1;
        private double callCostMillis = 1;
        private double lengthMillis = 10_000;

        private Builder() {}

        /**
         * Adds servers, each with a node beside it.
         *
         * @param service service of the servers
         * @param count   number of servers
         * @return this builder
         */
        public Builder withServers(String service, int count) {
            servers.put(service, count);
            return this;
        }

        /**
         * Sets the number of calls that a server processes at once.
         *
         * @param value            number of slots
         * @param slowdownWhenFull factor by which calls take longer that start when four fifths of the slots are in use
         * @return this builder
         */
        public Builder withSlots(int value, double slowdownWhenFull) {
            slots = value;
            nearlyFullFactor = slowdownWhenFull;
            return this;
        }

        /**
         * Adds calls.
         *
         * @param kind the calls
         * @return this builder
         */
        public Builder withCalls(CallKind kind) {
            kinds.add(kind);
            return this;
        }

        /**
         * Lets noisy neighbours slow down each server.
         *
         * @param share        share of the time in which a server is slow
         * @param factor       factor by which a call that starts then takes longer
         * @param periodMillis time after which a server may change between slow and undisturbed, in milliseconds
         * @return this builder
         */
        public Builder withNoisyNeighbours(double share, double factor, double periodMillis) {
            slowShare = share;
            slowFactor = factor;
            slowPeriodMillis = periodMillis;
            return this;
        }

        /**
         * Sets the processor time of a node.
         *
         * @param callMillis processor time of one attempt at the entry and again at the gate, in milliseconds
         * @param coldFactor factor by which the first attempts after a restart cost more
         * @return this builder
         */
        public Builder withProcessorTime(double callMillis, double coldFactor) {
            callCostMillis = callMillis;
            coldCostFactor = coldFactor;
            return this;
        }

        /**
         * Increases the rate of all calls for a time.
         *
         * @param fromMillis start of the burst, in milliseconds
         * @param toMillis   end of the burst, in milliseconds
         * @param factor     factor of the rate
         * @return this builder
         */
        public Builder withBurst(double fromMillis, double toMillis, double factor) {
            bursts.add(new Interval(ALL, fromMillis, toMillis, factor));
            return this;
        }

        /**
         * Increases the rate of one kind of calls for a time.
         *
         * @param kind       name of the kind
         * @param fromMillis start of the burst, in milliseconds
         * @param toMillis   end of the burst, in milliseconds
         * @param factor     factor of the rate
         * @return this builder
         */
        public Builder withBurstOf(String kind, double fromMillis, double toMillis, double factor) {
            bursts.add(new Interval(kind, fromMillis, toMillis, factor));
            return this;
        }

        /**
         * Lets all servers of a service refuse a share of all calls for a time, whatever their load.
         *
         * @param service    the service
         * @param fromMillis start, in milliseconds
         * @param toMillis   end, in milliseconds
         * @param share      share of the calls that are refused
         * @return this builder
         */
        public Builder withRefusals(String service, double fromMillis, double toMillis, double share) {
            refusals.add(new Interval(service, fromMillis, toMillis, share));
            return this;
        }

        /**
         * Lets calls make nested calls, one after the other.
         *
         * @param kind        name of the kind of the calls
         * @param nested      the nested calls; their rate is ignored
         * @param count       number of nested calls
         * @param probability probability that a call makes them
         * @return this builder
         */
        public Builder withNestedCalls(String kind, CallKind nested, int count, double probability) {
            nestedCalls.put(kind, new NestedCalls(nested, count, probability));
            return this;
        }

        /**
         * Divides calls among a hot account and small ones.
         *
         * @param kind     name of the kind of the calls
         * @param small    number of small accounts
         * @param hotShare fraction of the calls that the hot account makes
         * @return this builder
         */
        public Builder withAccounts(String kind, int small, double hotShare) {
            accounts.put(kind, new Accounts(small, hotShare));
            return this;
        }

        /**
         * Loses answers of the servers for a time; the calls have run.
         *
         * @param fromMillis start, in milliseconds
         * @param toMillis   end, in milliseconds
         * @param share      share of the answers that are lost
         * @return this builder
         */
        public Builder withLostAnswers(double fromMillis, double toMillis, double share) {
            lostAnswers.add(new Interval(ALL, fromMillis, toMillis, share));
            return this;
        }

        /**
         * Restarts all machines at once.
         *
         * @param atMillis   time of the loss, in milliseconds
         * @param downMillis time until nodes and servers accept calls again, in milliseconds
         * @return this builder
         */
        public Builder withRestartOfAllMachines(double atMillis, double downMillis) {
            restarts.add(new Restart(atMillis, downMillis));
            return this;
        }

        /**
         * Sets the length of the pattern.
         *
         * @param millis length, in milliseconds
         * @return this builder
         */
        public Builder withLength(double millis) {
            lengthMillis = millis;
            return this;
        }

        /**
         * Builds the pattern.
         *
         * @return the pattern
         */
        public LoadPattern build() {
            return new LoadPattern(this);
        }
    }
}
