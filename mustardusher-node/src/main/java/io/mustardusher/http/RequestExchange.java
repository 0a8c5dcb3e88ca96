package io.mustardusher.http;

import java.util.concurrent.CompletableFuture;

import io.netty.util.concurrent.EventExecutor;

/** A request and its response as seen from the connection that carries them. */
public interface RequestExchange {

    /**
     * Returns a future for the early end of the exchange.
     *
     * @return completes when the sender of the request has disconnected, or has cancelled the request
     */
    CompletableFuture<Void> cancelled();

    /**
     * Returns a future for the end of the exchange.
     *
     * @return completes when the response has been sent, or never will be
     */
    CompletableFuture<Void> ended();

    /**
     * Returns whether the connection closes after the response to an earlier request, so that no response to this one
     * would reach its sender.
     *
     * @return {@code true} if it does
     */
    boolean isUnanswerable();

    /**
     * Closes the connection after the response. A connection that cannot hold back the requests behind this one stays
     * open if responses to earlier requests are outstanding.
     */
    void closeAfterResponse();

    /** Signals that the response is complete, so that only its transmission remains. */
    default void responseProduced() {
        // A connection that sends complete responses notices by itself.
    }

    /**
     * Returns the executor of the connection.
     *
     * @return the executor
     */
    EventExecutor executor();
}
