package io.mustardusher.gate;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.mustardusher.admission.CallEnd;
import io.mustardusher.admission.Ticket;
import io.mustardusher.admission.Waiter;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.Problem;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.server.ServerLink;

/** One call at the gate, from admission to the end of its answer. */
final class Dispatch implements Waiter {

    private final Gate gate;

    private final ServerLink link;

    /** The call. */
    private final HttpRequest request;

    /** Time by which the answer must begin, in nanoseconds. */
    private final long deadlineNanos;

    /** Hash over service, method, path and body. */
    private final long fingerprint;

    /** Whether the call runs alone. */
    private final boolean alone;

    private final CompletableFuture<HttpResponse> answer;

    /** Completes when the caller has given up. */
    private final CompletionStage<?> cancelled;

    /** Place at the gate. */
    private Ticket ticket;

    /** Whether the call was admitted. */
    private volatile boolean started;

    /** Time of dispatch, in nanoseconds. */
    private long dispatchedNanos;

    /**
     * Creates a dispatch.
     *
     * @param gate          the gate
     * @param link          way to the backend server
     * @param request       the call
     * @param deadlineNanos time by which the answer must begin, in nanoseconds
     * @param fingerprint   hash over service, method, path and body
     * @param alone         whether the call runs alone
     * @param answer        the answer
     * @param cancelled     completes when the caller has given up
     */
    Dispatch(
            Gate gate,
            ServerLink link,
            HttpRequest request,
            long deadlineNanos,
            long fingerprint,
            boolean alone,
            CompletableFuture<HttpResponse> answer,
            CompletionStage<?> cancelled) {
        this.gate = gate;
        this.link = link;
        this.request = request;
        this.deadlineNanos = deadlineNanos;
        this.fingerprint = fingerprint;
        this.alone = alone;
        this.answer = answer;
        this.cancelled = cancelled;
    }

    /**
     * Sets the place at the gate.
     *
     * @param place the place
     */
    void bind(Ticket place) {
        ticket = place;
    }

    /**
     * Tells whether the call was admitted.
     *
     * @return {@code true} if it was
     */
    boolean isStarted() {
        return started;
    }

    @Override
    public void admitted() {
        started = true;
        if (cancelled.toCompletableFuture().isDone()) {
            gate.admission().release(ticket, CallEnd.ABANDONED);
            answer.complete(gate.refuse(ResultCode.CANCELLED, request.headers()));
            return;
        }
        dispatchedNanos = gate.clock().nanoTime();
        long left = deadlineNanos - dispatchedNanos;
        gate.crashes().dispatched(ticket, fingerprint);
        Exchange exchange = link.send(request, left);
        exchange.abortOn(cancelled);
        exchange.headers().whenComplete((headers, failure) -> {
            if (failure == null) {
                answered(exchange, headers);
            } else {
                failed(failure);
            }
        });
    }

    @Override
    public void refused(ResultCode code) {
        answer.complete(gate.refuse(code, request.headers()));
    }

    /**
     * Passes an answer on, or a refusal that the backend server marks as such.
     *
     * @param exchange the exchange
     * @param headers  headers of the answer
     */
    private void answered(Exchange exchange, ResponseHeaders headers) {
        boolean unavailable = headers.status().equals(HttpStatus.SERVICE_UNAVAILABLE);
        boolean notRun = Outcome.NOT_RUN.token().equals(headers.get(CallHeaders.OUTCOME));
        if (unavailable && notRun) {
            exchange.discard();
            end(CallEnd.OVERLOADED);
            answer.complete(Problem.response(
                    ResultCode.SERVER_REFUSED,
                    "shed by the backend server",
                    gate.load().toHeader()));
            return;
        }
        ResponseHeadersBuilder passed = headers.toBuilder();
        CallHeaders.stripAnswer(passed);
        passed.set(CallHeaders.OUTCOME, Outcome.RAN.token());
        passed.set(CallHeaders.LOAD, gate.load().toHeader());
        CallEnd onSuccess = headers.status().isServerError() ? CallEnd.ABANDONED : CallEnd.ANSWERED;
        exchange.whenComplete().whenComplete((done, failure) -> end(failure == null ? onSuccess : CallEnd.ABANDONED));
        answer.complete(exchange.stream(passed.build()));
    }

    /**
     * Answers a call that has no answer.
     *
     * @param failure why
     */
    private void failed(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        MustardusherException coded = (MustardusherException) cause;
        gate.noteLost(request.headers(), dispatchedNanos, coded);
        if (coded.code() == ResultCode.CONNECTION_LOST
                && !cancelled.toCompletableFuture().isDone()) {
            gate.crashes().lost(ticket).thenAccept(crash -> lost(coded, crash));
            return;
        }
        end(coded.code() == ResultCode.DEADLINE_PASSED ? CallEnd.OVERLOADED : CallEnd.ABANDONED);
        answer.complete(
                Problem.response(coded.code(), coded.getMessage(), gate.load().toHeader()));
    }

    /**
     * Answers a call whose connection was lost.
     *
     * @param coded the failure
     * @param crash number of the crash, or empty if the server did not crash
     */
    private void lost(MustardusherException coded, OptionalLong crash) {
        end(CallEnd.ABANDONED);
        if (crash.isEmpty()) {
            answer.complete(Problem.response(
                    coded.code(), coded.getMessage(), gate.load().toHeader()));
            return;
        }
        ResponseHeaders headers = Problem.headers(ResultCode.SERVER_CRASHED)
                .set(CallHeaders.CRASH, Long.toString(crash.getAsLong()))
                .set(CallHeaders.LOAD, gate.load().toHeader())
                .build();
        answer.complete(HttpResponse.of(headers));
    }

    /**
     * Ends the call at the gate.
     *
     * @param end how it ended
     */
    private void end(CallEnd end) {
        gate.crashes().ended(ticket);
        if (alone && end == CallEnd.ANSWERED) {
            gate.suspects().clear(fingerprint);
        }
        gate.served().update(gate.clock().nanoTime() - dispatchedNanos, TimeUnit.NANOSECONDS);
        gate.admission().release(ticket, end);
    }
}
