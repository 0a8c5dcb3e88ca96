package io.mustardusher.entry;

import com.linecorp.armeria.common.HttpResponse;
import io.mustardusher.result.Outcome;

/**
 * Response of an entry to its caller.
 *
 * @param response the response
 * @param outcome  whether the call ran, as the response states it
 * @param attempt  attempt that the response comes from, for the log
 */
record Reply(HttpResponse response, Outcome outcome, CallTrace.Attempt attempt) {

    /**
     * Creates a response that comes from no backend server.
     *
     * @param response the response
     * @param outcome  whether the call ran, as the response states it
     */
    Reply(HttpResponse response, Outcome outcome) {
        this(response, outcome, CallTrace.Off.INSTANCE);
    }

    /**
     * Selects this reply for the caller.
     *
     * @return the response
     */
    HttpResponse passOn() {
        attempt.passOn();
        return response;
    }

    /**
     * Returns whether the response is the answer of a backend server.
     *
     * @return {@code true} if a backend server ran the call and answered
     */
    boolean isServerAnswer() {
        return outcome == Outcome.RAN;
    }

    /**
     * Selects from the replies of two attempts that both ended without an answer. The call is reported as
     * {@link Outcome#NOT_RUN} only if neither attempt may have run.
     *
     * @param other reply of the other attempt
     * @return the reply for the caller
     */
    Reply preferPossiblyRun(Reply other) {
        return outcome == Outcome.NOT_RUN ? other : this;
    }
}
