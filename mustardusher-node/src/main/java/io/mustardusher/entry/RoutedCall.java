package io.mustardusher.entry;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.mustardusher.admission.RetryDelay;
import io.mustardusher.budget.SpendingRank;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.Fingerprint;
import io.mustardusher.call.Problem;
import io.mustardusher.call.RunReport;
import io.mustardusher.call.Timeout;
import io.mustardusher.health.ServiceShedding;
import io.mustardusher.instance.InstanceConditions;
import io.mustardusher.log.DecisionLog;
import io.mustardusher.log.LoggedName;
import io.mustardusher.log.NodeLog;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.retry.FailedAttempt;
import io.mustardusher.retry.RetryPolicy;
import io.mustardusher.routing.ExcludedServers;
import io.mustardusher.routing.LoadReport;
import io.mustardusher.routing.Mobility;
import io.mustardusher.routing.ServerLoad;
import io.mustardusher.routing.ServerPool;
import io.mustardusher.routing.ServerSelection;
import io.mustardusher.routing.TransferCost;
import io.mustardusher.time.Clock;

/** A call at the entry, from the choice of its first server to the response for its caller. */
final class RoutedCall implements HedgedCall.Attempt {

    /**
     * Largest answer that is buffered, in bytes. A longer answer is streamed: the call is not retried then, and the
     * caller sees the answer break off if it is cut short.
     */
    private static final long MAX_BUFFERED_ANSWER_BYTES = 1L << 20;

    /** Refusals by the backend server itself, which count as attempts that reached it. */
    private static final Set<ResultCode> SERVER_REFUSALS = EnumSet.of(ResultCode.SERVER_REFUSED);

    /** Rejections that do not show whether the service has room for the call. */
    private static final Set<ResultCode> UNRELATED_TO_ROOM = EnumSet.of(
            ResultCode.CANCELLED, ResultCode.DEADLINE_EXPIRED, ResultCode.SUSPECT_REFUSED, ResultCode.NODE_STOPPING);

    private static final String OK = "ok";
    private static final String CLIENT_ERROR = "client_error";
    private static final String SERVER_ERROR = "server_error";

    private final Router router;

    private final Call call;

    private final CallBody body;

    /** Whether the call may run more than once. */
    private final boolean idempotent;

    private final RetryPolicy retryPolicy;

    /** Completes when the caller has cancelled the call. */
    private final CompletionStage<?> cancelled;

    /** Hash of service, method, path and body. */
    private final long fingerprint;

    private final CallTrace trace;

    private final ServerSelection servers;

    private final CompletableFuture<Reply> answer = new CompletableFuture<>();

    private final long startNanos;

    /** Time by which an answer is desired, in nanoseconds; {@link ServerSelection#NO_TARGET} if there is none. */
    private final long targetNanos;

    private final TransferCost transferCost;

    /** Whether the called service refuses calls as a whole. */
    private final ServiceShedding shedding;

    /** Estimated time to an answer of the current attempt, in nanoseconds. */
    private volatile long expectedNanos;

    /** The current attempt, for the log. */
    private CallTrace.Attempt attempt = CallTrace.Off.INSTANCE;

    /** Attempts that may have reached a backend server. */
    private int reachedAttempts;

    /** Whether an attempt that ended without an answer may have run. */
    private boolean mayHaveRun;

    /** Shortest time after which the caller should return, in milliseconds; negative if no refusal stated one. */
    private long retryDelayMillis = -1;

    /** Server error that is returned if no retry gets a better answer; {@code null} if there is none. */
    private Reply failedReply;

    /**
     * Creates a call.
     *
     * @param router      the router
     * @param call        the call
     * @param body        body of the call
     * @param idempotent  whether the call may run more than once
     * @param retryPolicy decides on retries
     * @param cancelled   completes when the caller has cancelled the call
     * @param trace       records what happens to the call
     */
    RoutedCall(
            Router router,
            Call call,
            CallBody body,
            boolean idempotent,
            RetryPolicy retryPolicy,
            CompletionStage<?> cancelled,
            CallTrace trace) {
        this.router = router;
        this.call = call;
        this.body = body;
        this.idempotent = idempotent;
        this.retryPolicy = retryPolicy;
        this.cancelled = cancelled;
        this.trace = trace;
        this.startNanos = router.clock().nanoTime();
        this.transferCost = router.transferCost(call.owner());
        this.shedding = router.shedding(call.service());
        long target = call.options().targetLatencyNanos();
        this.targetNanos = target == Long.MAX_VALUE ? ServerSelection.NO_TARGET : startNanos + target;
        this.servers = new ServerSelection(call.entry().policy(), transferCost, targetNanos);
        this.fingerprint = Fingerprint.of(call.service().value(), call.headers(), body.bufferedData());
    }

    /**
     * Starts the first attempt.
     *
     * @return response for the caller
     */
    HttpResponse start() {
        return HttpResponse.of(startForReply().thenApply(Reply::passOn));
    }

    @Override
    public CompletableFuture<Reply> startForReply() {
        send();
        return answer;
    }

    @Override
    public void excludeServersOf(HedgedCall.Attempt other) {
        servers.exclude(other.triedServers());
    }

    @Override
    public ExcludedServers triedServers() {
        return servers.tried();
    }

    @Override
    public long expectedNanos() {
        return expectedNanos;
    }

    /** Chooses a server and sends the call. */
    private void send() {
        if (cancelled.toCompletableFuture().isDone()) {
            fail(ResultCode.CANCELLED, "the caller has left");
            return;
        }
        if (!router.maySend(call.deadlineNanos())) {
            fail(ResultCode.NODE_STOPPING, "this node is stopping");
            return;
        }
        ResultCode rejection = router.rejection(fingerprint);
        if (rejection != null) {
            fail(rejection, "the call was in flight in two crashes");
            return;
        }
        long now = router.clock().nanoTime();
        ServerPool pool = router.directory().pool(call.service());
        Optional<ServerSelection.Choice> choice = servers.next(pool, ThreadLocalRandom.current(), now);
        Optional<GateLink> link = choice.flatMap(chosen -> router.directory().link(chosen.server()));
        if (link.isEmpty()) {
            fail(ResultCode.NO_SERVER, "no server left to try");
            return;
        }
        ServerLoad server = choice.get().server();
        expectedNanos = (long) server.estimatedNanos(now);
        logChoice(server, pool);
        sendTo(server, link.get(), now, choice.get().mobility());
    }

    /**
     * Sends the call to the gate of a server.
     *
     * @param server   the server
     * @param link     link to the gate
     * @param now      current time, in nanoseconds
     * @param mobility when the gate may return the call in favour of another server
     */
    private void sendTo(ServerLoad server, GateLink link, long now, Mobility mobility) {
        long remainingNanos = call.deadlineNanos() - now;
        if (server.ejection().requiresTrial(now)) {
            server.ejection().startTrial();
        }
        server.recordCallStart();
        double largeBytes = transferCost.largeBytes();
        server.transferRate().recordCallStart(largeBytes);
        Optional<InstanceConditions> conditions = router.statedConditions().of(server.node());
        RequestHeaders headersForNode = requestHeaders(remainingNanos, now, mobility, conditions);
        attempt = trace.send(server.node().value());
        Exchange exchange = link.send(body.toRequest(headersForNode), remainingNanos, cancelled);
        exchange.headers().whenComplete((headers, failure) -> {
            if (failure != null) {
                server.recordCallEnd();
                server.transferRate().recordCallEnd(largeBytes);
                onFailure(server, failure);
            } else {
                exchange.whenComplete()
                        .whenComplete((ignored, cut) -> server.transferRate().recordCallEnd(largeBytes));
                onHeaders(server, exchange, headers, conditions);
            }
        });
    }

    private RequestHeaders requestHeaders(
            long remainingNanos, long now, Mobility mobility, Optional<InstanceConditions> conditions) {
        RequestHeadersBuilder headers = call.headersForNode(servers.attempt(), remainingNanos, fingerprint);
        if (targetNanos != ServerSelection.NO_TARGET) {
            headers.set(CallHeaders.TARGET, Timeout.format(targetNanos - now));
            if (mobility != Mobility.FIXED && body.isReplayable()) {
                headers.set(CallHeaders.MOVABLE, mobility.token());
            }
        }
        conditions.ifPresent(stated -> headers.set(CallHeaders.CONDITIONS, stated.toHeader()));
        return headers.build();
    }

    /**
     * Handles the headers of an answer, which may come from the backend server or only from its gate.
     *
     * @param server     the server
     * @param exchange   the exchange
     * @param headers    headers of the answer
     * @param conditions conditions of the server that were sent with the call
     */
    private void onHeaders(
            ServerLoad server, Exchange exchange, ResponseHeaders headers, Optional<InstanceConditions> conditions) {
        long now = router.clock().nanoTime();
        Optional<LoadReport> report = LoadReport.parse(headers.get(CallHeaders.LOAD));
        report.ifPresent(load -> server.update(load, now));
        exchange.whenComplete().whenComplete((ignored, failure) -> server.recordCallEnd());
        Outcome outcome = Outcome.of(headers.get(CallHeaders.OUTCOME)).orElse(Outcome.UNKNOWN);
        if (outcome == Outcome.RAN) {
            Optional<InstanceConditions> stated = InstanceConditions.parse(headers.get(CallHeaders.CONDITIONS));
            router.statedConditions().recordAnswer(server.node(), stated, conditions);
            if (stated.isPresent() && stated.get().conditions().leaving()) {
                server.setServing(false);
            }
            onServerAnswer(server, exchange, headers, now);
            return;
        }
        ResultCode code = codeOf(headers);
        attempt.failed(code.number());
        recordRetryDelay(headers.getLong(CallHeaders.RETRY_DELAY, -1));
        boolean healthy = code.outcome() == Outcome.NOT_RUN && code != ResultCode.SERVER_UNREACHABLE;
        if (code == ResultCode.SERVER_UNREACHABLE) {
            server.ejection().recordUnreachable(now);
        } else if (!healthy) {
            server.ejection().recordCall(false, now);
        }
        if (code == ResultCode.SERVER_CRASHED) {
            router.recordSuspect(fingerprint, headers.getLong(CallHeaders.CRASH, 0));
        }
        if (code == ResultCode.DRAINING && server.isServing()) {
            router.directory().recordEvacuatedGate(server);
        }
        if (code == ResultCode.SLOWER_THAN_TARGET) {
            servers.recordSlow(server);
        }
        if (code == ResultCode.SERVER_REFUSED
                && report.filter(LoadReport::hasFreeSlots).isPresent()) {
            onRefusalDespiteFreeSlots(server, now);
        }
        exchange.discard();
        retryOrFail(code, code.title(), now);
    }

    // A server that refuses calls as all others of its service do is not at fault, and ends a trial like an answer.
    private void onRefusalDespiteFreeSlots(ServerLoad server, long now) {
        shedding.recordRefused(server.node());
        if (shedding.isShedding()) {
            server.ejection().recordCall(true, now);
        }
        if (shedding.isRetryWorthwhile()) {
            recordRetryDelay(RetryDelay.IMMEDIATE_MILLIS);
        }
    }

    private void recordRetryDelay(long millis) {
        if (millis >= 0) {
            retryDelayMillis = retryDelayMillis < 0 ? millis : Math.min(retryDelayMillis, millis);
        }
    }

    /**
     * Returns the result code of an answer that does not come from a backend server. A gate that rejects this node's
     * credential counts as unreachable.
     *
     * @param headers headers of the answer
     * @return the code
     */
    private static ResultCode codeOf(ResponseHeaders headers) {
        ResultCode code = ResultCode.of(headers.get(CallHeaders.CODE)).orElse(ResultCode.CONNECTION_LOST);
        return code == ResultCode.UNAUTHORIZED ? ResultCode.SERVER_UNREACHABLE : code;
    }

    /**
     * Passes the answer of a server that ran the call to the caller, unless it is a server error and the call may be
     * retried.
     *
     * @param server   the server
     * @param exchange the exchange
     * @param headers  headers of the answer
     * @param now      current time, in nanoseconds
     */
    private void onServerAnswer(ServerLoad server, Exchange exchange, ResponseHeaders headers, long now) {
        boolean serverError = headers.status().isServerError();
        attempt.answered(headers.status().code(), RunReport.parse(headers.get(CallHeaders.RUN)));
        server.ejection().recordCall(!serverError, now);
        shedding.recordAccepted(server.node());
        boolean streamed = headers.contains(CallHeaders.STREAMED);
        if (streamed || headers.getLong(HttpHeaderNames.CONTENT_LENGTH, Long.MAX_VALUE) > MAX_BUFFERED_ANSWER_BYTES) {
            complete(
                    new Reply(exchange.stream(callerHeaders(headers)), Outcome.RAN, attempt),
                    resultOf(headers.status()));
            return;
        }
        DecisionLog.INSTANCE.answered(
                call.options().id(),
                server.node().value(),
                headers.status().code(),
                servers.attempt(),
                (now - startNanos) / Clock.NANOS_PER_MICRO);
        exchange.aggregate(callerHeaders(headers)).whenComplete((response, truncation) -> {
            if (truncation != null) {
                onFailure(server, new MustardusherException(ResultCode.CONNECTION_LOST, "the answer was cut short"));
                return;
            }
            transferCost.recordCall(body.bufferedData().length() + headers.getLong(HttpHeaderNames.CONTENT_LENGTH, 0));
            Reply reply = new Reply(response, Outcome.RAN, attempt);
            reachedAttempts++;
            if (serverError
                    && idempotent
                    && mayRetry(ResultCode.CONNECTION_LOST, router.clock().nanoTime())) {
                failedReply = reply;
                mayHaveRun = true;
                router.countRetry();
                send();
                return;
            }
            complete(reply, resultOf(headers.status()));
        });
    }

    private static String resultOf(HttpStatus status) {
        if (status.isServerError()) {
            return SERVER_ERROR;
        }
        return status.isClientError() ? CLIENT_ERROR : OK;
    }

    private void complete(Reply reply, String result) {
        call.options().parent().ifPresent(parent -> parent.recordNestedCall(call.service(), true));
        router.countAnswer(call.owner(), result);
        if (failedReply != null && failedReply != reply) {
            failedReply.response().abort();
        }
        answer.complete(reply);
    }

    /**
     * Handles an attempt that failed without a complete answer.
     *
     * @param server  the server
     * @param failure why it failed
     */
    private void onFailure(ServerLoad server, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        MustardusherException coded = (MustardusherException) cause;
        attempt.failed(coded.code().number());
        long now = router.clock().nanoTime();
        if (coded.code() == ResultCode.SERVER_UNREACHABLE) {
            server.ejection().recordUnreachable(now);
        } else if (!cancelled.toCompletableFuture().isDone() && coded.code().outcome() != Outcome.NOT_RUN) {
            server.ejection().recordCall(false, now);
        }
        retryOrFail(coded.code(), coded.getMessage(), now);
    }

    private void retryOrFail(ResultCode code, String detail, long now) {
        if (SERVER_REFUSALS.contains(code) || code.outcome() != Outcome.NOT_RUN) {
            reachedAttempts++;
        }
        mayHaveRun |= code.outcome() != Outcome.NOT_RUN;
        if (mayRetry(code, now)) {
            router.countRetry();
            send();
        } else {
            fail(code, detail);
        }
    }

    /**
     * Decides whether to retry the call. A permitted retry may be charged to the budget.
     *
     * @param code how the current attempt ended
     * @param now  current time, in nanoseconds
     * @return {@code true} to send the call again
     */
    private boolean mayRetry(ResultCode code, long now) {
        ServerPool pool = router.directory().pool(call.service());
        if (cancelled.toCompletableFuture().isDone()
                || !router.maySend(call.deadlineNanos())
                || !servers.mayBeAcceptedElsewhere(code, pool, now)) {
            return false;
        }
        if (code == ResultCode.SERVER_REFUSED && !shedding.isRetryWorthwhile()) {
            return false;
        }
        return retryPolicy.mayRetry(new FailedAttempt(
                servers.attempt(),
                reachedAttempts,
                call.options().maxReachedAttempts(),
                code,
                idempotent,
                body.isReplayable(),
                call.retry(),
                call.deadlineNanos() - now,
                new SpendingRank(call.serviceClass(), call.options().parent().isPresent())));
    }

    /**
     * Ends the call without a further answer. The server error of an earlier attempt is returned if there is one. A
     * code that means "not run" is replaced if an earlier attempt may have run.
     *
     * @param code   why the last attempt ended
     * @param detail description for the caller
     */
    private void fail(ResultCode code, String detail) {
        if (failedReply != null) {
            complete(failedReply, SERVER_ERROR);
            return;
        }
        boolean certain = !mayHaveRun || code.outcome() != Outcome.NOT_RUN;
        ResultCode reported = certain ? code : ResultCode.RETRY_REFUSED;
        if (reported.outcome() == Outcome.NOT_RUN && !UNRELATED_TO_ROOM.contains(code)) {
            call.options().parent().ifPresent(parent -> parent.recordNestedCall(call.service(), false));
        }
        router.countAnswer(call.owner(), reported.label());
        NodeLog.DECISIONS.callFailed(
                LoggedName.of(call.options().id()),
                call.service().value(),
                reported.number(),
                servers.attempt(),
                detail);
        answer.complete(new Reply(Problem.response(reported, detail, retryDelayMillis), reported.outcome()));
    }

    /**
     * Converts the headers of a backend server's answer for the caller: removes what is meant for nodes only and adds
     * the result code.
     *
     * @param headers headers as received from the gate
     * @return headers for the caller
     */
    private static ResponseHeaders callerHeaders(ResponseHeaders headers) {
        ResponseHeadersBuilder builder = headers.toBuilder();
        builder.remove(CallHeaders.LOAD);
        builder.remove(CallHeaders.RUN);
        builder.remove(CallHeaders.CONDITIONS);
        builder.remove(CallHeaders.STREAMED);
        builder.set(CallHeaders.CODE, Integer.toString(ResultCode.OK.number()));
        return builder.build();
    }

    /**
     * Logs the choice of a server.
     *
     * @param server the chosen server
     * @param pool   servers of the service
     */
    private void logChoice(ServerLoad server, ServerPool pool) {
        if (!NodeLog.DECISIONS.isInfoEnabled()) {
            return;
        }
        long micros = expectedNanos / Clock.NANOS_PER_MICRO;
        String policy = call.entry().policy().token();
        DecisionLog.INSTANCE.routed(
                call.options().id(),
                call.service().value(),
                server.node().value(),
                policy,
                servers.attempt(),
                micros,
                pool.size());
    }
}
