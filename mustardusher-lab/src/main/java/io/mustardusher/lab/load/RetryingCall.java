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
 * One call with its retries, each through a randomly chosen entry. A call with a key is retried if its response does
 * not state that it ran, or if the connection broke because the entry was killed. Any call is retried if its request
 * was not sent.
 */
final class RetryingCall {

    /** Maximum number of attempts of a call, the first included. */
    private static final int MAX_ATTEMPTS = 4;

    private static final long RETRY_DELAY_MILLIS = 100;

    private final LoadGenerator generator;

    private final LoadSpec spec;

    private final String id;

    /** Idempotency key; {@code null} if the call is idempotent. */
    private final String key;

    /** Intended start, on the scale of {@link System#nanoTime()}. */
    private final long intendedNanos;

    /** Second of the intended start, from the start of the load. */
    private final int second;

    private final CompletableFuture<CallResult> completion = new CompletableFuture<>();

    private int attempts;

    /**
     * Creates a call.
     *
     * @param generator     the load generator that creates it
     * @param spec          stream of calls that it belongs to
     * @param id            unique id of the call
     * @param key           its idempotency key; {@code null} if it is idempotent
     * @param intendedNanos intended start, on the scale of {@link System#nanoTime()}
     * @param second        second of the intended start, from the start of the load
     */
    RetryingCall(LoadGenerator generator, LoadSpec spec, String id, String key, long intendedNanos, int second) {
        this.generator = generator;
        this.spec = spec;
        this.id = id;
        this.key = key;
        this.intendedNanos = intendedNanos;
        this.second = second;
    }

    /**
     * Starts the first attempt.
     *
     * @param random source of randomness for the choice of the entry
     * @return completes with the result of the call
     */
    CompletableFuture<CallResult> start(Random random) {
        generator.tally().recordStart(id, key != null);
        send(generator.entries().choose(random));
        return completion;
    }

    /**
     * Sends one attempt.
     *
     * @param target the entry to send it to
     */
    private void send(Entries.Target target) {
        attempts++;
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
                .whenComplete((response, failure) -> {
                    if (failure == null) {
                        handleResponse(response);
                    } else {
                        handleFailure(target, failure);
                    }
                });
    }

    /**
     * Ends or retries the call depending on the outcome in a response.
     *
     * @param response the response
     */
    private void handleResponse(AggregatedHttpResponse response) {
        String code = response.headers().get(CallHeaders.CODE, "none");
        generator.tally().recordCode(code);
        Outcome outcome = Outcome.of(response.headers().get(CallHeaders.OUTCOME))
                .orElse(generator.entries().defaultOutcome());
        if (outcome == Outcome.RAN) {
            complete(checkResponse(response));
        } else if (key != null && attempts < MAX_ATTEMPTS) {
            scheduleRetry();
        } else {
            complete(outcome == Outcome.NOT_RUN ? CallResult.NOT_RUN : CallResult.UNKNOWN);
        }
    }

    /**
     * Checks the status and the body of the response to a call that ran.
     *
     * @param response the response
     * @return the result of the call
     */
    private CallResult checkResponse(AggregatedHttpResponse response) {
        if (!response.status().isSuccess()) {
            return CallResult.FAILED;
        }
        boolean matches =
                Payload.matches(id, spec.answerBytes(), response.content().array());
        return matches ? CallResult.OK : CallResult.WRONG_ANSWER;
    }

    /**
     * Ends or retries the call after an attempt without a complete response.
     *
     * @param target  the entry of the attempt
     * @param failure cause of the failure
     */
    private void handleFailure(Entries.Target target, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean unsent = cause instanceof UnprocessedRequestException;
        boolean entryKilled = generator.entries().wasKilled(target.port());
        if (entryKilled) {
            generator.tally().recordConnectionBrokenByKill();
        }
        if ((unsent || key != null && entryKilled) && attempts < MAX_ATTEMPTS) {
            scheduleRetry();
            return;
        }
        complete(entryKilled ? CallResult.UNKNOWN : CallResult.CUT_OFF);
    }

    /** Schedules the next attempt. */
    private void scheduleRetry() {
        generator.tally().recordRetry();
        generator
                .timers()
                .schedule(
                        () -> send(generator.entries().choose(new Random())),
                        RETRY_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Records and completes the call.
     *
     * @param result result of the call
     */
    private void complete(CallResult result) {
        long latencyMicros = (System.nanoTime() - intendedNanos) / 1000;
        generator.tally().recordEnd(id, spec.service(), result, latencyMicros, spec.deadlineMillis(), second);
        completion.complete(result);
    }
}
