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

/** This node as the home of calls with keys. */
public final class KeyedCalls {

    /** Keys and messages of the claim protocol. */
    private final Keepers keepers;

    /**
     * Creates a home.
     *
     * @param keepers keys and messages of the claim protocol
     */
    public KeyedCalls(Keepers keepers) {
        this.keepers = keepers;
    }

    /**
     * Runs a call at most once for its key.
     *
     * @param call     the call
     * @param key      its key
     * @param body     hash over method, path and body
     * @param dispatch sends the call to a backend server, at most once
     * @return the answer
     */
    public CompletableFuture<HttpResponse> handle(
            Call call, IdempotencyKey key, long body, Supplier<HttpResponse> dispatch) {
        Optional<KeyLedger<AggregatedHttpResponse>> ledger =
                keepers.ledger(call.service().value());
        if (ledger.isEmpty()) {
            return CompletableFuture.completedFuture(
                    Problem.response(ResultCode.KEEPER_UNAVAILABLE, "this node does not keep keys of the service"));
        }
        ClaimDecision<AggregatedHttpResponse> begin = ledger.get().claim(key, body);
        return switch (begin.action()) {
            case REJECT -> CompletableFuture.completedFuture(Problem.response(begin.code(), "refused by the home"));
            case OTHER_HOME -> CompletableFuture.completedFuture(
                    Problem.response(ResultCode.KEEPER_UNAVAILABLE, "another node is the home"));
            case JOIN -> begin.result().thenApply(KeyedCalls::toResponse);
            case ASK_WITNESS -> claim(ledger.get(), key, begin, dispatch);
        };
    }

    /**
     * Asks the witness, and dispatches the call once it has recorded the claim.
     *
     * @param ledger   the keys
     * @param key      the key
     * @param begin    the claim
     * @param dispatch sends the call
     * @return the answer
     */
    private CompletableFuture<HttpResponse> claim(
            KeyLedger<AggregatedHttpResponse> ledger,
            IdempotencyKey key,
            ClaimDecision<AggregatedHttpResponse> begin,
            Supplier<HttpResponse> dispatch) {
        keepers.ask(begin.keeper(), begin.request()).thenAccept(reply -> {
            DispatchDecision decision = ledger.handleWitnessReply(key, begin.attempt(), reply);
            decision.release().ifPresent(release -> keepers.ask(begin.keeper(), release));
            if (decision.dispatch()) {
                run(ledger, key, begin, dispatch);
            }
        });
        return begin.result().thenApply(KeyedCalls::toResponse);
    }

    /**
     * Dispatches a claimed call and records its end.
     *
     * @param ledger   the keys
     * @param key      the key
     * @param begin    the claim
     * @param dispatch sends the call
     */
    private void run(
            KeyLedger<AggregatedHttpResponse> ledger,
            IdempotencyKey key,
            ClaimDecision<AggregatedHttpResponse> begin,
            Supplier<HttpResponse> dispatch) {
        dispatch.get().aggregate().handle(KeyedCalls::endOf).thenAccept(end -> ledger.complete(
                        key, begin.attempt(), end)
                .ifPresent(release -> keepers.ask(begin.keeper(), release)));
    }

    /**
     * Tells what became of a dispatched call.
     *
     * @param answer  its answer, or {@code null}
     * @param failure why there is none, or {@code null}
     * @return the end
     */
    private static KeyedResult<AggregatedHttpResponse> endOf(AggregatedHttpResponse answer, Throwable failure) {
        if (failure != null) {
            return new KeyedResult<>(ResultCode.CONNECTION_LOST, null);
        }
        ResultCode code = ResultCode.of(answer.headers().get(CallHeaders.CODE)).orElse(ResultCode.CONNECTION_LOST);
        return new KeyedResult<>(code, answer);
    }

    /**
     * Writes the answer of a call with a key.
     *
     * @param end what became of it
     * @return the answer
     */
    private static HttpResponse toResponse(KeyedResult<AggregatedHttpResponse> end) {
        if (end.answer() == null) {
            return Problem.response(end.code(), "as the home of the key records it");
        }
        return end.answer().toHttpResponse();
    }
}
