package io.mustardusher.keys;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpResponse;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Problem;
import io.mustardusher.claim.ClaimDecision;
import io.mustardusher.claim.DispatchDecision;
import io.mustardusher.claim.IdempotencyKey;
import io.mustardusher.claim.KeyLedger;
import io.mustardusher.claim.KeyedResult;
import io.mustardusher.result.ResultCode;

/** Runs calls for whose idempotency keys this node is the home. */
public final class KeyedCalls {

    /** This node as a keeper, with its claims. */
    private final LocalKeeper keeper;

    /**
     * Creates a handler of calls with keys.
     *
     * @param keeper this node as a keeper
     */
    public KeyedCalls(LocalKeeper keeper) {
        this.keeper = keeper;
    }

    /**
     * Runs a call at most once for its key. Later calls with the same key get the result of the first one.
     *
     * @param call        the call
     * @param key         its key
     * @param requestHash hash over method, path and body
     * @param dispatch    sends the call to a backend server, at most once
     * @return the answer
     */
    public CompletableFuture<HttpResponse> handle(
            Call call, IdempotencyKey key, long requestHash, Supplier<HttpResponse> dispatch) {
        Optional<KeyLedger<AggregatedHttpResponse>> ledger =
                keeper.ledger(call.service().value());
        if (ledger.isEmpty()) {
            return CompletableFuture.completedFuture(
                    Problem.response(ResultCode.KEEPER_UNAVAILABLE, "this node does not keep keys of the service"));
        }
        ClaimDecision<AggregatedHttpResponse> claim = ledger.get().claim(key, requestHash);
        return switch (claim.action()) {
            case REJECT -> CompletableFuture.completedFuture(Problem.response(claim.code(), "refused by the home"));
            case OTHER_HOME -> CompletableFuture.completedFuture(
                    Problem.response(ResultCode.KEEPER_UNAVAILABLE, "another node is the home"));
            case JOIN -> claim.result().thenApply(KeyedCalls::toResponse);
            case ASK_WITNESS -> askWitness(ledger.get(), key, claim, dispatch);
        };
    }

    /**
     * Requests the witness to record a claim, and dispatches the call after it has done so.
     *
     * @param ledger   the claims of the service
     * @param key      the key
     * @param claim    the decision to ask the witness
     * @param dispatch sends the call
     * @return the answer
     */
    private CompletableFuture<HttpResponse> askWitness(
            KeyLedger<AggregatedHttpResponse> ledger,
            IdempotencyKey key,
            ClaimDecision<AggregatedHttpResponse> claim,
            Supplier<HttpResponse> dispatch) {
        keeper.askWitness(claim.keeper(), claim.request()).thenAccept(reply -> {
            DispatchDecision decision = ledger.handleWitnessReply(key, claim.attempt(), reply);
            decision.release().ifPresent(release -> keeper.askWitness(claim.keeper(), release));
            if (decision.dispatch()) {
                dispatchClaimed(ledger, key, claim, dispatch);
            }
        });
        return claim.result().thenApply(KeyedCalls::toResponse);
    }

    /**
     * Dispatches a call and records its result. If the call did not run, the witness is requested to remove the claim.
     *
     * @param ledger   the claims of the service
     * @param key      the key
     * @param claim    the claim that the witness has recorded
     * @param dispatch sends the call
     */
    private void dispatchClaimed(
            KeyLedger<AggregatedHttpResponse> ledger,
            IdempotencyKey key,
            ClaimDecision<AggregatedHttpResponse> claim,
            Supplier<HttpResponse> dispatch) {
        dispatch.get().aggregate().handle(KeyedCalls::resultOf).thenAccept(result -> ledger.complete(
                        key, claim.attempt(), result)
                .ifPresent(release -> keeper.askWitness(claim.keeper(), release)));
    }

    /**
     * Returns the result of a dispatched call. A failure, or an answer without a known result code, counts as a lost
     * connection: the call may have run.
     *
     * @param answer  answer to the call, or {@code null} if there is none
     * @param failure why there is no answer, otherwise {@code null}
     * @return the result
     */
    private static KeyedResult<AggregatedHttpResponse> resultOf(AggregatedHttpResponse answer, Throwable failure) {
        if (failure != null) {
            return new KeyedResult<>(ResultCode.CONNECTION_LOST, null);
        }
        ResultCode code = ResultCode.of(answer.headers().get(CallHeaders.CODE)).orElse(ResultCode.CONNECTION_LOST);
        return new KeyedResult<>(code, answer);
    }

    /**
     * Converts a result to the answer for the caller.
     *
     * @param result the result
     * @return the stored answer, or a problem with the result code if there is none
     */
    private static HttpResponse toResponse(KeyedResult<AggregatedHttpResponse> result) {
        if (result.answer() == null) {
            return Problem.response(result.code(), "as the home of the key records it");
        }
        return result.answer().toHttpResponse();
    }
}
