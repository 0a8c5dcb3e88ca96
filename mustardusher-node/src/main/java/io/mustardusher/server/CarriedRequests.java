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

    /** Hashes, because identifiers may be long. A request with the same hash as another takes another connection. */
    private final Set<Integer> hashes = new HashSet<>();

    /**
     * Adds a request.
     *
     * @param id identifier of the request
     */
    void add(String id) {
        hashes.add(id.hashCode());
    }

    /**
     * Returns whether a request may have been carried.
     *
     * @param id identifier of the request
     * @return {@code true} unless it certainly has not
     */
    boolean contains(String id) {
        return hashes.contains(id.hashCode());
    }

    /**
     * Returns whether the connection should carry no further requests.
     *
     * @return {@code true} if the capacity is exhausted
     */
    boolean isFull() {
        return hashes.size() >= CAPACITY;
    }
}
