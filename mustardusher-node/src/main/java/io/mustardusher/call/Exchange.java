package io.mustardusher.call;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.SplitHttpResponse;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.EventExecutor;

/** A request to the next hop and its answer. */
public interface Exchange {

    /**
     * Sends a request and streams its answer.
     *
     * @param client         client of the next hop
     * @param request        the request
     * @param remainingNanos time limit for the headers of the answer, in nanoseconds
     * @return the exchange
     */
    static Exchange send(WebClient client, HttpRequest request, long remainingNanos) {
        RequestOptions options = RequestOptions.builder()
                .responseTimeoutMillis(Math.max(1, remainingNanos / Clock.NANOS_PER_MILLI))
                .maxResponseLength(0)
                .build();
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            HttpResponse response = client.execute(request, options);
            return new ForStreamedAnswer(response, response.defaultSubscriberExecutor(), captor.getOrNull());
        }
    }

    /**
     * Creates an exchange for an answer that is produced in this process.
     *
     * @param response the answer
     * @return the exchange
     */
    static Exchange ofLocal(HttpResponse response) {
        return ofLocal(response, response.defaultSubscriberExecutor());
    }

    /**
     * Creates an exchange for an answer that is produced in this process.
     *
     * @param response the answer
     * @param executor executor on which the answer is received
     * @return the exchange
     */
    static Exchange ofLocal(HttpResponse response, EventExecutor executor) {
        return new ForStreamedAnswer(response, executor, null);
    }

    /**
     * Creates an exchange for an answer that arrives in one piece.
     *
     * @param answer completes with the answer
     * @param abort  aborts the request
     * @return the exchange
     */
    static Exchange ofAggregated(CompletableFuture<AggregatedHttpResponse> answer, Runnable abort) {
        return new ForAggregatedAnswer(answer, abort);
    }

    /**
     * Creates an exchange for a request that is sent later.
     *
     * @param sent  completes with the exchange when the request is sent, or its answer has begun
     * @param abort aborts the request
     * @return the exchange
     */
    static Exchange ofDeferred(CompletableFuture<Exchange> sent, Runnable abort) {
        return new ForDeferredRequest(sent, abort);
    }

    /**
     * Returns the headers of the answer. The time limit applies only until they arrive.
     *
     * @return completes with the headers, or fails with a {@link MustardusherException}
     */
    CompletableFuture<ResponseHeaders> headers();

    /**
     * Returns the answer as a stream with other headers. If the stream is aborted, the exchange is aborted too, even if
     * the stream has no subscriber yet.
     *
     * @param headers the headers
     * @return the answer
     */
    HttpResponse stream(ResponseHeaders headers);

    /**
     * Aggregates the answer, with other headers.
     *
     * @param headers the headers
     * @return completes with the aggregated answer, or fails if the answer is truncated
     */
    CompletableFuture<HttpResponse> aggregate(ResponseHeaders headers);

    /**
     * Returns a future for the end of the answer.
     *
     * @return completes when the last byte has arrived, or fails if the answer is truncated
     */
    CompletableFuture<?> whenComplete();

    /** Discards the rest of the answer. */
    void discard();

    /** Aborts the request. */
    void abort();

    /**
     * Aborts the request when a stage completes.
     *
     * @param cancelled the stage
     */
    default void abortOn(CompletionStage<?> cancelled) {
        cancelled.thenRun(this::abort);
    }

    /** An exchange whose answer arrives as a stream. */
    final class ForStreamedAnswer implements Exchange {

        private final HttpResponse response;
        private final EventExecutor executor;
        private final SplitHttpResponse split;
        private final ClientRequestContext context;

        private ForStreamedAnswer(HttpResponse response, EventExecutor executor, ClientRequestContext context) {
            this.response = response;
            this.executor = executor;
            this.split = response.split(executor);
            this.context = context;
        }

        @Override
        public CompletableFuture<ResponseHeaders> headers() {
            return split.headers().handle((headers, failure) -> {
                if (failure != null) {
                    throw new MustardusherException(codeOf(failure), describe(failure));
                }
                if (!HttpGrammar.isFinalStatus(headers.status().code())) {
                    throw new MustardusherException(ResultCode.CONNECTION_LOST, "no headers, or no status in them");
                }
                if (context != null) {
                    context.clearResponseTimeout();
                }
                return headers;
            });
        }

        @Override
        public HttpResponse stream(ResponseHeaders headers) {
            HttpResponse streamed = HttpResponse.of(headers, split.body());
            streamed.whenComplete().whenComplete((ignored, failure) -> {
                if (failure != null) {
                    discard();
                }
            });
            return streamed;
        }

        @Override
        public CompletableFuture<HttpResponse> aggregate(ResponseHeaders headers) {
            return split.body().collect(executor).thenApply(parts -> HttpResponse.of(headers, BodyParts.join(parts)));
        }

        @Override
        public CompletableFuture<?> whenComplete() {
            return split.body().whenComplete();
        }

        @Override
        public void discard() {
            split.body().abort();
            response.abort();
        }

        @Override
        public void abort() {
            response.abort();
        }
    }

    /** An exchange whose answer arrives in one piece. */
    final class ForAggregatedAnswer implements Exchange {

        private final CompletableFuture<AggregatedHttpResponse> answer;
        private final Runnable abort;

        private ForAggregatedAnswer(CompletableFuture<AggregatedHttpResponse> answer, Runnable abort) {
            this.answer = answer;
            this.abort = abort;
        }

        @Override
        public CompletableFuture<ResponseHeaders> headers() {
            return answer.handle((aggregated, failure) -> {
                if (failure != null) {
                    throw new MustardusherException(codeOf(failure), describe(failure));
                }
                return aggregated.headers();
            });
        }

        @Override
        public HttpResponse stream(ResponseHeaders headers) {
            return HttpResponse.of(headers, answer.join().content());
        }

        @Override
        public CompletableFuture<HttpResponse> aggregate(ResponseHeaders headers) {
            return CompletableFuture.completedFuture(stream(headers));
        }

        @Override
        public CompletableFuture<?> whenComplete() {
            return answer;
        }

        @Override
        public void discard() {
            // The answer has already arrived or failed, so there is nothing to discard.
        }

        @Override
        public void abort() {
            abort.run();
        }
    }

    /**
     * An exchange whose request is sent later.
     *
     * @param sent     completes with the exchange that sends it
     * @param abortion aborts the request
     */
    record ForDeferredRequest(CompletableFuture<Exchange> sent, Runnable abortion) implements Exchange {

        @Override
        public CompletableFuture<ResponseHeaders> headers() {
            return sent.thenCompose(Exchange::headers).exceptionally(failure -> {
                throw new MustardusherException(codeOf(failure), describe(failure));
            });
        }

        @Override
        public HttpResponse stream(ResponseHeaders headers) {
            return sent.join().stream(headers);
        }

        @Override
        public CompletableFuture<HttpResponse> aggregate(ResponseHeaders headers) {
            return sent.thenCompose(exchange -> exchange.aggregate(headers));
        }

        @Override
        public CompletableFuture<?> whenComplete() {
            return sent.thenCompose(Exchange::whenComplete);
        }

        @Override
        public void discard() {
            sent.thenAccept(Exchange::discard);
        }

        @Override
        public void abort() {
            abortion.run();
        }
    }

    /**
     * Returns the result code for a failure before the headers of the answer. Only a request that never left this
     * process is reported as not run.
     *
     * @param failure the failure
     * @return the result code
     */
    static ResultCode codeOf(Throwable failure) {
        Throwable cause = unwrap(failure);
        if (cause instanceof MustardusherException coded) {
            return coded.code();
        }
        if (cause instanceof UnprocessedRequestException) {
            return ResultCode.SERVER_UNREACHABLE;
        }
        return cause instanceof ResponseTimeoutException ? ResultCode.DEADLINE_PASSED : ResultCode.CONNECTION_LOST;
    }

    /**
     * Returns why a call was not sent whose body did not arrive whole. A body with invalid framing ends its connection,
     * so that one was lost on its way and its caller is not to blame.
     *
     * @param failure failure of the body
     * @return the reason, with a code that means "not run"
     */
    static MustardusherException bodyLost(Throwable failure) {
        return unwrap(failure) instanceof MustardusherException coded
                ? coded
                : new MustardusherException(ResultCode.CANCELLED, "the body did not arrive whole");
    }

    /**
     * Describes a failure for callers. Messages of exceptions from libraries can contain addresses, so only the class
     * of these exceptions is named.
     *
     * @param failure the failure
     * @return message of a {@link MustardusherException}, or simple class name of another exception
     */
    private static String describe(Throwable failure) {
        Throwable cause = unwrap(failure);
        return cause instanceof MustardusherException
                ? cause.getMessage()
                : cause.getClass().getSimpleName();
    }

    /**
     * Removes the wrapper that a completion stage adds to a failure.
     *
     * @param failure the failure
     * @return the cause of a {@link CompletionException}, or the failure itself
     */
    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
