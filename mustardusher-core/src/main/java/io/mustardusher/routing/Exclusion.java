package io.mustardusher.routing;

/** The servers that one call has tried. */
public final class Exclusion {

    /** Most servers that are remembered. */
    private static final int CAPACITY = 8;

    /** Servers tried. */
    private final ServerLoad[] tried = new ServerLoad[CAPACITY];

    /** Number of servers tried. */
    private int size;

    /**
     * Adds a server.
     *
     * @param server the server
     */
    public void add(ServerLoad server) {
        if (size < CAPACITY) {
            tried[size++] = server;
        }
    }

    /**
     * Lets a server be tried again.
     *
     * @param server the server
     */
    public void remove(ServerLoad server) {
        for (int i = 0; i < size; i++) {
            if (tried[i] == server) {
                tried[i] = tried[--size];
                return;
            }
        }
    }

    /**
     * Adds the servers that another call has tried.
     *
     * @param other servers that the other call has tried
     */
    public void addAll(Exclusion other) {
        for (int i = 0; i < other.size; i++) {
            add(other.tried[i]);
        }
    }

    /**
     * Tells whether a server was tried.
     *
     * @param server the server
     * @return {@code true} if it was
     */
    public boolean contains(ServerLoad server) {
        for (int i = 0; i < size; i++) {
            if (tried[i] == server) {
                return true;
            }
        }
        return false;
    }
}
