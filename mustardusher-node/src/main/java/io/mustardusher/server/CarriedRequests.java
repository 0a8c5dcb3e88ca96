package io.mustardusher.server;

import java.util.HashSet;
import java.util.Set;

/**
 * Identifiers of the requests that a connection has carried. A response names the request that it belongs to, but not
 * the run of it, so that a connection must not carry the same request twice.
 */
final class CarriedRequests {

    /** Number of requests after which a connection is replaced, which bounds its memory. */
    static final int CAPACITY = 256;

    private final Set<String> ids = new HashSet<>();

    /**
     * Adds a request.
     *
     * @param id identifier of the request
     */
    void add(String id) {
        ids.add(id);
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
     * Returns whether the connection should carry no further requests.
     *
     * @return {@code true} if the capacity is exhausted
     */
    boolean isFull() {
        return ids.size() >= CAPACITY;
    }
}
