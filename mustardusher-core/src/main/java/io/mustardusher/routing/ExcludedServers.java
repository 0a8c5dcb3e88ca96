package io.mustardusher.routing;

/**
 * Servers that are not chosen for a call because it was already sent to them. Servers beyond a fixed capacity are not
 * recorded and may be chosen again.
 */
public final class ExcludedServers {

    private static final int CAPACITY = 8;

    private final ServerLoad[] servers = new ServerLoad[CAPACITY];

    private int size;

    /**
     * Excludes a server, unless the capacity is exhausted.
     *
     * @param server the server
     */
    public void add(ServerLoad server) {
        if (size < CAPACITY) {
            servers[size++] = server;
        }
    }

    /**
     * Makes an excluded server eligible again.
     *
     * @param server the server
     */
    public void remove(ServerLoad server) {
        for (int i = 0; i < size; i++) {
            if (servers[i] == server) {
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
            if (servers[i] == server) {
                return true;
            }
        }
        return false;
    }
}
