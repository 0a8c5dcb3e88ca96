package io.mustardusher.frame;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** The other nodes, as far as they can be asked. */
@FunctionalInterface
public interface Peers {

    /**
     * Asks a node.
     *
     * @param address       its address for frames
     * @param kind          kind of the question
     * @param question      the question
     * @param timeoutMillis time allowed for the answer, in milliseconds
     * @param <A>           type of the answer
     * @return the answer; fails if none comes in time
     */
    <A> CompletableFuture<A> ask(InetSocketAddress address, FrameKind kind, Object question, long timeoutMillis);
}
