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
    private boolean plain;

    ServerExchange(
            ServerDialect dialect, Consumer<ServerReading> readings, CompletableFuture<AggregatedHttpResponse> answer) {
        this.dialect = dialect;
        this.readings = readings;
        this.answer = answer;
    }

    // Creates an exchange whose request is sent and whose answer is taken as they are.
    static ServerExchange ofPlain(
            ServerDialect dialect, Consumer<ServerReading> readings, CompletableFuture<AggregatedHttpResponse> answer) {
        ServerExchange exchange = new ServerExchange(dialect, readings, answer);
        exchange.plain = true;
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
        sent = plain ? call : dialect.request(CallHeaders.copyForServer(call), instance, leftNanos);
        return sent;
    }

    ServerDialect.Verdict judge(ResponseHeaders head) {
        ServerDialect.Verdict verdict = plain ? ServerDialect.Verdict.ANSWER : dialect.judge(sent, head);
        if (verdict != ServerDialect.Verdict.FOREIGN) {
            dialect.reading(head).ifPresent(readings);
        }
        return verdict;
    }

    void complete(ServerDialect.Verdict verdict, ResponseHeaders head, HttpData body) {
        switch (verdict) {
            case ANSWER -> end(() -> answer.complete(AggregatedHttpResponse.of(plain ? head : marked(head), body)));
            case NOT_RUN -> end(() -> answer.complete(AggregatedHttpResponse.of(
                    Problem.headers(ResultCode.SERVER_REFUSED).build())));
            default -> fail(ResultCode.CONNECTION_LOST, "the answer is spoiled");
        }
    }

    private static ResponseHeaders marked(ResponseHeaders head) {
        return head.toBuilder().set(CallHeaders.OUTCOME, Outcome.RAN.token()).build();
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
