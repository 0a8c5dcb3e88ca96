package io.mustardusher.routing;

import java.util.random.RandomGenerator;

/**
 * Chooses the server of a call whose answer is expected to be large, from estimates that include the transfer of the
 * answer. As long as a server of the own failure domain can answer in time, the cost of leaving it follows the bytes of
 * the answer. If none can, but one of another domain can, that one is chosen; if no server can, the cost has the same
 * upper bound as for small answers.
 */
final class LargeAnswerChoice {

    /** Number of servers of the own failure domain that are compared. */
    private static final int MAX_NEAR_CANDIDATES = 16;

    /** Number of servers of other failure domains that are compared. */
    private static final int MAX_FAR_CANDIDATES = 8;

    private final ServerPool pool;
    private final ExcludedServers excluded;
    private final long now;
    private final double bytes;

    private LargeAnswerChoice(ServerPool pool, ExcludedServers excluded, long now, double bytes) {
        this.pool = pool;
        this.excluded = excluded;
        this.now = now;
        this.bytes = bytes;
    }

    /**
     * Chooses a server.
     *
     * @param pool         servers of the service, at least one
     * @param excluded     servers that are not chosen
     * @param random       source of randomness
     * @param now          current time, in nanoseconds
     * @param transferCost cost of sending the call to another failure domain
     * @param targetNanos  time by which an answer is desired, in nanoseconds
     * @return the server, or {@code null} if no server is healthy or one is due for a trial call, so that the policy
     *     of the service chooses
     */
    static ServerLoad choose(
            ServerPool pool,
            ExcludedServers excluded,
            RandomGenerator random,
            long now,
            TransferCost transferCost,
            long targetNanos) {
        if (pool.findTrialCandidate(0, excluded, now) >= 0) {
            return null;
        }
        LargeAnswerChoice choice = new LargeAnswerChoice(pool, excluded, now, transferCost.averageBytes());
        int nearCount = pool.nearCount();
        Candidate near = choice.best(0, nearCount, MAX_NEAR_CANDIDATES, random);
        Candidate far = choice.best(nearCount, pool.size() - nearCount, MAX_FAR_CANDIDATES, random);
        if (far.server == null) {
            return near.server;
        }
        if (near.server == null) {
            return far.server;
        }
        long remainingNanos = targetNanos - now;
        boolean nearInTime = near.nanos <= remainingNanos;
        if (!nearInTime && far.nanos <= remainingNanos) {
            return far.server;
        }
        double crossDomainCost = nearInTime ? transferCost.costOfBytes() : transferCost.cost();
        return far.nanos + far.server.serviceNanos() * crossDomainCost < near.nanos ? far.server : near.server;
    }

    // Compares servers from a random one on, so that entries do not choose alike.
    private Candidate best(int from, int count, int maxCandidates, RandomGenerator random) {
        Candidate best = new Candidate(null, Double.MAX_VALUE);
        int start = count == 0 ? 0 : random.nextInt(count);
        int compared = 0;
        for (int i = 0; i < count && compared < maxCandidates; i++) {
            ServerLoad server = pool.get(from + (start + i) % count);
            if (!server.isServing() || excluded.contains(server) || !isHealthy(server)) {
                continue;
            }
            compared++;
            double responseNanos = server.estimatedNanosBeyondSlowSpell(now);
            double nanos = server.transferRate().arrivalNanos(responseNanos, bytes, now);
            if (nanos < best.nanos) {
                best = new Candidate(server, nanos);
            }
        }
        return best;
    }

    private boolean isHealthy(ServerLoad server) {
        return !server.ejection().isEjected(now) && !server.ejection().requiresTrial(now);
    }

    private record Candidate(ServerLoad server, double nanos) {}
}
