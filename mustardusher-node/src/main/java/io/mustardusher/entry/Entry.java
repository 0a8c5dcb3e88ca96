package io.mustardusher.entry;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallDialect;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Problem;
import io.mustardusher.catalogue.CatalogueEntry;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;

/** The callers' listener. */
public final class Entry implements HttpService {

    /** Largest body that is held whole, in bytes. */
    private static final long WHOLE_BYTES = 64L << 10;

    /** Largest body of a call with a key, in bytes. */
    private static final long KEYED_BYTES = 1L << 20;

    /** Refusals that say nothing of the request itself. */
    private static final Set<ResultCode> PASSING =
            EnumSet.of(ResultCode.NODE_STARTING, ResultCode.NODE_STOPPING, ResultCode.DEADLINE_EXPIRED);

    /** Brings calls to gates. */
    private final Router router;

    /** Brings calls with keys to their homes. */
    private final HomeRouter homes;

    private final CallDialect dialect;

    /** Told of the entry of each call. */
    private final Consumer<CatalogueEntry> called;

    private final EventLoopDelay stall;

    private final Clock clock;

    private final CallerConnections connections = new CallerConnections();

    /** Calls whose answer has not ended. */
    private final AtomicInteger inside = new AtomicInteger();

    /** Time until the answer begins. */
    private final Timer served;

    /** Whether the node is stopping. */
    private volatile boolean stopping;

    private volatile boolean leaving;

    /**
     * Creates an entry.
     *
     * @param router    brings calls to gates
     * @param homes     brings calls with keys to their homes
     * @param dialect how callers state calls
     * @param called  told of the entry of each call
     * @param stall   how far the node is behind
     * @param clock     source of time
     * @param metrics   registry of metrics
     */
    public Entry(
            Router router,
            HomeRouter homes,
            CallDialect dialect,
            Consumer<CatalogueEntry> called,
            EventLoopDelay stall,
            Clock clock,
            MetricRegistry metrics) {
        this.router = router;
        this.homes = homes;
        this.dialect = dialect;
        this.called = called;
        this.stall = stall;
        this.clock = clock;
        this.served = metrics.timer("entry.served");
        metrics.gauge("entry.inside", () -> this::inside);
    }

    /**
     * Returns the watch over callers' connections, for the listener that accepts them.
     *
     * @return the watch
     */
    public CallerConnections connections() {
        return connections;
    }

    /** Closes callers' connections after their next answer, and still takes calls. */
    public void leave() {
        leaving = true;
    }

    /** Refuses further calls. */
    public void stop() {
        stopping = true;
    }

    /**
     * Returns the calls whose answer has not ended.
     *
     * @return number of calls
     */
    public int inside() {
        return inside.get();
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        long begun = clock.nanoTime();
        inside.incrementAndGet();
        if (leaving) {
            context.initiateConnectionShutdown();
        }
        // A caller that leaves shows first at its connection; on a connection of many calls, in the context or the
        // answer.
        CompletableFuture<Void> left = new CompletableFuture<>();
        Runnable unwatch = connections.watch(context.remoteAddress(), left);
        context.whenRequestCancelling().thenRun(() -> left.complete(null));
        HttpResponse response;
        try {
            response = accept(context, request, left);
        } catch (MustardusherException e) {
            response = Problem.response(refusal(request, e));
        }
        response = dialect.write(request.headers(), response);
        response.whenComplete().whenComplete((done, failure) -> {
            if (failure != null) {
                left.complete(null);
            }
            unwatch.run();
            inside.decrementAndGet();
            served.update(clock.nanoTime() - begun, TimeUnit.NANOSECONDS);
        });
        return response;
    }

    /**
     * Handles a call that another entry brings to this node as the home of its key.
     *
     * @param request the request, with the headers that nodes set
     * @return the answer
     */
    public HttpResponse serveAsHome(HttpRequest request) {
        try {
            Call call = dialect.read(request.headers(), clock.nanoTime());
            return HttpResponse.of(request.aggregate()
                    .thenCompose(aggregated -> homes.handleAsHome(call, body(aggregated)))
                    .exceptionally(Problem::response));
        } catch (MustardusherException e) {
            return Problem.response(refusal(request, e));
        }
    }

    /**
     * Accepts a call.
     *
     * @param context context of the request
     * @param request the request
     * @param cancelled completes when the caller has given up
     * @return the answer
     */
    private HttpResponse accept(ServiceRequestContext context, HttpRequest request, CompletableFuture<Void> cancelled) {
        if (stopping) {
            throw new MustardusherException(ResultCode.NODE_STOPPING, "this node is stopping");
        }
        Call call = dialect.read(request.headers(), clock.nanoTime());
        if (stall.rejects(call.serviceClass())) {
            throw new MustardusherException(ResultCode.OVERLOADED, "this node is behind with its work");
        }
        called.accept(call.entry());
        boolean idempotent = call.isIdempotent();
        boolean keyed = !idempotent && call.key().isPresent();
        if (!idempotent && !keyed && call.entry().keyRequired()) {
            throw new MustardusherException(ResultCode.KEY_REQUIRED, "the service takes no such call without a key");
        }
        CallLimits.check(request.headers(), dialect.limits());
        long length = request.isEmpty() ? 0 : request.headers().getLong("content-length", Long.MAX_VALUE);
        if (keyed) {
            return acceptKeyed(context, call, request, length);
        }
        if (length == 0) {
            request.abort();
            return router.route(call, CallBody.Whole.EMPTY, idempotent, cancelled);
        }
        if (length > WHOLE_BYTES) {
            return router.route(call, new CallBody.Streamed(request), idempotent, cancelled);
        }
        return HttpResponse.of(whole(context, call, request)
                .thenApply(body -> router.route(call, body, idempotent, cancelled))
                .exceptionally(Problem::response));
    }

    /**
     * Words a refusal made before the home of a key was asked. Of a request with a key this node cannot say that it was
     * not run, for an earlier send may have run; that the request itself is wrong, it can.
     *
     * @param request the request
     * @param refusal the refusal
     * @return the refusal for the caller
     */
    private static MustardusherException refusal(HttpRequest request, MustardusherException refusal) {
        boolean keyed = request.headers().contains(CallHeaders.IDEMPOTENCY_KEY);
        boolean passing = PASSING.contains(refusal.code());
        return keyed && passing
                ? new MustardusherException(ResultCode.KEEPER_UNAVAILABLE, refusal.getMessage())
                : refusal;
    }

    /**
     * Accepts a call with a key.
     *
     * @param context   context of the request
     * @param call      the call
     * @param request   the request
     * @param length    length of the body, in bytes
     * @return the answer
     */
    private HttpResponse acceptKeyed(ServiceRequestContext context, Call call, HttpRequest request, long length) {
        if (length > KEYED_BYTES) {
            throw new MustardusherException(ResultCode.BODY_TOO_LARGE, "send a body of known length, at most 1 MiB");
        }
        return HttpResponse.of(whole(context, call, request)
                .thenCompose(body -> homes.route(call, body))
                .exceptionally(Problem::response));
    }

    /**
     * Waits for the whole body, until the deadline.
     *
     * @param context context of the request
     * @param call    the call
     * @param request the request
     * @return the body
     */
    private CompletableFuture<CallBody.Whole> whole(ServiceRequestContext context, Call call, HttpRequest request) {
        MustardusherException late = new MustardusherException(ResultCode.DEADLINE_EXPIRED, "the body came too late");
        ScheduledFuture<?> limit = context.eventLoop()
                .schedule(() -> request.abort(late), call.deadlineNanos() - clock.nanoTime(), TimeUnit.NANOSECONDS);
        return request.aggregate().handle((aggregated, failure) -> {
            limit.cancel(false);
            if (failure != null) {
                boolean expired = failure.getCause() == late || failure == late;
                throw expired
                        ? late
                        : new MustardusherException(ResultCode.REQUEST_MALFORMED, "the body was cut short");
            }
            CallLimits.check(aggregated.content().length(), dialect.limits());
            return body(aggregated);
        });
    }

    /**
     * Takes the body of a request.
     *
     * @param request the request
     * @return the body
     */
    private static CallBody.Whole body(AggregatedHttpRequest request) {
        return new CallBody.Whole(request.content(), request.trailers());
    }
}
