package io.mustardusher.entry;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.mustardusher.account.Account;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.call.BodyCollector;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.Problem;
import io.mustardusher.catalogue.CatalogueEntry;
import io.mustardusher.http.RequestExchange;
import io.mustardusher.http.RequestHandler;
import io.mustardusher.log.LoggedName;
import io.mustardusher.log.NodeLog;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.mustardusher.time.GraceTime;
import io.netty.util.concurrent.EventExecutor;

/** Accepts the calls of callers and routes them, as the service of an HTTP server or as the handler of a listener. */
public final class Entry implements HttpService, RequestHandler {

    /** Largest body of a call without an idempotency key that is buffered rather than streamed, in bytes. */
    private static final long MAX_BUFFERED_BODY_BYTES = 64L << 10;

    /** Largest body of a call with an idempotency key, in bytes. */
    private static final long MAX_KEYED_BODY_BYTES = 1L << 20;

    /** Rejections that are not due to a fault of the request. */
    private static final Set<ResultCode> TRANSIENT_REJECTIONS = EnumSet.of(
            ResultCode.NODE_STARTING,
            ResultCode.NODE_STOPPING,
            ResultCode.DEADLINE_EXPIRED,
            ResultCode.OVERLOADED,
            ResultCode.ROUTE_UNREADABLE,
            ResultCode.CANCELLED);

    /** Routes calls to gates. */
    private final Router router;

    /** Routes calls with an idempotency key to the homes of their keys. */
    private final HomeRouter homes;

    private final CallerProtocol protocol;

    /** Receives the catalogue entry of each call. */
    private final Consumer<CatalogueEntry> callListener;

    private final EventLoopDelay eventLoopDelay;

    private final Clock clock;

    private final CallerConnections callerConnections = new CallerConnections();

    private final InFlightCalls inFlight = new InFlightCalls();

    private final MetricRegistry metrics;

    /** Time from the arrival of a call to the end of its response. */
    private final Timer served;

    /** Limits the calls of client accounts; {@code null} if nothing does. */
    private AccountAllowances allowances;

    /** Memory for long bodies; {@code null} if they are streamed from their first byte. */
    private BodyMemory bodyMemory;

    /** Bodies that have not arrived whole, and are not being sent to a server. */
    private final Set<IncompleteBody> incompleteBodies = ConcurrentHashMap.newKeySet();

    private final GraceTime graceTime = new GraceTime();

    /** Whether callers' connections are closed after their next response. */
    private volatile boolean draining;

    /**
     * Creates an entry.
     *
     * @param router         routes calls to gates
     * @param homes          routes calls with an idempotency key to the homes of their keys
     * @param protocol       reads calls from requests and writes responses
     * @param callListener   receives the catalogue entry of each call
     * @param eventLoopDelay decides which calls are rejected while this node's own tasks run late
     * @param clock          source of time
     * @param metrics        registry of metrics
     */
    public Entry(
            Router router,
            HomeRouter homes,
            CallerProtocol protocol,
            Consumer<CatalogueEntry> callListener,
            EventLoopDelay eventLoopDelay,
            Clock clock,
            MetricRegistry metrics) {
        this.router = router;
        this.homes = homes;
        this.protocol = protocol;
        this.callListener = callListener;
        this.eventLoopDelay = eventLoopDelay;
        this.clock = clock;
        this.metrics = metrics;
        this.served = metrics.timer("entry.served");
        metrics.gauge("entry.inside", () -> this::inFlight);
    }

    /**
     * Returns the detector of callers' disconnects, which the listener adds to the pipeline of each connection.
     *
     * @return the connections of callers
     */
    public CallerConnections callerConnections() {
        return callerConnections;
    }

    /**
     * Sets what limits the calls of client accounts. Called before the first call.
     *
     * @param accountAllowances the limits
     */
    public void limitAccounts(AccountAllowances accountAllowances) {
        allowances = accountAllowances;
    }

    /**
     * Sets the memory in which long bodies are collected as far as they are held. Called before the first call.
     *
     * @param memory the memory
     */
    public void collectLongBodies(BodyMemory memory) {
        bodyMemory = memory;
    }

    /** Closes each caller's connection after its next response. Calls are still accepted. */
    public void drainConnections() {
        draining = true;
    }

    /**
     * Rejects further calls, and those that have not been passed on unless they end before the node does. Calls whose
     * body is incomplete are not passed on when it is complete: they are rejected now.
     *
     * @param endNanos time at which the node ends, in nanoseconds of its clock
     */
    public void stop(long endNanos) {
        graceTime.begin(endNanos);
        router.stop(endNanos);
        incompleteBodies.forEach(this::rejectUnlessPermitted);
    }

    /**
     * Returns the number of calls whose response is not complete.
     *
     * @return number of calls
     */
    public int inFlight() {
        return inFlight.count();
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        return handle(request, callerConnections.exchange(context));
    }

    @Override
    public HttpResponse handle(HttpRequest request, RequestExchange exchange) {
        long startNanos = clock.nanoTime();
        Runnable end = inFlight.start();
        // Also completes if the connection is lost before the response has a subscriber, or if this method throws.
        exchange.ended().thenRun(end);
        boolean unanswerable = exchange.isUnanswerable();
        if (draining && !unanswerable) {
            exchange.closeAfterResponse();
        }
        CallTrace trace = CallTrace.start(clock);
        HttpResponse response;
        try {
            if (unanswerable) {
                throw new MustardusherException(ResultCode.NODE_STOPPING, "the connection closes before this call");
            }
            response = accept(exchange, request, trace);
        } catch (MustardusherException e) {
            response = reject(request, e);
        }
        response = trace.observe(protocol.write(request.headers(), response), protocol);
        response.whenComplete().whenComplete((ignored, failure) -> {
            if (failure != null) {
                exchange.cancelled().complete(null);
            }
            exchange.responseProduced();
            served.update(clock.nanoTime() - startNanos, TimeUnit.NANOSECONDS);
            trace.end(failure == null);
        });
        return response;
    }

    /**
     * Handles a call that another entry has routed to this node as the home of its key.
     *
     * @param request the request, with the headers that only nodes set
     * @return response for the other entry
     */
    public HttpResponse serveAsHome(HttpRequest request) {
        try {
            Call call = protocol.read(request.headers(), clock.nanoTime());
            return HttpResponse.of(request.aggregate()
                    .thenCompose(aggregated -> homes.handleAsHome(call, toBody(aggregated)))
                    .exceptionally(Problem::response));
        } catch (MustardusherException e) {
            return reject(request, e);
        }
    }

    /**
     * Accepts a call.
     *
     * @param exchange the request's place on its connection
     * @param request  the request
     * @param trace    records what happens to the call
     * @return response for the caller
     */
    private HttpResponse accept(RequestExchange exchange, HttpRequest request, CallTrace trace) {
        if (graceTime.hasBegun()) {
            throw stoppingRejection();
        }
        Call call = protocol.read(request.headers(), clock.nanoTime());
        if (eventLoopDelay.rejects(call.serviceClass())) {
            throw new MustardusherException(ResultCode.OVERLOADED, "this node is behind with its work");
        }
        callListener.accept(call.entry());
        boolean idempotent = call.isIdempotent();
        boolean keyed = !idempotent && call.key().isPresent();
        if (!idempotent && !keyed && call.entry().keyRequired()) {
            throw new MustardusherException(ResultCode.KEY_REQUIRED, "the service takes no such call without a key");
        }
        CallLimits.check(request.headers(), protocol.limits());
        long length = request.isEmpty() ? 0 : request.headers().getLong("content-length", Long.MAX_VALUE);
        if (keyed) {
            return acceptKeyed(exchange, call, request, length);
        }
        if (length == 0) {
            request.abort();
            return route(exchange, call, request, CallBody.Buffered.EMPTY, trace);
        }
        if (length > MAX_BUFFERED_BODY_BYTES) {
            if (bodyMemory == null) {
                limitBody(exchange, call, request);
                return route(exchange, call, request, new CallBody.Streamed(request), trace);
            }
            return HttpResponse.of(beginBody(exchange, call, request)
                    .thenApply(body -> route(exchange, call, request, body, trace))
                    .exceptionally(failure -> rejectAfterBody(request, failure)));
        }
        return HttpResponse.of(bufferBody(exchange, call, request)
                .thenApply(body -> route(exchange, call, request, body, trace))
                .exceptionally(failure -> rejectAfterBody(request, failure)));
    }

    private static MustardusherException stoppingRejection() {
        return new MustardusherException(ResultCode.NODE_STOPPING, "this node is stopping");
    }

    // A limited call needs its token only now, so that a slow body does not hold one until it expires.
    private HttpResponse route(
            RequestExchange exchange, Call call, HttpRequest request, CallBody body, CallTrace trace) {
        boolean idempotent = call.isIdempotent();
        CompletableFuture<Void> cancelled = exchange.cancelled();
        Optional<Account> limited = call.options().account().filter(Account::isLimited);
        if (limited.isEmpty() || allowances == null) {
            return router.route(call, body, idempotent, cancelled, trace);
        }
        CompletableFuture<Void> token = allowances.acquire(limited.get(), call.deadlineNanos(), cancelled);
        if (token.isDone() && !token.isCompletedExceptionally()) {
            return router.route(call, body, idempotent, cancelled, trace);
        }
        return HttpResponse.of(token.thenApply(granted -> router.route(call, body, idempotent, cancelled, trace))
                .exceptionally(failure -> rejectAfterBody(request, failure)));
    }

    private HttpResponse reject(HttpRequest request, MustardusherException rejection) {
        countRejection(request, rejection);
        return Problem.response(callerRejection(request, rejection));
    }

    private HttpResponse rejectAfterBody(HttpRequest request, Throwable failure) {
        return failure.getCause() instanceof MustardusherException rejection
                ? reject(request, rejection)
                : Problem.response(failure);
    }

    private void countRejection(HttpRequest request, MustardusherException rejection) {
        ResultCode code = rejection.code();
        metrics.counter("entry.rejected." + code.label()).inc();
        // A line for each rejection that is due to load would add to the load.
        if (code.blamesRequest()) {
            RequestHeaders headers = request.headers();
            NodeLog.DECISIONS.callRejected(
                    LoggedName.of(protocol.callName(headers)),
                    code.number(),
                    headers.method().name(),
                    LoggedName.of(headers.authority()),
                    LoggedName.of(headers.path()),
                    rejection.getMessage());
        }
    }

    /**
     * Returns the rejection to report to the caller when a call was rejected before the home of its key received it. A
     * request with a key must not be reported as not run, because an earlier attempt may have run. A fault of the
     * request itself is reported as it is.
     *
     * @param request   the request
     * @param rejection why it was rejected
     * @return the rejection for the caller
     */
    private static MustardusherException callerRejection(HttpRequest request, MustardusherException rejection) {
        boolean keyed = request.headers().contains(CallHeaders.IDEMPOTENCY_KEY);
        boolean transientRejection = TRANSIENT_REJECTIONS.contains(rejection.code());
        return keyed && transientRejection
                ? new MustardusherException(ResultCode.KEEPER_UNAVAILABLE, rejection.getMessage())
                : rejection;
    }

    /**
     * Accepts a call with an idempotency key.
     *
     * @param exchange the request's place on its connection
     * @param call     the call
     * @param request  the request
     * @param length   length of the body, in bytes
     * @return response for the caller
     */
    private HttpResponse acceptKeyed(RequestExchange exchange, Call call, HttpRequest request, long length) {
        if (length > MAX_KEYED_BODY_BYTES) {
            throw new MustardusherException(ResultCode.BODY_TOO_LARGE, "send a body of known length, at most 1 MiB");
        }
        return HttpResponse.of(bufferBody(exchange, call, request)
                .thenCompose(body -> homes.route(call, body))
                .exceptionally(failure -> rejectAfterBody(request, failure)));
    }

    /**
     * Buffers the body of a request. Fails if the body is not complete by the deadline.
     *
     * @param exchange the request's place on its connection
     * @param call     the call
     * @param request  the request
     * @return the body
     */
    private CompletableFuture<CallBody.Buffered> bufferBody(RequestExchange exchange, Call call, HttpRequest request) {
        limitBody(exchange, call, request);
        return request.aggregate(exchange.executor()).handle((aggregated, failure) -> {
            if (failure != null) {
                throw Exchange.bodyLost(failure);
            }
            CallLimits.check(aggregated.content().length(), protocol.limits());
            return toBody(aggregated);
        });
    }

    // A long body is routed once its beginning has arrived, so that a sender who stalls before takes no slot of a
    // server.
    private CompletableFuture<CallBody> beginBody(RequestExchange exchange, Call call, HttpRequest request) {
        IncompleteBody incomplete = limitBody(exchange, call, request);
        return BodyCollector.begin(request, bodyMemory, exchange.executor(), exchange.ended())
                .handle((begun, failure) -> {
                    if (failure != null) {
                        throw Exchange.bodyLost(failure);
                    }
                    return begun;
                })
                .thenCompose(begun -> {
                    if (!begun.isOpen()) {
                        return begun.aggregate(exchange.executor()).thenApply(Entry::toBody);
                    }
                    // Its server may be at work, so that it is not broken off when this node stops.
                    incompleteBodies.remove(incomplete);
                    return CompletableFuture.completedFuture(new CallBody.Streamed(begun));
                });
    }

    private IncompleteBody limitBody(RequestExchange exchange, Call call, HttpRequest request) {
        MustardusherException late = new MustardusherException(ResultCode.DEADLINE_EXPIRED, "the body came too late");
        ScheduledFuture<?> timeout = exchange.executor()
                .schedule(() -> request.abort(late), call.deadlineNanos() - clock.nanoTime(), TimeUnit.NANOSECONDS);
        IncompleteBody incomplete = new IncompleteBody(exchange.executor(), call.deadlineNanos(), request);
        incompleteBodies.add(incomplete);
        request.whenComplete().whenComplete((ignored, failure) -> {
            timeout.cancel(false);
            incompleteBodies.remove(incomplete);
        });
        // The node may have begun to stop meanwhile.
        rejectUnlessPermitted(incomplete);
        return incomplete;
    }

    // On the event loop on which the body arrives: a body whose last byte may have been passed on is complete there.
    private void rejectUnlessPermitted(IncompleteBody body) {
        if (graceTime.permits(body.deadlineNanos)) {
            return;
        }
        body.executor.execute(() -> {
            if (body.request.isOpen()) {
                body.request.abort(stoppingRejection());
            }
        });
    }

    /**
     * Returns the body of an aggregated request.
     *
     * @param request the request
     * @return the body
     */
    private static CallBody.Buffered toBody(AggregatedHttpRequest request) {
        return new CallBody.Buffered(request.content(), request.trailers());
    }

    /**
     * A body that has not arrived whole.
     *
     * @param executor      event loop on which it arrives
     * @param deadlineNanos deadline of the call, in nanoseconds
     * @param request       the request
     */
    private record IncompleteBody(EventExecutor executor, long deadlineNanos, HttpRequest request) {}
}
