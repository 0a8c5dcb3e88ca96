package io.mustardusher.server;

import java.util.HashSet;
import java.util.Set;

/**
 * Identifiers of the requests that a connection has carried. A response names only the request that it belongs to, so
 * the responses to two runs of one request cannot be told apart on one connection.
 */
final class CarriedRequests {

    /** Bounds the memory of a connection to a few tens of kilobytes. */
    static final int CAPACITY = 256;

    private final Set<String> ids = new HashSet<>();

    /**
     * Adds a request, unless the capacity is exhausted.
     *
     * @param id identifier of the request
     */
    void add(String id) {
        if (!isFull()) {
            ids.add(id);
        }
    }

    /**
     * Returns whether a request has been carried.
     *
     * @param id identifier of the request
     * @return {@code true} if it has
     */
    boolean contains(String id) {
        return ids.contains(id);
    }

    /**
     * Returns whether further requests are not remembered.
     *
     * @return {@code true} if the capacity is exhausted
     */
    boolean isFull() {
        return ids.size() >= CAPACITY;
    }
}
