package io.mustardusher.entry;

import com.linecorp.armeria.common.HttpResponse;
import io.mustardusher.result.Outcome;

/**
 * What an entry passes on to its caller.
 *
 * @param response the answer
 * @param outcome  what it says became of the call
 */
record Reply(HttpResponse response, Outcome outcome) {

    /**
     * Tells whether a backend server answered.
     *
     * @return {@code true} if it did
     */
    boolean isAnswer() {
        return outcome == Outcome.RAN;
    }

    /**
     * Chooses between the replies of two sends that both brought no answer: "not run" holds only if both say so.
     *
     * @param other the other reply
     * @return the reply to pass on
     */
    Reply orLessCertain(Reply other) {
        return outcome == Outcome.NOT_RUN ? other : this;
    }
}
