package io.mustardusher.frame;

import java.util.concurrent.CompletableFuture;

/**
 * Answers the questions of one kind.
 *
 * @param <Q> type of the question
 * @param <A> type of the answer
 */
@FunctionalInterface
public interface FrameHandler<Q, A> {

    /**
     * Answers a question.
     *
     * @param question the question
     * @return the answer; a failure leaves the question unanswered
     */
    CompletableFuture<A> answer(Q question);
}
