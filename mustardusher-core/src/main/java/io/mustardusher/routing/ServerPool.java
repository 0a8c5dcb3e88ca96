package io.mustardusher.routing;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * The backend servers of one service as seen by one entry. The set of servers is immutable; their loads and the
 * round-robin position change.
 */
public final class ServerPool {

    /** Pool without servers. */
    public static final ServerPool EMPTY = new ServerPool(new ServerLoad[0]);

    /** Fraction of the servers that may be skipped because they are ejected or on trial. */
    private static final double MAX_EJECTED_FRACTION = 0.5;

    /** The servers, the nearest ones first. */
    private final ServerLoad[] servers;

    /** Number of servers that are as near as the nearest one. */
    private final int nearCount;

    /** The server beside the node of this entry; {@code null} if it is of another service. */
    private final ServerLoad own;

    /** Starts at a random value, so that entries do not choose the same servers in step after a change. */
    private final AtomicInteger roundRobinCounter;

    /**
     * Creates a pool that is backed by an array.
     *
     * @param servers the servers
     */
    private ServerPool(ServerLoad[] servers) {
        this.servers = servers;
        this.nearCount = countNearest(servers);
        this.own = Arrays.stream(servers).filter(ServerLoad::isOwn).findFirst().orElse(null);
        this.roundRobinCounter = new AtomicInteger(ThreadLocalRandom.current().nextInt());
    }

    /**
     * Creates a pool.
     *
     * @param servers the servers
     * @return the pool
     */
    public static ServerPool of(Collection<ServerLoad> servers) {
        ServerLoad[] sorted = servers.toArray(new ServerLoad[0]);
        Arrays.sort(sorted, Comparator.comparingLong(ServerLoad::roundTripNanos));
        return new ServerPool(sorted);
    }

    /**
     * Returns the number of servers.
     *
     * @return the number
     */
    public int size() {
        return servers.length;
    }

    /**
     * Returns a server.
     *
     * @param index its index
     * @return the server
     */
    public ServerLoad get(int index) {
        return servers[index];
    }

    /**
     * Returns whether any server accepts calls.
     *
     * @param excluded servers to ignore
     * @return {@code true} if a server that is not excluded accepts calls
     */
    public boolean hasServing(ExcludedServers excluded) {
        return hasServing(excluded, server -> true);
    }

    /**
     * Returns whether any server is expected to start a new call at once.
     *
     * @param excluded servers to ignore
     * @param now      current time, in nanoseconds
     * @return {@code true} if a server that is not excluded accepts calls, has a free slot and is not known to be slow
     */
    public boolean hasIdle(ExcludedServers excluded, long now) {
        return hasServing(excluded, server -> server.startsCallsAtOnce(now));
    }

    /**
     * Returns whether any server that is not farther away than a given time is expected to start a new call at once.
     *
     * @param roundTripNanos longest round-trip time, in nanoseconds
     * @param excluded       servers to ignore
     * @param now            current time, in nanoseconds
     * @return {@code true} if a server that is not excluded accepts calls, has a free slot and is not known to be slow
     */
    boolean hasIdleWithin(long roundTripNanos, ExcludedServers excluded, long now) {
        return hasServing(
                excluded, server -> server.roundTripNanos() <= roundTripNanos && server.startsCallsAtOnce(now));
    }

    /**
     * Returns whether any server is expected to have room for a new call.
     *
     * @param excluded servers to ignore
     * @param now      current time, in nanoseconds
     * @return {@code true} if a server that is not excluded accepts calls and has at most one queued call per slot
     */
    public boolean hasRoom(ExcludedServers excluded, long now) {
        return hasServing(excluded, server -> server.hasRoom(now));
    }

    private boolean hasServing(ExcludedServers excluded, Predicate<ServerLoad> condition) {
        for (ServerLoad server : servers) {
            if (server.isServing() && !excluded.contains(server) && condition.test(server)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the server beside the node of this entry if it can start a call at once. Its load is exact, whereas those
     * of other servers are only known from reports, and a call to it passes one node instead of two.
     *
     * @param excluded servers to skip
     * @param now      current time, in nanoseconds
     * @return the server, or {@code null} if this node has none of the service or it is busy, slow or not healthy
     */
    ServerLoad idleOwnServer(ExcludedServers excluded, long now) {
        if (own == null || !own.isServing() || excluded.contains(own)) {
            return null;
        }
        if (own.ejection().isEjected(now) || own.ejection().requiresTrial(now)) {
            return null;
        }
        own.refresh(now);
        return own.startsCallsAtOnce(now) ? own : null;
    }

    /**
     * Returns the next index in round-robin order.
     *
     * @return the index
     */
    int nextIndex() {
        return Math.floorMod(roundRobinCounter.getAndIncrement(), servers.length);
    }

    /**
     * Finds a server that accepts calls.
     *
     * @param start    index at which the search starts
     * @param excluded servers to skip
     * @return its index, or a negative number if there is none
     */
    int findServing(int start, ExcludedServers excluded) {
        for (int i = 0; i < servers.length; i++) {
            int index = wrap(start + i);
            if (servers[index].isServing() && !excluded.contains(servers[index])) {
                return index;
            }
        }
        return -1;
    }

    /**
     * Finds a server that accepts calls and is neither ejected nor on trial. If more than half of the servers are
     * ejected or on trial, such a server may be returned as well.
     *
     * @param start    index at which the search starts
     * @param excluded servers to skip
     * @param now      current time, in nanoseconds
     * @return its index, or a negative number if there is none
     */
    int findHealthy(int start, ExcludedServers excluded, long now) {
        int skipped = 0;
        for (int i = 0; i < servers.length; i++) {
            int index = wrap(start + i);
            ServerLoad server = servers[index];
            if (!server.isServing() || excluded.contains(server)) {
                continue;
            }
            if (!server.ejection().isEjected(now) && !server.ejection().requiresTrial(now)) {
                return index;
            }
            if (++skipped > servers.length * MAX_EJECTED_FRACTION) {
                return index;
            }
        }
        return -1;
    }

    /**
     * Finds a server that is due for a trial call after an ejection and has no call of this entry in flight.
     *
     * @param start    index at which the search starts
     * @param excluded servers to skip
     * @param now      current time, in nanoseconds
     * @return its index, or a negative number if there is none
     */
    int findTrialCandidate(int start, ExcludedServers excluded, long now) {
        for (int i = 0; i < servers.length; i++) {
            int index = wrap(start + i);
            ServerLoad server = servers[index];
            boolean idle = server.inFlight() == 0 && server.isServing();
            if (idle && server.ejection().requiresTrial(now) && !excluded.contains(server)) {
                return index;
            }
        }
        return -1;
    }

    /**
     * Returns the shortest round-trip time to any of the servers.
     *
     * @return time in nanoseconds
     */
    long minRoundTripNanos() {
        return servers.length == 0 ? Long.MAX_VALUE : servers[0].roundTripNanos();
    }

    /**
     * Returns the number of servers with the shortest round-trip time. They have the lowest indexes.
     *
     * @return the number
     */
    int nearCount() {
        return nearCount;
    }

    private static int countNearest(ServerLoad... sorted) {
        int count = 0;
        while (count < sorted.length && sorted[count].roundTripNanos() == sorted[0].roundTripNanos()) {
            count++;
        }
        return count;
    }

    /**
     * Wraps an index around the end of the pool.
     *
     * @param index the index, less than twice the number of servers
     * @return the index of a server
     */
    private int wrap(int index) {
        return index >= servers.length ? index - servers.length : index;
    }
}
