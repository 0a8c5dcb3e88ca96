package io.mustardusher.frame;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Sends requests to other nodes. */
@FunctionalInterface
public interface Peers {

    /**
     * Sends a request to a node.
     *
     * @param address       frame address of the node
     * @param kind          kind of the request
     * @param message       the request
     * @param timeoutMillis time limit for the reply, in milliseconds
     * @param <A>           type of the reply
     * @return completes with the reply, or fails if none arrives within the time limit
     */
    <A> CompletableFuture<A> request(InetSocketAddress address, FrameKind kind, Object message, long timeoutMillis);

    /** Counts a reply with an answer whose headers are malformed. */
    default void onMalformedAnswer() {
        // Senders without metrics have no use for it.
    }
}
