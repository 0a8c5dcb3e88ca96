package io.mustardusher.claim;

import java.util.concurrent.CompletableFuture;

import io.mustardusher.generated.WitnessRequest;
import io.mustardusher.result.ResultCode;

/**
 * How a home starts on a call with a key.
 *
 * @param step    what to do
 * @param code    code of a refusal, otherwise {@code null}
 * @param attempt number of the claim
 * @param keeper  whom to ask: the witness or the home; {@code null} if neither is asked
 * @param request question for the witness, otherwise {@code null}
 * @param answer  answer of the call to wait for, otherwise {@code null}
 * @param <A>     type of answers
 */
public record Begin<A>(
        Step step,
        ResultCode code,
        long attempt,
        Keeper keeper,
        WitnessRequest request,
        CompletableFuture<KeyedAnswer<A>> answer) {

    /**
     * Refuses the call.
     *
     * @param code why
     * @param <A>  type of answers
     * @return the start
     */
    static <A> Begin<A> refuse(ResultCode code) {
        return new Begin<>(Step.REFUSE, code, 0, null, null, null);
    }

    /**
     * Sends the call to its home.
     *
     * @param home the home
     * @param <A>  type of answers
     * @return the start
     */
    static <A> Begin<A> elsewhere(Keeper home) {
        return new Begin<>(Step.ELSEWHERE, null, 0, home, null, null);
    }

    /**
     * Waits for the answer of an earlier send.
     *
     * @param answer the answer
     * @param <A>    type of answers
     * @return the start
     */
    static <A> Begin<A> join(CompletableFuture<KeyedAnswer<A>> answer) {
        return new Begin<>(Step.JOIN, null, 0, null, null, answer);
    }

    /**
     * Asks the witness.
     *
     * @param witness the witness
     * @param request the question
     * @param answer  answer of the call, completed by the ledger
     * @param <A>     type of answers
     * @return the start
     */
    static <A> Begin<A> ask(Keeper witness, WitnessRequest request, CompletableFuture<KeyedAnswer<A>> answer) {
        return new Begin<>(Step.ASK_WITNESS, null, request.getAttempt(), witness, request, answer);
    }

    /** What to do. */
    public enum Step {
        /** Ask the witness, and dispatch only once it has recorded the claim. */
        ASK_WITNESS,

        /** Wait for the answer of an earlier send. */
        JOIN,

        /** Refuse with the code. */
        REFUSE,

        /** Another node is the home. */
        ELSEWHERE
    }
}
