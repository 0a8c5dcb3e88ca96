package io.mustardusher.entry;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.Fingerprint;
import io.mustardusher.call.Problem;
import io.mustardusher.call.Timeout;
import io.mustardusher.log.NodeLog;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.retry.Attempt;
import io.mustardusher.retry.RetryPolicy;
import io.mustardusher.routing.Exclusion;
import io.mustardusher.routing.LoadReport;
import io.mustardusher.routing.ServerLoad;
import io.mustardusher.routing.ServerPool;
import io.mustardusher.routing.Transfer;
import io.mustardusher.time.Clock;

/** One call at the entry, from the first choice to the answer that is passed on. */
final class RoutedCall {

    /** Largest answer that is held until it is whole, in bytes; a longer one is streamed and breaks visibly. */
    private static final long WHOLE_ANSWER_BYTES = 1L << 20;

    /** Refusals by the backend server itself. */
    private static final Set<ResultCode> REACHED = EnumSet.of(ResultCode.SERVER_REFUSED);

    private static final String OK = "ok";
    private static final String SERVER_ERROR = "server_error";

    private final Router router;

    private final Call call;

    private final CallBody body;

    /** Whether it may run more than once. */
    private final boolean idempotent;

    /** Decides on further sends. */
    private final RetryPolicy retries;

    /** Completes when the caller has given up. */
    private final CompletionStage<?> cancelled;

    /** Hash over service, method, path and body. */
    private final long fingerprint;

    /** Servers tried. */
    private final Exclusion exclusion = new Exclusion();

    /** Servers whose gates sent the call on because others may be faster. */
    private final List<ServerLoad> sentOnBy = new ArrayList<>(2);

    /** Whether the next gate has to take the call. */
    private boolean mustTake;

    private final CompletableFuture<Reply> answer = new CompletableFuture<>();

    private final long begunNanos;

    private final Transfer transfer;

    /** Number of the present send, from 1. */
    private int attempt;

    /** Expected time to an answer, in nanoseconds. */
    private volatile long expectedNanos;

    /** Sends that may have reached a backend server. */
    private int reached;

    /** Whether an earlier send may have run. */
    private boolean mayHaveRun;

    /** Failure that a server answered, to pass on if no other does better; {@code null} without one. */
    private Reply failed;

    /**
     * Creates a call.
     *
     * @param router     the router
     * @param call       the call
     * @param body       its body
     * @param idempotent whether it may run more than once
     * @param retries    decides on further sends
     * @param cancelled  completes when the caller has given up
     */
    RoutedCall(
            Router router,
            Call call,
            CallBody body,
            boolean idempotent,
            RetryPolicy retries,
            CompletionStage<?> cancelled) {
        this.router = router;
        this.call = call;
        this.body = body;
        this.idempotent = idempotent;
        this.retries = retries;
        this.cancelled = cancelled;
        this.begunNanos = router.clock().nanoTime();
        this.transfer = router.transfer(call.owner());
        this.fingerprint = Fingerprint.of(call.service().value(), call.headers(), body.forFingerprint());
    }

    /**
     * Starts the first send.
     *
     * @return the answer
     */
    HttpResponse start() {
        return HttpResponse.of(begin().thenApply(Reply::response));
    }

    /**
     * Starts the first send.
     *
     * @return the reply to pass on
     */
    CompletableFuture<Reply> begin() {
        send();
        return answer;
    }

    /**
     * Leaves out the servers that another send of the same call has tried.
     *
     * @param other the other send
     */
    void avoid(RoutedCall other) {
        exclusion.addAll(other.exclusion);
    }

    /**
     * Returns the time to an answer that was expected of the server last chosen.
     *
     * @return time in nanoseconds; 0 before a choice
     */
    long expectedNanos() {
        return expectedNanos;
    }

    /** Chooses a server and sends the call. */
    private void send() {
        attempt++;
        if (cancelled.toCompletableFuture().isDone()) {
            refuse(ResultCode.CANCELLED, "the caller has left");
            return;
        }
        ResultCode refusal = router.refusal(fingerprint);
        if (refusal != null) {
            refuse(refusal, "the call was in flight in two crashes");
            return;
        }
        long now = router.clock().nanoTime();
        ServerPool pool = router.directory().pool(call.service());
        if (!pool.hasServing(exclusion) && !sentOnBy.isEmpty()) {
            // All that are left are slow at the moment, and one of them has to take the call.
            mustTake = true;
            sentOnBy.forEach(exclusion::remove);
            sentOnBy.clear();
        }
        ServerLoad server =
                call.entry().policy().choose(pool, exclusion, ThreadLocalRandom.current(), now, transfer.cost());
        Optional<GateLink> link =
                server == null ? Optional.empty() : router.directory().link(server);
        if (link.isEmpty()) {
            refuse(ResultCode.NO_SERVER, "no server left to try");
            return;
        }
        exclusion.add(server);
        expectedNanos = (long) server.score(now);
        logChoice(server, pool);
        sendTo(server, link.get(), now, pool.hasServing(exclusion));
    }

    /**
     * Sends the call to the gate beside a server.
     *
     * @param server the server
     * @param link   way to the gate
     * @param now    present time, in nanoseconds
     * @param others whether other servers are left to try
     */
    private void sendTo(ServerLoad server, GateLink link, long now, boolean others) {
        long left = call.deadlineNanos() - now;
        if (server.ejection().requiresTrial(now)) {
            server.ejection().startTrial();
        }
        server.sent();
        Exchange exchange = link.send(body.toRequest(headers(left, now, others)), left, cancelled);
        exchange.headers().whenComplete((headers, failure) -> {
            if (failure != null) {
                server.ended();
                lost(server, failure);
            } else {
                answered(server, exchange, headers);
            }
        });
    }

    private RequestHeaders headers(long left, long now, boolean others) {
        RequestHeadersBuilder headers = call.toNode(attempt, left, fingerprint);
        long target = call.terms().targetNanos();
        if (target != Long.MAX_VALUE) {
            headers.set(CallHeaders.TARGET, Timeout.format(begunNanos + target - now));
            if (others && !mustTake && body.isReplayable() && transfer.mayMove(attempt)) {
                headers.set(CallHeaders.MOVABLE, "1");
            }
        }
        return headers.build();
    }

    /**
     * Judges the headers of an answer.
     *
     * @param server   the server
     * @param exchange the exchange
     * @param headers  the headers
     */
    private void answered(ServerLoad server, Exchange exchange, ResponseHeaders headers) {
        long now = router.clock().nanoTime();
        LoadReport.parse(headers.get(CallHeaders.LOAD)).ifPresent(load -> server.report(load, now));
        exchange.whenComplete().whenComplete((done, failure) -> server.ended());
        Outcome outcome = Outcome.of(headers.get(CallHeaders.OUTCOME)).orElse(Outcome.UNKNOWN);
        if (outcome == Outcome.RAN) {
            ran(server, exchange, headers, now);
            return;
        }
        ResultCode code = codeOf(headers);
        boolean healthy = code.outcome() == Outcome.NOT_RUN && code != ResultCode.SERVER_UNREACHABLE;
        if (code == ResultCode.SERVER_UNREACHABLE) {
            server.ejection().recordUnreachable(now);
        } else if (!healthy) {
            server.ejection().recordCall(false, now);
        }
        if (code == ResultCode.SERVER_CRASHED) {
            router.suspect(fingerprint, headers.getLong(CallHeaders.CRASH, 0));
        }
        if (code == ResultCode.SLOWER_THAN_TARGET) {
            sentOnBy.add(server);
        }
        exchange.discard();
        retryOrRefuse(code, code.title(), now);
    }

    /**
     * Reads the code of an answer that no backend server gave. A gate that does not know this node's credential is as
     * good as unreachable.
     *
     * @param headers headers of the answer
     * @return the code
     */
    private static ResultCode codeOf(ResponseHeaders headers) {
        ResultCode code = ResultCode.of(headers.get(CallHeaders.CODE)).orElse(ResultCode.CONNECTION_LOST);
        return code == ResultCode.UNAUTHORIZED ? ResultCode.SERVER_UNREACHABLE : code;
    }

    /**
     * Passes on the answer of a server that ran the call, unless it failed and may be sent elsewhere.
     *
     * @param server   the server
     * @param exchange the exchange
     * @param headers  headers of the answer
     * @param now      present time, in nanoseconds
     */
    private void ran(ServerLoad server, Exchange exchange, ResponseHeaders headers, long now) {
        boolean failure = headers.status().isServerError();
        server.ejection().recordCall(!failure, now);
        if (headers.getLong(HttpHeaderNames.CONTENT_LENGTH, Long.MAX_VALUE) > WHOLE_ANSWER_BYTES) {
            complete(new Reply(exchange.answer(forCaller(headers)), Outcome.RAN), failure);
            return;
        }
        NodeLog.DECISIONS.answered(
                call.terms().id(),
                server.node().value(),
                headers.status().code(),
                attempt,
                (now - begunNanos) / Clock.NANOS_PER_MICRO);
        exchange.whole(forCaller(headers)).whenComplete((whole, cut) -> {
            if (cut != null) {
                lost(server, new MustardusherException(ResultCode.CONNECTION_LOST, "the answer was cut short"));
                return;
            }
            transfer.moved(body.forFingerprint().length() + headers.getLong(HttpHeaderNames.CONTENT_LENGTH, 0));
            Reply reply = new Reply(whole, Outcome.RAN);
            reached++;
            if (failure
                    && idempotent
                    && mayRetry(ResultCode.CONNECTION_LOST, router.clock().nanoTime())) {
                failed = reply;
                mayHaveRun = true;
                router.countResend();
                send();
                return;
            }
            complete(reply, failure);
        });
    }

    private void complete(Reply reply, boolean failure) {
        router.countAnswer(call.owner(), failure ? SERVER_ERROR : OK);
        if (failed != null && failed != reply) {
            failed.response().abort();
        }
        answer.complete(reply);
    }

    /**
     * Judges a send that brought no answer.
     *
     * @param server  the server
     * @param failure why
     */
    private void lost(ServerLoad server, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        MustardusherException coded = (MustardusherException) cause;
        long now = router.clock().nanoTime();
        if (coded.code() == ResultCode.SERVER_UNREACHABLE) {
            server.ejection().recordUnreachable(now);
        } else if (!cancelled.toCompletableFuture().isDone()) {
            server.ejection().recordCall(false, now);
        }
        retryOrRefuse(coded.code(), coded.getMessage(), now);
    }

    private void retryOrRefuse(ResultCode code, String detail, long now) {
        if (REACHED.contains(code) || code.outcome() != Outcome.NOT_RUN) {
            reached++;
        }
        mayHaveRun |= code.outcome() != Outcome.NOT_RUN;
        if (mayRetry(code, now)) {
            router.countResend();
            send();
        } else {
            refuse(code, detail);
        }
    }

    /**
     * Decides on a further send.
     *
     * @param code how the present send ended
     * @param now  present time, in nanoseconds
     * @return {@code true} to send again
     */
    private boolean mayRetry(ResultCode code, long now) {
        if (cancelled.toCompletableFuture().isDone()) {
            return false;
        }
        return retries.mayRetry(new Attempt(
                attempt,
                reached,
                call.terms().maxReached(),
                code,
                idempotent,
                body.isReplayable(),
                call.resent(),
                call.deadlineNanos() - now));
    }

    /**
     * Ends the call without an answer of a server. A refusal is not passed on as "not run" if an earlier send may have
     * run.
     *
     * @param code   why
     * @param detail what happened
     */
    private void refuse(ResultCode code, String detail) {
        if (failed != null) {
            complete(failed, true);
            return;
        }
        boolean proven = !mayHaveRun || code.outcome() != Outcome.NOT_RUN;
        ResultCode told = proven ? code : ResultCode.RETRY_REFUSED;
        router.countAnswer(call.owner(), told.label());
        NodeLog.DECISIONS.notRouted(call.terms().id(), call.service().value(), told.number(), attempt, detail);
        answer.complete(new Reply(Problem.response(told, detail), told.outcome()));
    }

    /**
     * Writes the headers of a backend server's answer for the caller.
     *
     * @param headers headers as they came from the gate
     * @return the headers
     */
    private static ResponseHeaders forCaller(ResponseHeaders headers) {
        ResponseHeadersBuilder passed = headers.toBuilder();
        passed.remove(CallHeaders.LOAD);
        passed.remove(CallHeaders.CRASH);
        passed.set(CallHeaders.CODE, Integer.toString(ResultCode.OK.number()));
        return passed.build();
    }

    /**
     * Logs a choice.
     *
     * @param server the server
     * @param pool   servers to choose from
     */
    private void logChoice(ServerLoad server, ServerPool pool) {
        if (!NodeLog.DECISIONS.isInfoEnabled()) {
            return;
        }
        long micros = expectedNanos / Clock.NANOS_PER_MICRO;
        String policy = call.entry().policy().token();
        NodeLog.DECISIONS.routed(
                call.terms().id(), call.service().value(), server.node().value(), policy, attempt, micros, pool.size());
    }
}
