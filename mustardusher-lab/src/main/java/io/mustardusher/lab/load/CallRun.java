package io.mustardusher.lab.load;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.lab.standin.BackendServer;
import io.mustardusher.lab.standin.Payload;
import io.mustardusher.result.Outcome;

/**
 * One call of a caller. A caller sends a call with a key again, through another entry, when it was not answered; a call
 * without a key it sends again only if its connection was refused.
 */
final class CallRun {

    /** Most sends of a call. */
    private static final int MAX_SENDS = 4;

    /** Time before the next send, in milliseconds. */
    private static final long RESEND_MILLIS = 100;

    /** The load to which it belongs. */
    private final LoadGenerator load;

    /** What it asks. */
    private final LoadSpec spec;

    private final String id;

    /** Its key; {@code null} if it is idempotent. */
    private final String key;

    /** Intended start, in nanoseconds. */
    private final long intendedNanos;

    /** Second of the intended start. */
    private final int second;

    /** Completes with the call. */
    private final CompletableFuture<CallResult> done = new CompletableFuture<>();

    /** Sends so far. */
    private int sends;

    /**
     * Creates a call.
     *
     * @param load          the load to which it belongs
     * @param spec          what it asks
     * @param id            its id
     * @param key           its key; {@code null} if it is idempotent
     * @param intendedNanos intended start, in nanoseconds
     * @param second        second of the intended start
     */
    CallRun(LoadGenerator load, LoadSpec spec, String id, String key, long intendedNanos, int second) {
        this.load = load;
        this.spec = spec;
        this.id = id;
        this.key = key;
        this.intendedNanos = intendedNanos;
        this.second = second;
    }

    /**
     * Starts the call.
     *
     * @param random source of random choice
     * @return completes with the call
     */
    CompletableFuture<CallResult> start(Random random) {
        load.tally().started(id, key != null);
        send(load.entries().choose(random));
        return done;
    }

    /**
     * Sends the call.
     *
     * @param target the entry
     */
    private void send(Entries.Target target) {
        sends++;
        RequestHeadersBuilder headers = RequestHeaders.builder(
                        key == null ? HttpMethod.GET : HttpMethod.POST, "/item/" + id.hashCode())
                .set(CallHeaders.SERVICE, spec.service())
                .set(CallHeaders.TIMEOUT, spec.deadlineMillis() + "m")
                .set(BackendServer.REQUEST_ID, id)
                .setInt(BackendServer.ANSWER_BYTES, spec.answerBytes());
        HttpData body = HttpData.empty();
        if (key != null) {
            headers.set(CallHeaders.IDEMPOTENCY_KEY, key);
            body = HttpData.ofUtf8("{\"claim\":\"" + id + "\"}");
        }
        target.client()
                .execute(HttpRequest.of(headers.build(), body))
                .aggregate()
                .whenComplete((answer, failure) -> {
                    if (failure == null) {
                        answered(answer);
                    } else {
                        failed(target, failure);
                    }
                });
    }

    /**
     * Judges an answer.
     *
     * @param answer the answer
     */
    private void answered(AggregatedHttpResponse answer) {
        String code = answer.headers().get(CallHeaders.CODE, "none");
        load.tally().code(code);
        Outcome outcome = Outcome.of(answer.headers().get(CallHeaders.OUTCOME))
                .orElse(load.entries().unmarked());
        if (outcome == Outcome.RAN) {
            end(ran(answer));
        } else if (key != null && sends < MAX_SENDS) {
            again();
        } else {
            end(outcome == Outcome.NOT_RUN ? CallResult.NOT_RUN : CallResult.UNKNOWN);
        }
    }

    /**
     * Judges the answer of a call that ran.
     *
     * @param answer the answer
     * @return the result
     */
    private CallResult ran(AggregatedHttpResponse answer) {
        if (!answer.status().isSuccess()) {
            return CallResult.FAILED;
        }
        boolean whole = Payload.matches(id, spec.answerBytes(), answer.content().array());
        return whole ? CallResult.OK : CallResult.WRONG_ANSWER;
    }

    /**
     * Judges a send without an answer.
     *
     * @param target  the entry
     * @param failure why
     */
    private void failed(Entries.Target target, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean unsent = cause instanceof UnprocessedRequestException;
        boolean expected = load.entries().wasKilled(target.port());
        if (expected) {
            load.tally().brokenByKill();
        }
        if ((unsent || key != null && expected) && sends < MAX_SENDS) {
            again();
            return;
        }
        end(expected ? CallResult.UNKNOWN : CallResult.CUT_OFF);
    }

    /** Sends the call again after a while, through another entry. */
    private void again() {
        load.tally().resent();
        load.timers().schedule(() -> send(load.entries().choose(new Random())), RESEND_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Ends the call.
     *
     * @param result the result
     */
    private void end(CallResult result) {
        long micros = (System.nanoTime() - intendedNanos) / 1000;
        load.tally().ended(id, spec.service(), result, micros, spec.deadlineMillis(), second);
        done.complete(result);
    }
}
