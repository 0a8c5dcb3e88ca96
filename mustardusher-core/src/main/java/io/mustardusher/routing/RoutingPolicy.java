package io.mustardusher.routing;

import java.util.random.RandomGenerator;

/** Policy by which an entry chooses a backend server of a service. */
public enum RoutingPolicy {
    /** Chooses the servers in turn. */
    ROUND_ROBIN("round-robin") {
        @Override
        int pick(ServerPool pool, ExcludedServers excluded, RandomGenerator random, long now, double crossDomainCost) {
            return pool.findServing(pool.nextIndex(), excluded);
        }
    },

    /** Chooses a random server. */
    RANDOM("random") {
        @Override
        int pick(ServerPool pool, ExcludedServers excluded, RandomGenerator random, long now, double crossDomainCost) {
            return pool.findServing(random.nextInt(pool.size()), excluded);
        }
    },

    /** Chooses the one of two random servers that has fewer calls of this entry in flight. */
    LEAST_IN_FLIGHT_OF_TWO("least-in-flight-of-two") {
        @Override
        int pick(ServerPool pool, ExcludedServers excluded, RandomGenerator random, long now, double crossDomainCost) {
            int first = pool.findServing(random.nextInt(pool.size()), excluded);
            if (first < 0 || pool.size() == 1) {
                return first;
            }
            int second = pool.findServing((first + 1 + random.nextInt(pool.size() - 1)) % pool.size(), excluded);
            return pool.get(second).inFlight() < pool.get(first).inFlight() ? second : first;
        }
    },

    /**
     * Chooses the servers in turn, unless one of a few random other servers has a much shorter estimated response time.
     * Ejected servers only receive trial calls, unless too many servers are ejected.
     */
    MUSTARDUSHER("mustardusher") {
        @Override
        int pick(ServerPool pool, ExcludedServers excluded, RandomGenerator random, long now, double crossDomainCost) {
            int trial = pool.findTrialCandidate(random.nextInt(pool.size()), excluded, now);
            if (trial >= 0) {
                return trial;
            }
            int best = pickByEstimate(pool, excluded, random, now);
            return best >= 0 ? best : pool.findServing(random.nextInt(pool.size()), excluded);
        }
    },

    /**
     * Chooses the server of the least cost: its estimated response time plus the cost of leaving the failure domain.
     * Compares a bounded number of servers and is meant for small pools.
     */
    LEAST_COST("least-cost") {
        @Override
        int pick(ServerPool pool, ExcludedServers excluded, RandomGenerator random, long now, double crossDomainCost) {
            int trial = pool.findTrialCandidate(random.nextInt(pool.size()), excluded, now);
            if (trial >= 0) {
                return trial;
            }
            int best = pickByCost(pool, excluded, random, now, crossDomainCost);
            return best >= 0 ? best : pool.findServing(random.nextInt(pool.size()), excluded);
        }
    };

    /** Number of random servers that are compared with the next server in turn. */
    private static final int RANDOM_CANDIDATES = 2;

    /**
     * Ratio of estimated response times above which another server is preferred to the next in turn. Load reports are
     * stale, so smaller differences are noise.
     */
    private static final double PREFERENCE_RATIO = 1.25;

    /** Number of servers up to which all are compared by cost. */
    private static final int MAX_COST_CANDIDATES = 12;

    /**
     * Number of servers of the own failure domain that are compared by cost in a larger pool. Entries that compare more
     * of them by reports that are out of date choose the same few that seem idle.
     */
    private static final int NEAR_COST_CANDIDATES = 2;

    /** Number of servers of other failure domains that are compared by cost in a larger pool. */
    private static final int FAR_COST_CANDIDATES = 1;

    /** Name in catalogue documents. */
    private final String token;

    /**
     * Creates a policy.
     *
     * @param token name in catalogue documents
     */
    RoutingPolicy(String token) {
        this.token = token;
    }

    /**
     * Returns the name of this policy in catalogue documents.
     *
     * @return the name
     */
    public String token() {
        return token;
    }

    /**
     * Returns the policy of a name.
     *
     * @param token name in catalogue documents
     * @return the policy
     */
    public static RoutingPolicy of(String token) {
        for (RoutingPolicy candidate : values()) {
            if (candidate.token.equals(token)) {
                return candidate;
            }
        }
        throw new IllegalArgumentException("unknown policy: " + token);
    }

    /**
     * Chooses a server, without an additional cost for leaving the failure domain. Does not allocate memory.
     *
     * @param pool     servers of the service
     * @param excluded servers that are not chosen
     * @param random   source of randomness
     * @param now      current time, in nanoseconds
     * @return the server, or {@code null} if none accepts calls
     */
    public ServerLoad choose(ServerPool pool, ExcludedServers excluded, RandomGenerator random, long now) {
        return choose(pool, excluded, random, now, 0);
    }

    /**
     * Chooses a server, with an additional cost for leaving the failure domain. Does not allocate memory.
     *
     * @param pool            servers of the service
     * @param excluded        servers that are not chosen
     * @param random          source of randomness
     * @param now             current time, in nanoseconds
     * @param crossDomainCost cost of leaving the failure domain, in service times
     * @return the server, or {@code null} if none accepts calls
     */
    public ServerLoad choose(
            ServerPool pool, ExcludedServers excluded, RandomGenerator random, long now, double crossDomainCost) {
        if (pool.size() == 0) {
            return null;
        }
        int index = pick(pool, excluded, random, now, crossDomainCost);
        return index < 0 ? null : pool.get(index);
    }

    /**
     * Chooses the index of a server.
     *
     * @param pool            servers of the service, at least one
     * @param excluded        servers that are not chosen
     * @param random          source of randomness
     * @param now             current time, in nanoseconds
     * @param crossDomainCost cost of leaving the failure domain, in service times
     * @return the index, or a negative number if none accepts calls
     */
    abstract int pick(
            ServerPool pool, ExcludedServers excluded, RandomGenerator random, long now, double crossDomainCost);

    /**
     * Chooses the server of the least cost. In a large pool, random servers of the own failure domain and of the others
     * are compared: few of a sample of all would belong to the own one, and entries that compare neighbours in the same
     * order would choose alike.
     *
     * @param pool            servers of the service, at least one
     * @param excluded        servers that are not chosen
     * @param random          source of randomness
     * @param now             current time, in nanoseconds
     * @param crossDomainCost cost of leaving the failure domain, in service times
     * @return the index, or a negative number if no server is eligible
     */
    private static int pickByCost(
            ServerPool pool, ExcludedServers excluded, RandomGenerator random, long now, double crossDomainCost) {
        int near = pool.nearCount();
        int far = pool.size() - near;
        boolean compareAll = pool.size() <= MAX_COST_CANDIDATES;
        int nearCandidates = compareAll ? near : Math.min(near, NEAR_COST_CANDIDATES);
        int farCandidates = compareAll ? far : Math.min(far, FAR_COST_CANDIDATES);
        long minRoundTripNanos = pool.minRoundTripNanos();
        int best = -1;
        double bestCost = Double.MAX_VALUE;
        int nearStart = random.nextInt(near);
        int farStart = far == 0 ? 0 : random.nextInt(far);
        for (int i = 0; i < nearCandidates + farCandidates; i++) {
            int start = i < nearCandidates
                    ? candidate(nearStart, i, near, nearCandidates, random)
                    : near + candidate(farStart, i - nearCandidates, far, farCandidates, random);
            int index = pool.findHealthy(start, excluded, now);
            if (index < 0) {
                return -1;
            }
            double cost = pool.get(index).costNanos(now, minRoundTripNanos, crossDomainCost);
            if (cost < bestCost) {
                bestCost = cost;
                best = index;
            }
        }
        return best;
    }

    // Returns each index in turn if all are compared, and random ones otherwise.
    private static int candidate(int start, int number, int size, int candidates, RandomGenerator random) {
        return candidates == size ? (start + number) % size : random.nextInt(size);
    }

    /**
     * Chooses the next server in turn, or one of a few random servers if its estimated response time is much shorter.
     *
     * @param pool     servers of the service, at least one
     * @param excluded servers that are not chosen
     * @param random   source of randomness
     * @param now      current time, in nanoseconds
     * @return the index, or a negative number if no server is eligible
     */
    private static int pickByEstimate(ServerPool pool, ExcludedServers excluded, RandomGenerator random, long now) {
        int next = pool.findHealthy(pool.nextIndex(), excluded, now);
        if (next < 0 || pool.size() == 1) {
            return next;
        }
        int best = next;
        double bestEstimate = pool.get(next).estimatedNanos(now) / PREFERENCE_RATIO;
        for (int i = 0; i < RANDOM_CANDIDATES; i++) {
            int start = (next + 1 + random.nextInt(pool.size() - 1)) % pool.size();
            int index = pool.findHealthy(start, excluded, now);
            double estimate = pool.get(index).estimatedNanos(now);
            if (estimate < bestEstimate) {
                bestEstimate = estimate;
                best = index;
            }
        }
        return best;
    }
}
