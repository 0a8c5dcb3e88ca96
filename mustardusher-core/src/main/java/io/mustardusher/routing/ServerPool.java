package io.mustardusher.routing;

import java.util.Collection;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** The backend servers of one service as one entry sees them; immutable but for the servers' loads. */
public final class ServerPool {

    /** A pool without servers. */
    public static final ServerPool EMPTY = new ServerPool(new ServerLoad[0]);

    /** Most servers that may be left out for failing, as a share. */
    private static final double MAX_EJECTED_SHARE = 0.5;

    private final ServerLoad[] servers;

    /** Turns taken so far; they start anywhere, so that entries do not move in step after a change. */
    private final AtomicInteger turns;

    /**
     * Creates a pool.
     *
     * @param servers the servers, not copied
     */
    private ServerPool(ServerLoad[] servers) {
        this.servers = servers;
        this.turns = new AtomicInteger(ThreadLocalRandom.current().nextInt());
    }

    /**
     * Creates a pool.
     *
     * @param servers the servers
     * @return the pool
     */
    public static ServerPool of(Collection<ServerLoad> servers) {
        return new ServerPool(servers.toArray(new ServerLoad[0]));
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
     * Tells whether there is a server that takes calls.
     *
     * @param exclusion servers to leave out
     * @return {@code true} if there is one besides those
     */
    public boolean hasServing(Exclusion exclusion) {
        for (ServerLoad server : servers) {
            if (server.isServing() && !exclusion.contains(server)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Takes a turn.
     *
     * @return an index that rises by one with each turn
     */
    int nextTurn() {
        return Math.floorMod(turns.getAndIncrement(), servers.length);
    }

    /**
     * Finds a server that takes calls.
     *
     * @param start     index at which the search starts
     * @param exclusion servers to leave out
     * @return its index, or a negative number
     */
    int firstServing(int start, Exclusion exclusion) {
        for (int i = 0; i < servers.length; i++) {
            int index = wrap(start + i);
            if (servers[index].isServing() && !exclusion.contains(servers[index])) {
                return index;
            }
        }
        return -1;
    }

    /**
     * Finds a server that takes calls and is neither ejected nor on trial. Where more servers fail than may be left
     * out, failing ones are taken too.
     *
     * @param start     index at which the search starts
     * @param exclusion servers to leave out
     * @param now       present time, in nanoseconds
     * @return its index, or a negative number
     */
    int firstHealthy(int start, Exclusion exclusion, long now) {
        int ejected = 0;
        for (int i = 0; i < servers.length; i++) {
            int index = wrap(start + i);
            ServerLoad server = servers[index];
            if (!server.isServing() || exclusion.contains(server)) {
                continue;
            }
            if (!server.ejection().isEjected(now) && !server.ejection().requiresTrial(now)) {
                return index;
            }
            if (++ejected > servers.length * MAX_EJECTED_SHARE) {
                return index;
            }
        }
        return -1;
    }

    /**
     * Finds a server whose ejection has ended and which has no call of this entry.
     *
     * @param start     index at which the search starts
     * @param exclusion servers to leave out
     * @param now       present time, in nanoseconds
     * @return its index, or a negative number
     */
    int findTrial(int start, Exclusion exclusion, long now) {
        for (int i = 0; i < servers.length; i++) {
            int index = wrap(start + i);
            ServerLoad server = servers[index];
            boolean idle = server.inFlight() == 0 && server.isServing();
            if (idle && server.ejection().requiresTrial(now) && !exclusion.contains(server)) {
                return index;
            }
        }
        return -1;
    }

    // Returns the shortest round trip to a server, in nanoseconds.
    long nearestNanos() {
        long nearest = Long.MAX_VALUE;
        for (ServerLoad server : servers) {
            nearest = Math.min(nearest, server.roundTripNanos());
        }
        return nearest;
    }

    /**
     * Brings an index into range.
     *
     * @param index the index, less than twice the size
     * @return the index within the pool
     */
    private int wrap(int index) {
        return index >= servers.length ? index - servers.length : index;
    }
}
