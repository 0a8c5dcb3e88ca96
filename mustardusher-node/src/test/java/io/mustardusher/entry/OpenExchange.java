package io.mustardusher.entry;

import java.util.concurrent.CompletableFuture;

import io.mustardusher.http.RequestExchange;
import io.netty.util.concurrent.EventExecutor;

/**
 * Exchange of a request whose connection stays open and does not drain.
 *
 * @param executor executor of the connection
 */
record OpenExchange(EventExecutor executor) implements RequestExchange {

    @Override
    public CompletableFuture<Void> cancelled() {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> ended() {
        return new CompletableFuture<>();
    }

    @Override
    public boolean isUnanswerable() {
        return false;
    }

    @Override
    public void closeAfterResponse() {
        throw new AssertionError("nothing drains");
    }
}
