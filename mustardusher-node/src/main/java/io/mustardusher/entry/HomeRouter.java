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
 * Brings calls with keys to the homes of their keys. A send to a home that brings nothing back is repeated, for the
 * home runs a key once however often it comes.
 */
public final class HomeRouter {

    /** Most sends of one call. */
    private static final int MAX_SENDS = 4;

    /** Time before the next send, times the number of sends, in milliseconds. */
    private static final long BACKOFF_MILLIS = 40;

    /** This node's process. */
    private final Keeper self;

    /** The keepers of each service. */
    private final GroupCache groups;

    /** Brings calls to gates. */
    private final Router router;

    /** This node as a home. */
    private final KeyedCalls keyedCalls;

    private final ScheduledExecutorService timers;

    private final Clock clock;

    /**
     * Creates a router.
     *
     * @param self       this node's process
     * @param groups     the keepers of each service
     * @param router     brings calls to gates
     * @param keyedCalls this node as a home
     * @param timers     runs timers
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
     * Brings a call to the home of its key. The call goes on there when its caller gives up.
     *
     * @param call the call
     * @param body its body
     * @return the answer
     */
    CompletableFuture<HttpResponse> route(Call call, CallBody.Whole body) {
        return send(call, body, 1).thenApply(AggregatedHttpResponse::toHttpResponse);
    }

    /**
     * Handles a call as the home of its key.
     *
     * @param call the call
     * @param body its body
     * @return the answer
     */
    CompletableFuture<HttpResponse> handleAsHome(Call call, CallBody.Whole body) {
        IdempotencyKey key = call.key().orElseThrow();
        long hash = Fingerprint.of(call.service().value(), call.headers(), body.data());
        CompletableFuture<Void> never = new CompletableFuture<>();
        return keyedCalls.handle(call, key, hash, () -> router.route(call, body, false, never));
    }

    /**
     * Sends a call to the home of its key.
     *
     * @param call   the call
     * @param body   its body
     * @param number number of the send, from 1
     * @return the answer
     */
    private CompletableFuture<AggregatedHttpResponse> send(Call call, CallBody.Whole body, int number) {
        return groups.find(call.service().value(), number > 1)
                .thenCompose(group -> sendTo(call, body, number, group))
                .exceptionally(failure -> unavailable("the home does not answer"))
                .thenCompose(answer -> mayRepeat(call, number, answer)
                        ? later(number).thenCompose(done -> send(call, body, number + 1))
                        : CompletableFuture.completedFuture(answer));
    }

    /**
     * Sends a call to the home of its key among keepers.
     *
     * @param call   the call
     * @param body   its body
     * @param number number of the send
     * @param group  the keepers, or empty if they are not known
     * @return the answer
     */
    private CompletableFuture<AggregatedHttpResponse> sendTo(
            Call call, CallBody.Whole body, int number, Optional<ClaimGroup> group) {
        if (group.isEmpty()) {
            return CompletableFuture.completedFuture(unavailable("the keepers are not known"));
        }
        ClaimEpoch epoch = group.get().current();
        Keeper home = epoch.pairFor(call.key().orElseThrow()).home();
        NodeLog.DECISIONS.placed(call.service().value(), home.id(), epoch.number());
        if (home.equals(self)) {
            return handleAsHome(call, body).thenCompose(HttpResponse::aggregate);
        }
        Optional<GateLink> link = router.directory().link(home.id(), home.boot());
        if (link.isEmpty()) {
            return CompletableFuture.completedFuture(unavailable("the home is not present"));
        }
        long left = call.deadlineNanos() - clock.nanoTime();
        RequestHeaders headers = call.toNode(number, left, 0)
                .set(CallHeaders.ROLE, CallHeaders.ROLE_HOME)
                .build();
        Exchange exchange = link.get().send(body.toRequest(headers), left, new CompletableFuture<Void>());
        return exchange.headers().thenCompose(answer -> exchange.answer(answer).aggregate());
    }

    /**
     * Tells whether a call may be sent to a home again.
     *
     * @param call   the call
     * @param number number of the last send
     * @param answer what it brought
     * @return {@code true} if it may
     */
    private boolean mayRepeat(Call call, int number, AggregatedHttpResponse answer) {
        String code = answer.headers().get(CallHeaders.CODE);
        boolean unavailable =
                Integer.toString(ResultCode.KEEPER_UNAVAILABLE.number()).equals(code);
        long left = call.deadlineNanos() - clock.nanoTime();
        return unavailable && number < MAX_SENDS && left > number * BACKOFF_MILLIS * Clock.NANOS_PER_MILLI;
    }

    /**
     * Waits before the next send.
     *
     * @param number number of the last send
     * @return completes when it is time
     */
    private CompletableFuture<Void> later(int number) {
        CompletableFuture<Void> due = new CompletableFuture<>();
        timers.schedule(() -> due.complete(null), number * BACKOFF_MILLIS, TimeUnit.MILLISECONDS);
        return due;
    }

    /**
     * Writes the answer of a send that brought nothing.
     *
     * @param detail what happened
     * @return the answer
     */
    private static AggregatedHttpResponse unavailable(String detail) {
        return Problem.response(ResultCode.KEEPER_UNAVAILABLE, detail)
                .aggregate()
                .join();
    }
}
