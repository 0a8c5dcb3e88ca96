package io.mustardusher.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.Fingerprint;
import io.mustardusher.call.Problem;
import io.mustardusher.claim.ClaimEpoch;
import io.mustardusher.claim.ClaimGroup;
import io.mustardusher.claim.IdempotencyKey;
import io.mustardusher.claim.Keeper;
import io.mustardusher.keys.GroupCache;
import io.mustardusher.keys.KeyedCalls;
import io.mustardusher.log.NodeLog;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;

/**
 * Routes calls with an idempotency key to the home of the key. A call is sent again if the home does not answer: the
 * home runs a key only once, however often it receives it.
 */
public final class HomeRouter {

    /** Maximum number of attempts of one call. */
    private static final int MAX_ATTEMPTS = 4;

    /** Delay before the next attempt, multiplied by the number of attempts made, in milliseconds. */
    private static final long BACKOFF_STEP_MILLIS = 40;

    /** The process of this node. */
    private final Keeper self;

    /** The keepers of each service. */
    private final GroupCache groups;

    /** Routes calls for whose keys this node is the home. */
    private final Router router;

    /** Calls for whose keys this node is the home. */
    private final KeyedCalls keyedCalls;

    private final ScheduledExecutorService timers;

    private final Clock clock;

    /**
     * Creates a router.
     *
     * @param self       the process of this node
     * @param groups     the keepers of each service
     * @param router     routes calls for whose keys this node is the home
     * @param keyedCalls calls for whose keys this node is the home
     * @param timers     executor of timers
     * @param clock      source of time
     */
    public HomeRouter(
            Keeper self,
            GroupCache groups,
            Router router,
            KeyedCalls keyedCalls,
            ScheduledExecutorService timers,
            Clock clock) {
        this.self = self;
        this.groups = groups;
        this.router = router;
        this.keyedCalls = keyedCalls;
        this.timers = timers;
        this.clock = clock;
    }

    /**
     * Routes a call to the home of its key. The home completes the call even if the caller cancels it.
     *
     * @param call the call
     * @param body body of the call
     * @return response for the caller
     */
    CompletableFuture<HttpResponse> route(Call call, CallBody.Buffered body) {
        return send(call, body, 1).thenApply(AggregatedHttpResponse::toHttpResponse);
    }

    /**
     * Handles a call as the home of its key.
     *
     * @param call the call
     * @param body body of the call
     * @return the answer
     */
    CompletableFuture<HttpResponse> handleAsHome(Call call, CallBody.Buffered body) {
        IdempotencyKey key = call.key().orElseThrow();
        long hash = Fingerprint.of(call.service().value(), call.headers(), body.data());
        CompletableFuture<Void> neverCancelled = new CompletableFuture<>();
        return keyedCalls.handle(call, key, hash, () -> router.route(call, body, false, neverCancelled));
    }

    /**
     * Sends a call to the home of its key, repeatedly if necessary.
     *
     * @param call    the call
     * @param body    body of the call
     * @param attempt number of the attempt, from 1
     * @return the answer
     */
    private CompletableFuture<AggregatedHttpResponse> send(Call call, CallBody.Buffered body, int attempt) {
        return groups.find(call.service().value(), attempt > 1)
                .thenCompose(group -> sendTo(call, body, attempt, group))
                .exceptionally(failure -> unavailable("the home does not answer"))
                .thenCompose(answer -> mayRetry(call, attempt, answer)
                        ? backOff(attempt).thenCompose(ignored -> send(call, body, attempt + 1))
                        : CompletableFuture.completedFuture(answer));
    }

    /**
     * Sends a call to the home of its key in a group of keepers.
     *
     * @param call    the call
     * @param body    body of the call
     * @param attempt number of the attempt, from 1
     * @param group   the keepers, or empty if they are not known
     * @return the answer
     */
    private CompletableFuture<AggregatedHttpResponse> sendTo(
            Call call, CallBody.Buffered body, int attempt, Optional<ClaimGroup> group) {
        if (group.isEmpty()) {
            return CompletableFuture.completedFuture(unavailable("the keepers are not known"));
        }
        ClaimEpoch epoch = group.get().current();
        Keeper home = epoch.pairFor(call.key().orElseThrow()).home();
        NodeLog.DECISIONS.routedToHome(call.service().value(), home.id(), epoch.number());
        if (home.equals(self)) {
            return handleAsHome(call, body).thenCompose(HttpResponse::aggregate);
        }
        Optional<GateLink> link = router.directory().link(home.id(), home.boot());
        if (link.isEmpty()) {
            return CompletableFuture.completedFuture(unavailable("the home is not present"));
        }
        long remainingNanos = call.deadlineNanos() - clock.nanoTime();
        RequestHeaders headers = call.headersForNode(attempt, remainingNanos, 0)
                .set(CallHeaders.ROLE, CallHeaders.ROLE_HOME)
                .build();
        Exchange exchange = link.get().send(body.toRequest(headers), remainingNanos, new CompletableFuture<Void>());
        return exchange.headers().thenCompose(answer -> exchange.stream(answer).aggregate());
    }

    /**
     * Returns whether a call may be sent to a home again.
     *
     * @param call    the call
     * @param attempt number of the last attempt
     * @param answer  answer of the last attempt
     * @return {@code true} if the home was unavailable and both attempts and time remain
     */
    private boolean mayRetry(Call call, int attempt, AggregatedHttpResponse answer) {
        String code = answer.headers().get(CallHeaders.CODE);
        boolean unavailable =
                Integer.toString(ResultCode.KEEPER_UNAVAILABLE.number()).equals(code);
        long remainingNanos = call.deadlineNanos() - clock.nanoTime();
        return unavailable
                && attempt < MAX_ATTEMPTS
                && remainingNanos > attempt * BACKOFF_STEP_MILLIS * Clock.NANOS_PER_MILLI;
    }

    /**
     * Waits before the next attempt.
     *
     * @param attempt number of the last attempt
     * @return completes when the next attempt is due
     */
    private CompletableFuture<Void> backOff(int attempt) {
        CompletableFuture<Void> due = new CompletableFuture<>();
        timers.schedule(() -> due.complete(null), attempt * BACKOFF_STEP_MILLIS, TimeUnit.MILLISECONDS);
        return due;
    }

    /**
     * Creates the answer of an attempt that could not reach a home or got no answer from it.
     *
     * @param detail why the home is unavailable
     * @return the answer
     */
    private static AggregatedHttpResponse unavailable(String detail) {
        return Problem.response(ResultCode.KEEPER_UNAVAILABLE, detail)
                .aggregate()
                .join();
    }
}
