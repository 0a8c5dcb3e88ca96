package io.mustardusher.routing;

import java.util.Arrays;

/**
 * Servers that are not chosen for a call because it was already sent to them. They are identified by their nodes, since
 * the load of a server that serves again is recorded anew.
 */
public final class ExcludedServers {

    private static final int INITIAL_CAPACITY = 4;

    private ServerLoad[] servers = new ServerLoad[INITIAL_CAPACITY];

    private int size;

    /**
     * Excludes a server.
     *
     * @param server the server
     */
    public void add(ServerLoad server) {
        if (size == servers.length) {
            servers = Arrays.copyOf(servers, 2 * size);
        }
        servers[size++] = server;
    }

    /**
     * Makes an excluded server eligible again.
     *
     * @param server the server
     */
    public void remove(ServerLoad server) {
        for (int i = 0; i < size; i++) {
            if (isSame(servers[i], server)) {
                servers[i] = servers[--size];
                return;
            }
        }
    }

    /**
     * Excludes further servers.
     *
     * @param other servers to exclude
     */
    public void addAll(ExcludedServers other) {
        for (int i = 0; i < other.size; i++) {
            add(other.servers[i]);
        }
    }

    /**
     * Returns whether a server is excluded.
     *
     * @param server the server
     * @return {@code true} if it is excluded
     */
    public boolean contains(ServerLoad server) {
        for (int i = 0; i < size; i++) {
            if (isSame(servers[i], server)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isSame(ServerLoad one, ServerLoad other) {
        return one == other || one.node().equals(other.node());
    }
}
