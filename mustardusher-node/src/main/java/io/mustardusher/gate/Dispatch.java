package io.mustardusher.gate;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.mustardusher.admission.AdmissionListener;
import io.mustardusher.admission.CallEnd;
import io.mustardusher.admission.Ticket;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.Problem;
import io.mustardusher.nested.RunningCall;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.server.ServerLink;

/** One call at the gate, from its admission to the end of its response. */
final class Dispatch implements AdmissionListener {

    private final Gate gate;

    private final ServerLink link;

    private final HttpRequest request;

    /** The call as its nested calls see it; its response must start by its deadline. */
    private final RunningCall running;

    /** Hash of service, method, path and body. */
    private final long fingerprint;

    /** Whether no other call may run beside this one, because it is suspected of crashing servers. */
    private final boolean exclusive;

    private final CompletableFuture<HttpResponse> response;

    /** Completes when the caller has cancelled the call. */
    private final CompletionStage<?> cancelled;

    private Ticket ticket;

    private volatile boolean admitted;

    private long dispatchedNanos;

    /**
     * Creates a dispatch that has no ticket yet.
     *
     * @param gate        gate that received the call
     * @param link        connection to the backend server
     * @param request     the call, with the headers that nodes set
     * @param running     the call as its nested calls see it
     * @param fingerprint hash of service, method, path and body
     * @param exclusive   whether no other call may run beside this one
     * @param response    completed with the response to the caller
     * @param cancelled   completes when the caller has cancelled the call
     */
    Dispatch(
            Gate gate,
            ServerLink link,
            HttpRequest request,
            RunningCall running,
            long fingerprint,
            boolean exclusive,
            CompletableFuture<HttpResponse> response,
            CompletionStage<?> cancelled) {
        this.gate = gate;
        this.link = link;
        this.request = request;
        this.running = running;
        this.fingerprint = fingerprint;
        this.exclusive = exclusive;
        this.response = response;
        this.cancelled = cancelled;
    }

    /**
     * Sets the ticket under which the call is admitted.
     *
     * @param assigned ticket of this call
     */
    void bind(Ticket assigned) {
        ticket = assigned;
    }

    /**
     * Returns whether the call was admitted.
     *
     * @return {@code true} if it was admitted
     */
    boolean isAdmitted() {
        return admitted;
    }

    @Override
    public void onAdmitted() {
        admitted = true;
        if (cancelled.toCompletableFuture().isDone()) {
            gate.admission().release(ticket, CallEnd.ABANDONED);
            response.complete(gate.reject(ResultCode.CANCELLED, request.headers()));
            return;
        }
        dispatchedNanos = gate.clock().nanoTime();
        gate.crashDetector().recordDispatch(ticket, fingerprint);
        gate.runningCalls().start(running);
        // The only place that releases the slot, whatever fails on the way.
        send().whenComplete((result, failure) -> {
            Result ended = failure == null ? result : unexpectedFailure(failure);
            release(ended.end());
            ended.completion().run();
        });
    }

    @Override
    public void onRejected(ResultCode code) {
        response.complete(gate.reject(code, request.headers()));
    }

    private CompletableFuture<Result> send() {
        try {
            Exchange exchange = link.send(request, running.deadlineNanos() - dispatchedNanos);
            exchange.abortOn(cancelled);
            return exchange.headers()
                    .handle((headers, failure) ->
                            failure == null ? forwardResponse(exchange, headers) : handleFailure(failure))
                    .thenCompose(Function.identity());
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    // Forwards the response; one that the backend server marks as a refusal is replaced by a problem document.
    private CompletableFuture<Result> forwardResponse(Exchange exchange, ResponseHeaders headers) {
        boolean unavailable = headers.status().equals(HttpStatus.SERVICE_UNAVAILABLE);
        boolean notRun = Outcome.NOT_RUN.token().equals(headers.get(CallHeaders.OUTCOME));
        if (unavailable && notRun) {
            exchange.discard();
            return ended(CallEnd.OVERLOADED, ResultCode.SERVER_REFUSED);
        }
        String run = link.reportsRuns() ? headers.get(CallHeaders.RUN) : null;
        ResponseHeadersBuilder forwarded = headers.toBuilder();
        boolean streamed = headers.contains(CallHeaders.STREAMED);
        CallHeaders.stripAnswer(forwarded);
        if (streamed) {
            forwarded.set(CallHeaders.STREAMED, "1");
        }
        forwarded.set(CallHeaders.OUTCOME, Outcome.RAN.token());
        if (run != null) {
            forwarded.set(CallHeaders.RUN, run);
        }
        forwarded.set(CallHeaders.LOAD, gate.load().toHeader());
        gate.statedConditions().ifPresent(stated -> forwarded.set(CallHeaders.CONDITIONS, stated.toHeader()));
        CallEnd onSuccess = headers.status().isServerError() ? CallEnd.ABANDONED : CallEnd.ANSWERED;
        CompletableFuture<Result> result = exchange.whenComplete()
                .handle((ignored, failure) -> new Result(failure == null ? onSuccess : CallEnd.ABANDONED, () -> {}));
        response.complete(exchange.stream(forwarded.build()));
        return result;
    }

    // Ends a call that received no response from the backend server.
    private CompletableFuture<Result> handleFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (!(cause instanceof MustardusherException exception)) {
            return CompletableFuture.failedFuture(cause);
        }
        gate.logServerFailure(request.headers(), dispatchedNanos, exception);
        if (exception.code() == ResultCode.CONNECTION_LOST
                && !cancelled.toCompletableFuture().isDone()) {
            return gate.crashDetector().checkAfterLoss(ticket).thenApply(crash -> resultAfterLoss(exception, crash));
        }
        CallEnd end = exception.code() == ResultCode.DEADLINE_PASSED ? CallEnd.UNANSWERED : CallEnd.ABANDONED;
        return ended(end, exception.code());
    }

    // Returns the result of a call whose connection was lost; the crash is empty if the server is still running.
    private Result resultAfterLoss(MustardusherException exception, OptionalLong crash) {
        if (crash.isEmpty()) {
            return withoutAnswer(CallEnd.ABANDONED, exception.code());
        }
        return new Result(
                CallEnd.ABANDONED,
                () -> response.complete(HttpResponse.of(Problem.gateResponse(
                                ResultCode.SERVER_CRASHED, gate.load().toHeader())
                        .set(CallHeaders.CRASH, Long.toString(crash.getAsLong()))
                        .build())));
    }

    // The call may have been sent, so its outcome is unknown.
    private Result unexpectedFailure(Throwable failure) {
        MustardusherException exception =
                new MustardusherException(ResultCode.CONNECTION_LOST, "the dispatch failed: " + failure, failure);
        gate.logServerFailure(request.headers(), dispatchedNanos, exception);
        return withoutAnswer(CallEnd.ABANDONED, exception.code());
    }

    private CompletableFuture<Result> ended(CallEnd end, ResultCode code) {
        return CompletableFuture.completedFuture(withoutAnswer(end, code));
    }

    private Result withoutAnswer(CallEnd end, ResultCode code) {
        return new Result(
                end,
                () -> response.complete(HttpResponse.of(
                        Problem.gateResponse(code, gate.load().toHeader()).build())));
    }

    private void release(CallEnd end) {
        gate.crashDetector().recordEnd(ticket);
        gate.runningCalls().end(running);
        if (exclusive && end == CallEnd.ANSWERED) {
            gate.suspects().clear(fingerprint);
        }
        gate.callTimer().update(gate.clock().nanoTime() - dispatchedNanos, TimeUnit.NANOSECONDS);
        gate.admission().release(ticket, end);
    }

    /**
     * How the call ended.
     *
     * @param end        what the end says about the load of the server
     * @param completion completes the response after the slot is released, so that the load in it is current
     */
    private record Result(CallEnd end, Runnable completion) {}
}
