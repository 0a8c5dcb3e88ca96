package io.mustardusher.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.mustardusher.result.ResultCode;

/**
 * Selects the servers for the attempts of one call. A gate may return a call in favour of a faster server only while
 * another server remains to be tried. Not thread-safe.
 */
public final class ServerSelection {

    /** Time of a call without a latency target. */
    public static final long NO_TARGET = Long.MAX_VALUE;

    /**
     * Ratio of estimated response times up to which the idle server beside this node is preferred to the chosen one. A
     * cold server takes twice as long as others.
     */
    private static final double MAX_OWN_ESTIMATE_RATIO = 1.5;

    /**
     * Cost of leaving the failure domain up to which a call is sent to another one rather than wait for a slot, in
     * service times; gates return calls that would wait for longer than this.
     */
    private static final double MAX_COST_TO_AVOID_WAIT = 0.5;

    private final RoutingPolicy policy;
    private final TransferCost transferCost;
    private final long targetNanos;

    /** Servers that are not to be chosen again. */
    private final ExcludedServers tried = new ExcludedServers();

    /** Servers whose gates returned the call because another server may answer sooner. */
    private final List<ServerLoad> slowServers = new ArrayList<>(2);

    /** Whether gates must no longer return the call in favour of another server. */
    private boolean mustAccept;

    /** Number of the current attempt, from 1. */
    private int attempt;

    /**
     * Creates a selection for a call that has not been sent.
     *
     * @param policy       policy of the service
     * @param transferCost cost of sending the call to another failure domain
     * @param targetNanos  time by which an answer is desired, in nanoseconds; {@link #NO_TARGET} if there is none
     */
    public ServerSelection(RoutingPolicy policy, TransferCost transferCost, long targetNanos) {
        this.policy = policy;
        this.transferCost = transferCost;
        this.targetNanos = targetNanos;
    }

    /**
     * Chooses the server of the next attempt.
     *
     * @param pool   servers of the service
     * @param random source of randomness
     * @param now    current time, in nanoseconds
     * @return the choice, or empty if no server is left
     */
    public Optional<Choice> next(ServerPool pool, RandomGenerator random, long now) {
        attempt++;
        if (!pool.hasServing(tried) && !slowServers.isEmpty()) {
            // Every remaining server is currently slow, and one of them has to accept the call.
            mustAccept = true;
            slowServers.forEach(tried::remove);
            slowServers.clear();
        }
        ServerLoad server = preferOwn(choose(pool, random, now), pool, now);
        if (server == null) {
            return Optional.empty();
        }
        tried.add(server);
        return Optional.of(new Choice(server, mobility(server, pool, now)));
    }

    // A wait for a slot costs less than bytes between failure domains, unless the call has few.
    private Mobility mobility(ServerLoad server, ServerPool pool, long now) {
        boolean fixed = targetNanos == NO_TARGET || mustAccept || !transferCost.mayReroute(attempt);
        if (fixed || !pool.hasIdle(tried, now)) {
            return Mobility.FIXED;
        }
        boolean mayLeaveDomain = transferCost.cost() <= MAX_COST_TO_AVOID_WAIT;
        return mayLeaveDomain || pool.hasIdleWithin(server.roundTripNanos(), tried, now)
                ? Mobility.IF_WAITING
                : Mobility.IF_LATE;
    }

    private ServerLoad preferOwn(ServerLoad chosen, ServerPool pool, long now) {
        if (chosen == null || policy != RoutingPolicy.LEAST_COST) {
            return chosen;
        }
        ServerLoad own = pool.idleOwnServer(tried, now);
        boolean comparable =
                own != null && own.estimatedNanos(now) <= MAX_OWN_ESTIMATE_RATIO * chosen.estimatedNanos(now);
        return comparable ? own : chosen;
    }

    private ServerLoad choose(ServerPool pool, RandomGenerator random, long now) {
        boolean byTransfer = policy == RoutingPolicy.LEAST_COST
                && targetNanos != NO_TARGET
                && transferCost.largeBytes() > 0
                && pool.size() > 0;
        ServerLoad chosen =
                byTransfer ? LargeAnswerChoice.choose(pool, tried, random, now, transferCost, targetNanos) : null;
        return chosen == null ? policy.choose(pool, tried, random, now, transferCost.cost()) : chosen;
    }

    /**
     * Records that the gate of a server returned the call in favour of a faster server.
     *
     * @param server the server
     */
    public void recordSlow(ServerLoad server) {
        slowServers.add(server);
    }

    /**
     * Returns whether another server may accept a call that a gate rejected. After a rejection for lack of room or time
     * it is only worth asking one that is expected to have it, because each attempt adds to the work of busy nodes.
     *
     * @param code reason of the rejection
     * @param pool servers of the service
     * @param now  current time, in nanoseconds
     * @return {@code true} if the call should be sent to another gate
     */
    public boolean mayBeAcceptedElsewhere(ResultCode code, ServerPool pool, long now) {
        return switch (code) {
            case OVERLOADED, LIMIT_REACHED -> pool.hasRoom(tried, now);
            case DEADLINE_UNREACHABLE -> pool.hasIdle(tried, now);
            default -> true;
        };
    }

    /**
     * Returns the number of the current attempt.
     *
     * @return number of attempts so far
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns the servers that were tried and are not chosen again.
     *
     * @return the servers
     */
    public ExcludedServers tried() {
        return tried;
    }

    /**
     * Excludes the servers that another attempt of the same call has tried.
     *
     * @param other the servers
     */
    public void exclude(ExcludedServers other) {
        tried.addAll(other);
    }

    /**
     * A server chosen for an attempt.
     *
     * @param server   the server
     * @param mobility when its gate may return the call in favour of another server
     */
    public record Choice(ServerLoad server, Mobility mobility) {}
}
