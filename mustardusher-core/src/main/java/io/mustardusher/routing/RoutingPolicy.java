package io.mustardusher.routing;

import java.util.random.RandomGenerator;

/** Rule by which an entry chooses one of the backend servers of a service. */
public enum RoutingPolicy {
    /** Each server in turn. */
    ROUND_ROBIN("round-robin") {
        @Override
        int pick(ServerPool pool, Exclusion exclusion, RandomGenerator random, long now, double distanceCost) {
            return pool.firstServing(pool.nextTurn(), exclusion);
        }
    },

    /** Any server. */
    RANDOM("random") {
        @Override
        int pick(ServerPool pool, Exclusion exclusion, RandomGenerator random, long now, double distanceCost) {
            return pool.firstServing(random.nextInt(pool.size()), exclusion);
        }
    },

    /** Of two random servers the one with fewer calls of this entry in flight. */
    LEAST_IN_FLIGHT_OF_TWO("least-in-flight-of-two") {
        @Override
        int pick(ServerPool pool, Exclusion exclusion, RandomGenerator random, long now, double distanceCost) {
            int first = pool.firstServing(random.nextInt(pool.size()), exclusion);
            if (first < 0 || pool.size() == 1) {
                return first;
            }
            int second = pool.firstServing((first + 1 + random.nextInt(pool.size() - 1)) % pool.size(), exclusion);
            return pool.get(second).inFlight() < pool.get(first).inFlight() ? second : first;
        }
    },

    /**
     * Each server in turn, unless another of a few random ones has a much shorter estimated time to an answer; failing
     * servers are left out.
     */
    MUSTARDUSHER("mustardusher") {
        @Override
        int pick(ServerPool pool, Exclusion exclusion, RandomGenerator random, long now, double distanceCost) {
            int trial = pool.findTrial(random.nextInt(pool.size()), exclusion, now);
            if (trial >= 0) {
                return trial;
            }
            int best = pickByScore(pool, exclusion, random, now);
            return best >= 0 ? best : pool.firstServing(random.nextInt(pool.size()), exclusion);
        }
    },

    /** The server of the least cost, where leaving the failure domain costs too; for pools of a few servers. */
    LEAST_COST("least-cost") {
        @Override
        int pick(ServerPool pool, Exclusion exclusion, RandomGenerator random, long now, double distanceCost) {
            int trial = pool.findTrial(random.nextInt(pool.size()), exclusion, now);
            if (trial >= 0) {
                return trial;
            }
            int best = pickByCost(pool, exclusion, random, now, distanceCost);
            return best >= 0 ? best : pool.firstServing(random.nextInt(pool.size()), exclusion);
        }
    };

    /** Servers with which the one whose turn it is is compared. */
    private static final int CHALLENGERS = 2;

    /** Ratio of estimates above which the turn is passed over; smaller differences are noise in stale reports. */
    private static final double TOLERANCE = 1.25;

    /** Servers compared for a choice by cost. */
    private static final int COMPARED = 12;

    /** Name in documents. */
    private final String token;

    /**
     * Creates a policy.
     *
     * @param token name in documents
     */
    RoutingPolicy(String token) {
        this.token = token;
    }

    /**
     * Returns the name in documents.
     *
     * @return the token
     */
    public String token() {
        return token;
    }

    /**
     * Finds the policy of a name.
     *
     * @param token name in documents
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
     * Chooses a server. Allocates nothing.
     *
     * @param pool      servers of the service
     * @param exclusion servers that were tried
     * @param random    source of random choice
     * @param now       present time, in nanoseconds
     * @return the server, or {@code null} if none takes calls
     */
    public ServerLoad choose(ServerPool pool, Exclusion exclusion, RandomGenerator random, long now) {
        return choose(pool, exclusion, random, now, 0);
    }

    /**
     * Chooses a server for a call that is dear to move.
     *
     * @param pool         servers of the service
     * @param exclusion    servers that were tried
     * @param random       source of random choice
     * @param now          present time, in nanoseconds
     * @param distanceCost cost of leaving the failure domain, in service times
     * @return the server, or {@code null} if none takes calls
     */
    public ServerLoad choose(
            ServerPool pool, Exclusion exclusion, RandomGenerator random, long now, double distanceCost) {
        if (pool.size() == 0) {
            return null;
        }
        int index = pick(pool, exclusion, random, now, distanceCost);
        return index < 0 ? null : pool.get(index);
    }

    /**
     * Chooses the index of a server.
     *
     * @param pool      servers of the service, at least one
     * @param exclusion servers that were tried
     * @param random    source of random choice
     * @param now       present time, in nanoseconds
     * @param distanceCost cost of leaving the failure domain, in service times
     * @return the index, or a negative number if none takes calls
     */
    abstract int pick(ServerPool pool, Exclusion exclusion, RandomGenerator random, long now, double distanceCost);

    /**
     * Chooses the server of the least cost among some, starting anywhere.
     *
     * @param pool      servers of the service, at least one
     * @param exclusion servers that were tried
     * @param random    source of random choice
     * @param now       present time, in nanoseconds
     * @param distanceCost cost of leaving the failure domain, in service times
     * @return the index, or a negative number if every server is left out
     */
    private static int pickByCost(
            ServerPool pool, Exclusion exclusion, RandomGenerator random, long now, double distanceCost) {
        long nearest = pool.nearestNanos();
        int best = -1;
        double bestCost = Double.MAX_VALUE;
        int start = random.nextInt(pool.size());
        for (int i = 0; i < Math.min(pool.size(), COMPARED); i++) {
            int index = pool.firstHealthy((start + i) % pool.size(), exclusion, now);
            if (index < 0) {
                return -1;
            }
            double cost = pool.get(index).cost(now, nearest, distanceCost);
            if (cost < bestCost) {
                bestCost = cost;
                best = index;
            }
        }
        return best;
    }

    /**
     * Chooses the server whose turn it is, or a challenger that is much better.
     *
     * @param pool      servers of the service, at least one
     * @param exclusion servers that were tried
     * @param random    source of random choice
     * @param now       present time, in nanoseconds
     * @return the index, or a negative number if every server is left out
     */
    private static int pickByScore(ServerPool pool, Exclusion exclusion, RandomGenerator random, long now) {
        int turn = pool.firstHealthy(pool.nextTurn(), exclusion, now);
        if (turn < 0 || pool.size() == 1) {
            return turn;
        }
        int best = turn;
        double bestScore = pool.get(turn).score(now) / TOLERANCE;
        for (int i = 0; i < CHALLENGERS; i++) {
            int other = (turn + 1 + random.nextInt(pool.size() - 1)) % pool.size();
            int index = pool.firstHealthy(other, exclusion, now);
            double score = pool.get(index).score(now);
            if (score < bestScore) {
                bestScore = score;
                best = index;
            }
        }
        return best;
    }
}
