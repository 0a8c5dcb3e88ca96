package io.mustardusher.server;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Problem;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;

/** One request at a backend server and its answer. Used on the link's event loop only. */
final class ServerExchange {

    private final ServerDialect dialect;
    private final Consumer<ServerReading> readings;
    private final CompletableFuture<AggregatedHttpResponse> answer;
    private RequestHeaders sent;
    private ServerConnection connection;
    private ScheduledFuture<?> timeout;
    private boolean probe;

    ServerExchange(
            ServerDialect dialect, Consumer<ServerReading> readings, CompletableFuture<AggregatedHttpResponse> answer) {
        this.dialect = dialect;
        this.readings = readings;
        this.answer = answer;
    }

    // Creates the exchange of a probe, whose answer is of use for its reading only.
    static ServerExchange ofProbe(
            ServerDialect dialect, Consumer<ServerReading> readings, CompletableFuture<AggregatedHttpResponse> answer) {
        ServerExchange exchange = new ServerExchange(dialect, readings, answer);
        exchange.probe = true;
        return exchange;
    }

    boolean isOver() {
        return answer.isDone();
    }

    void timeout(ScheduledFuture<?> limit) {
        timeout = limit;
    }

    // Writes the headers for the server and notes where they go.
    RequestHeaders sentOn(ServerConnection used, RequestHeaders call, String instance, long leftNanos) {
        connection = used;
        sent = probe ? call : dialect.request(CallHeaders.forServer(call), instance, leftNanos);
        return sent;
    }

    ServerDialect.Verdict judge(ResponseHeaders head) {
        ServerDialect.Verdict verdict = probe ? ServerDialect.Verdict.ANSWER : dialect.judge(sent, head);
        if (verdict != ServerDialect.Verdict.FOREIGN) {
            dialect.reading(head).ifPresent(readings);
        }
        return verdict;
    }

    void complete(ServerDialect.Verdict verdict, ResponseHeaders head, HttpData body) {
        switch (verdict) {
            case ANSWER -> end(() -> answer.complete(AggregatedHttpResponse.of(
                    head.toBuilder()
                            .set(CallHeaders.OUTCOME, Outcome.RAN.token())
                            .build(),
                    body)));
            case NOT_RUN -> end(() -> answer.complete(AggregatedHttpResponse.of(
                    Problem.headers(ResultCode.SERVER_REFUSED).build())));
            default -> fail(ResultCode.CONNECTION_LOST, "the answer is spoiled");
        }
    }

    void fail(ResultCode code, String detail) {
        end(() -> answer.completeExceptionally(new MustardusherException(code, detail)));
    }

    /** Ends the exchange because its time is over; the connection cannot be used again. */
    void expire() {
        boolean dispatched = connection != null;
        fail(
                dispatched ? ResultCode.DEADLINE_PASSED : ResultCode.SERVER_UNREACHABLE,
                dispatched ? "no answer within the deadline" : "no connection within the deadline");
        abandonConnection();
    }

    /** Ends the exchange because nobody waits for its answer; closing the connection tells the server so. */
    void cancel() {
        if (connection != null && connection.carries(this)) {
            abandonConnection();
        }
        fail(ResultCode.CONNECTION_LOST, "cancelled");
    }

    private void abandonConnection() {
        if (connection != null && connection.carries(this)) {
            connection.close();
        }
    }

    private void end(Runnable settle) {
        if (timeout != null) {
            timeout.cancel(false);
        }
        settle.run();
    }
}
