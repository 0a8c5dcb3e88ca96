package io.mustardusher.server;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Problem;
import io.mustardusher.call.RunReport;
import io.mustardusher.log.DecisionLog;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;

/** One request to a backend server and its response. Confined to the event loop of the link. */
final class ServerExchange {

    private final ServerDialect dialect;
    private final ServerReports reports;
    private final Clock clock;
    private final CompletableFuture<AggregatedHttpResponse> response;
    private RequestHeaders request;
    private String instance;
    private long sentNanos;
    private ServerConnection connection;
    private ScheduledFuture<?> timeout;

    /** Receives a response that is passed on as it arrives; {@code null} if none may be. */
    private Consumer<HttpResponse> passedOn;

    private boolean unmodified;

    ServerExchange(
            ServerDialect dialect,
            ServerReports reports,
            Clock clock,
            CompletableFuture<AggregatedHttpResponse> response) {
        this.dialect = dialect;
        this.reports = reports;
        this.clock = clock;
        this.response = response;
    }

    // Creates an exchange that sends the request unmodified and does not classify the response.
    static ServerExchange ofUnmodified(
            ServerDialect dialect,
            ServerReports reports,
            Clock clock,
            CompletableFuture<AggregatedHttpResponse> response) {
        ServerExchange exchange = new ServerExchange(dialect, reports, clock, response);
        exchange.unmodified = true;
        return exchange;
    }

    boolean isDone() {
        return response.isDone();
    }

    void setTimeout(ScheduledFuture<?> scheduled) {
        timeout = scheduled;
    }

    // Assigns the connection that carries this exchange and returns the headers to send on it.
    RequestHeaders assign(ServerConnection assigned, RequestHeaders call, String targetInstance, long remainingNanos) {
        connection = assigned;
        instance = targetInstance;
        sentNanos = clock.nanoTime();
        request = unmodified
                ? call
                : dialect.requestHeaders(CallHeaders.copyForServer(call), targetInstance, remainingNanos);
        return request;
    }

    // Returns the identifier of the assigned request, which its responses repeat.
    Optional<String> requestId() {
        return dialect.requestId(request);
    }

    // Returns whether a response names the request, or the request has no identifier that it could repeat.
    boolean isNamedBy(ResponseHeaders headers) {
        return dialect.requestId(headers).equals(requestId());
    }

    // Returns whether a response is a late one to a request that its connection has carried.
    boolean isLate(HttpHeaders headers, CarriedRequests carried) {
        return dialect.requestId(headers).filter(carried::contains).isPresent();
    }

    // Returns whether headers of a response name a server instance, as those of responses to health probes do.
    boolean isInstanceNamed(HttpHeaders headers) {
        return dialect.instance(
                        ResponseHeaders.builder(HttpStatus.OK).add(headers).build())
                .isPresent();
    }

    // Returns whether a response names no other server instance than the one that the request is meant for.
    boolean isFromInstance(ResponseHeaders headers) {
        return instance == null
                || dialect.instance(headers).map(instance::equals).orElse(true);
    }

    // Classifies the response by its headers and reports what the server states in it.
    ServerDialect.ResponseKind classify(ResponseHeaders headers, boolean onlyRequest) {
        ServerDialect.ResponseKind kind = kindOf(headers, onlyRequest);
        if (kind == ServerDialect.ResponseKind.MISMATCHED) {
            return kind;
        }
        dialect.load(headers).ifPresent(reports::onLoad);
        if (unmodified && headers.status().equals(HttpStatus.OK)) {
            dialect.coldMillis(headers).ifPresent(millis -> reports.onHealth(millis, sentNanos));
        }
        if (statesConditions(kind, headers)) {
            reports.onConditions(instance, dialect.conditions(headers), sentNanos);
        }
        return kind;
    }

    // Without a name, a response may belong to an earlier request unless there was none.
    private ServerDialect.ResponseKind kindOf(ResponseHeaders headers, boolean onlyRequest) {
        boolean named = isNamedBy(headers);
        if (!named && dialect.requestId(headers).isPresent()) {
            return ServerDialect.ResponseKind.MISMATCHED;
        }
        if (unmodified) {
            return ServerDialect.ResponseKind.RAN;
        }
        ServerDialect.ResponseKind kind = dialect.classify(headers);
        boolean refusal = kind == ServerDialect.ResponseKind.NOT_RUN;
        boolean identified = named && (requestId().isPresent() || !refusal);
        return identified || onlyRequest ? kind : ServerDialect.ResponseKind.INVALID;
    }

    // A misdirected request was answered by another instance than the one that it was meant for.
    private boolean statesConditions(ServerDialect.ResponseKind kind, ResponseHeaders headers) {
        boolean fromInstance = kind == ServerDialect.ResponseKind.RAN || kind == ServerDialect.ResponseKind.NOT_RUN;
        return fromInstance && !unmodified && !headers.status().equals(HttpStatus.MISDIRECTED_REQUEST);
    }

    void complete(ServerDialect.ResponseKind kind, ResponseHeaders headers, HttpData body) {
        switch (kind) {
            case RAN -> end(() ->
                    response.complete(AggregatedHttpResponse.of(unmodified ? headers : withRanOutcome(headers), body)));
            case NOT_RUN -> end(() -> response.complete(AggregatedHttpResponse.of(
                    Problem.headers(ResultCode.SERVER_REFUSED).build())));
            default -> fail(
                    ResultCode.CONNECTION_LOST,
                    "the answer is spoiled, unsigned or unnamed, status "
                            + headers.status().code());
        }
    }

    private ResponseHeaders withRanOutcome(ResponseHeaders headers) {
        ResponseHeadersBuilder ran = headers.toBuilder().set(CallHeaders.OUTCOME, Outcome.RAN.token());
        if (DecisionLog.INSTANCE.isEnabled()) {
            String digest = RunReport.digest(dialect.signature(headers));
            ran.set(CallHeaders.RUN, connection.reportRun(digest).toHeader());
        }
        return ran.build();
    }

    // Returns whether a response may be passed on before it is complete.
    boolean mayPassOn(ServerDialect.ResponseKind kind) {
        return passedOn != null && kind == ServerDialect.ResponseKind.RAN;
    }

    // Sets the receiver of a response that is passed on as it arrives.
    void onPassedOn(Consumer<HttpResponse> receiver) {
        passedOn = receiver;
    }

    ResponseHeaders streamedHeaders(ResponseHeaders received, long length) {
        ResponseHeadersBuilder headers = withRanOutcome(received).toBuilder().set(CallHeaders.STREAMED, "1");
        return length < 0 ? headers.build() : headers.contentLength(length).build();
    }

    void passOn(HttpResponse streamed) {
        passedOn.accept(streamed);
    }

    void completePassedOn(ResponseHeaders received) {
        end(() -> response.complete(AggregatedHttpResponse.of(received)));
    }

    void fail(ResultCode code, String detail) {
        end(() -> response.completeExceptionally(new MustardusherException(code, detail)));
    }

    /** Fails the exchange because its deadline has passed, and closes its connection, which cannot be reused. */
    void expire() {
        boolean dispatched = connection != null;
        fail(
                dispatched ? ResultCode.DEADLINE_PASSED : ResultCode.SERVER_UNREACHABLE,
                dispatched ? "no answer within the deadline" : "no connection within the deadline");
        closeConnection();
    }

    /** Cancels the exchange. Its connection is closed, which signals the cancellation to the server. */
    void cancel() {
        if (connection != null && connection.isCarrying(this)) {
            closeConnection();
        }
        fail(ResultCode.CONNECTION_LOST, "cancelled");
    }

    private void closeConnection() {
        if (connection != null && connection.isCarrying(this)) {
            connection.close();
        }
    }

    private void end(Runnable completion) {
        if (timeout != null) {
            timeout.cancel(false);
        }
        completion.run();
    }
}
