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
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.SplitHttpResponse;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;

/** One request to the next hop and its answer. */
public interface Exchange {

    /**
     * Sends a request, whose answer is streamed.
     *
     * @param client    client of the next hop
     * @param request   the request
     * @param leftNanos time until the answer must begin, in nanoseconds
     * @return the exchange
     */
    static Exchange send(WebClient client, HttpRequest request, long leftNanos) {
        RequestOptions options = RequestOptions.builder()
                .responseTimeoutMillis(Math.max(1, leftNanos / Clock.NANOS_PER_MILLI))
                .maxResponseLength(0)
                .build();
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            HttpResponse response = client.execute(request, options);
            return new ForStream(response, captor.getOrNull());
        }
    }

    /**
     * Wraps an answer that comes from this process.
     *
     * @param response the answer
     * @return the exchange
     */
    static Exchange within(HttpResponse response) {
        return new ForStream(response, null);
    }

    /**
     * Wraps an answer that comes as a whole.
     *
     * @param answer the answer
     * @param abort  gives up the request
     * @return the exchange
     */
    static Exchange ofWhole(CompletableFuture<AggregatedHttpResponse> answer, Runnable abort) {
        return new ForWhole(answer, abort);
    }

    /**
     * Returns the headers once they come. The time limit ends with them.
     *
     * @return the headers; fails with a {@link MustardusherException}
     */
    CompletableFuture<ResponseHeaders> headers();

    /**
     * Passes the answer on under other headers. If it is given up before anyone reads it, the exchange ends too.
     *
     * @param headers the headers
     * @return the answer
     */
    HttpResponse answer(ResponseHeaders headers);

    /**
     * Collects the whole answer under other headers.
     *
     * @param headers the headers
     * @return the answer once it is whole; fails if it is cut short
     */
    CompletableFuture<HttpResponse> whole(ResponseHeaders headers);

    /**
     * Returns the end of the answer.
     *
     * @return completes with the last byte, fails if the answer is cut short
     */
    CompletableFuture<?> whenComplete();

    /** Drops the rest of the answer. */
    void discard();

    /** Gives up the request. */
    void abort();

    /**
     * Gives up the request when a stage completes.
     *
     * @param cancelled the stage
     */
    default void abortOn(CompletionStage<?> cancelled) {
        cancelled.thenRun(this::abort);
    }

    /** An answer that comes as a stream. */
    final class ForStream implements Exchange {

        private final HttpResponse response;
        private final SplitHttpResponse split;
        private final ClientRequestContext context;

        private ForStream(HttpResponse response, ClientRequestContext context) {
            this.response = response;
            this.split = response.split();
            this.context = context;
        }

        @Override
        public CompletableFuture<ResponseHeaders> headers() {
            return split.headers().handle((headers, failure) -> {
                if (failure != null) {
                    throw new MustardusherException(codeOf(failure), describe(failure));
                }
                if (headers.status().equals(HttpStatus.UNKNOWN)) {
                    throw new MustardusherException(ResultCode.CONNECTION_LOST, "no headers");
                }
                if (context != null) {
                    context.clearResponseTimeout();
                }
                return headers;
            });
        }

        @Override
        public HttpResponse answer(ResponseHeaders headers) {
            HttpResponse passed = HttpResponse.of(headers, split.body());
            passed.whenComplete().whenComplete((done, failure) -> {
                if (failure != null) {
                    discard();
                }
            });
            return passed;
        }

        @Override
        public CompletableFuture<HttpResponse> whole(ResponseHeaders headers) {
            return split.body().collect().thenApply(parts -> {
                int length = parts.stream().mapToInt(HttpData::length).sum();
                byte[] bytes = new byte[length];
                int at = 0;
                for (HttpData part : parts) {
                    System.arraycopy(part.array(), 0, bytes, at, part.length());
                    at += part.length();
                }
                return HttpResponse.of(headers, HttpData.wrap(bytes));
            });
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

    /** An answer that comes as a whole. */
    final class ForWhole implements Exchange {

        private final CompletableFuture<AggregatedHttpResponse> answer;
        private final Runnable abort;

        private ForWhole(CompletableFuture<AggregatedHttpResponse> answer, Runnable abort) {
            this.answer = answer;
            this.abort = abort;
        }

        @Override
        public CompletableFuture<ResponseHeaders> headers() {
            return answer.handle((whole, failure) -> {
                if (failure != null) {
                    throw new MustardusherException(codeOf(failure), describe(failure));
                }
                return whole.headers();
            });
        }

        @Override
        public HttpResponse answer(ResponseHeaders headers) {
            return HttpResponse.of(headers, answer.join().content());
        }

        @Override
        public CompletableFuture<HttpResponse> whole(ResponseHeaders headers) {
            return CompletableFuture.completedFuture(answer(headers));
        }

        @Override
        public CompletableFuture<?> whenComplete() {
            return answer;
        }

        @Override
        public void discard() {
            // the answer is here, or has failed
        }

        @Override
        public void abort() {
            abort.run();
        }
    }

    /**
     * Maps a failure before the headers. Only a request that never left this process is proven not to have run.
     *
     * @param failure the failure
     * @return the code
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
     * Describes a failure for callers, without addresses.
     *
     * @param failure the failure
     * @return the name of its class
     */
    private static String describe(Throwable failure) {
        Throwable cause = unwrap(failure);
        return cause instanceof MustardusherException
                ? cause.getMessage()
                : cause.getClass().getSimpleName();
    }

    /**
     * Finds the cause of a failed stage.
     *
     * @param failure the failure
     * @return the cause
     */
    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
