package io.mustardusher.claim;

import java.util.Optional;

import io.mustardusher.generated.WitnessRequest;

/**
 * What a home does after the witness has replied, or has not.
 *
 * @param dispatch whether to dispatch the call now
 * @param release  request by which the witness forgets the claim, if it is given back
 */
public record Decision(boolean dispatch, Optional<WitnessRequest> release) {

    /** Nothing is to be done: the call is refused, or was decided before. */
    static final Decision NOTHING = new Decision(false, Optional.empty());

    /** The call is dispatched. */
    static final Decision DISPATCH = new Decision(true, Optional.empty());
}
