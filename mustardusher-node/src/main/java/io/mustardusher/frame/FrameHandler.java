package io.mustardusher.frame;

import java.util.concurrent.CompletableFuture;

/**
 * Handles the requests of one kind.
 *
 * @param <Q> type of the request
 * @param <A> type of the reply
 */
@FunctionalInterface
public interface FrameHandler<Q, A> {

    /**
     * Handles a request.
     *
     * @param request the request
     * @return completes with the reply; if it fails or completes with {@code null}, no reply is sent
     */
    CompletableFuture<A> handle(Q request);
}
