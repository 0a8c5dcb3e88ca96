package io.mustardusher.claim;

import java.util.Optional;

import io.mustardusher.generated.WitnessRequest;

/**
 * How a home proceeds after the reply of a witness or its timeout.
 *
 * @param dispatch whether to dispatch the call now
 * @param release  request with which the witness removes the claim, if the home has released it
 */
public record DispatchDecision(boolean dispatch, Optional<WitnessRequest> release) {

    /** No action: the call is rejected, or an earlier reply or timeout was already processed. */
    static final DispatchDecision NO_ACTION = new DispatchDecision(false, Optional.empty());

    /** Dispatch the call. */
    static final DispatchDecision DISPATCH = new DispatchDecision(true, Optional.empty());
}
