package io.mustardusher.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.mustardusher.time.Clock;

/** Load and disturbances of a deployment over time. Times are in milliseconds from the start. */
public final class LoadPattern {

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
     * @param millis time from the start, in milliseconds
     * @return the factor; 1 outside of bursts
     */
    double rateFactor(double millis) {
        double factor = 1;
        for (Interval burst : bursts) {
            factor *= burst.contains(millis) ? burst.factor : 1;
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
        double millis = clock.nanoTime() / (double) Clock.NANOS_PER_MILLI;
        return lostAnswers.stream()
                .filter(interval -> interval.contains(millis))
                .mapToDouble(Interval::factor)
                .max()
                .orElse(0);
    }

    private record Interval(double fromMillis, double toMillis, double factor) {

        boolean contains(double millis) {
            return millis >= fromMillis && millis < toMillis;
        }
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
            bursts.add(new Interval(fromMillis, toMillis, factor));
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
            lostAnswers.add(new Interval(fromMillis, toMillis, share));
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
