package io.mustardusher.claim;

import java.util.concurrent.CompletableFuture;

import io.mustardusher.generated.WitnessRequest;
import io.mustardusher.result.ResultCode;

/**
 * How a node proceeds with an incoming call that has an idempotency key.
 *
 * @param action  what to do with the call
 * @param code    reason for a rejection, otherwise {@code null}
 * @param attempt number of the claim, unique at its home; 0 if no claim was made
 * @param keeper  the witness to ask, or the home to which the call belongs; {@code null} for other actions
 * @param request request to send to the witness, otherwise {@code null}
 * @param result  future result of the call, completed by the ledger; {@code null} if the call is rejected or belongs to
 *                another home
 * @param <A>     type of answers
 */
public record ClaimDecision<A>(
        Action action,
        ResultCode code,
        long attempt,
        Keeper keeper,
        WitnessRequest request,
        CompletableFuture<KeyedResult<A>> result) {

    /**
     * Creates a decision to reject the call.
     *
     * @param code reason for the rejection
     * @param <A>  type of answers
     * @return the decision
     */
    static <A> ClaimDecision<A> reject(ResultCode code) {
        return new ClaimDecision<>(Action.REJECT, code, 0, null, null, null);
    }

    /**
     * Creates a decision not to handle the call because another keeper is the home of its key.
     *
     * @param home the home
     * @param <A>  type of answers
     * @return the decision
     */
    static <A> ClaimDecision<A> otherHome(Keeper home) {
        return new ClaimDecision<>(Action.OTHER_HOME, null, 0, home, null, null);
    }

    /**
     * Creates a decision to wait for the result of an earlier call with the same key.
     *
     * @param result result of the earlier call
     * @param <A>    type of answers
     * @return the decision
     */
    static <A> ClaimDecision<A> join(CompletableFuture<KeyedResult<A>> result) {
        return new ClaimDecision<>(Action.JOIN, null, 0, null, null, result);
    }

    /**
     * Creates a decision to have the witness record the claim.
     *
     * @param witness the witness
     * @param request request to send to the witness
     * @param result  result of the call, completed by the ledger
     * @param <A>     type of answers
     * @return the decision
     */
    static <A> ClaimDecision<A> askWitness(
            Keeper witness, WitnessRequest request, CompletableFuture<KeyedResult<A>> result) {
        return new ClaimDecision<>(Action.ASK_WITNESS, null, request.getAttempt(), witness, request, result);
    }

    /** What to do with the call. */
    public enum Action {
        /** Send the request to the witness, and dispatch the call only after the witness has recorded the claim. */
        ASK_WITNESS,

        /** Wait for the result of an earlier call with the same key. */
        JOIN,

        /** Reject the call. */
        REJECT,

        /** Do not handle the call: another keeper is the home of its key. */
        OTHER_HOME
    }
}
