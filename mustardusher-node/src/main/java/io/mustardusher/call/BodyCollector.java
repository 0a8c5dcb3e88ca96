package io.mustardusher.call;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpRequestWriter;
import io.netty.util.concurrent.EventExecutor;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Collects the body of a request within the memory that bodies share, and gives up what exceeds that memory. The rest
 * of a long body is passed on as it arrives, if that was asked for.
 */
public final class BodyCollector implements Subscriber<HttpObject> {

    /** Largest body that is held whole, in bytes. A call with a longer body is sent only once. */
    public static final int MAX_HELD_BYTES = 1 << 20;

    private final HttpRequest request;
    private final BodyMemory.Share memory;

    /** Whether the memory for the whole body is reserved before any of it arrives. */
    private final boolean ahead;

    private final BodyBuffer body = new BodyBuffer();
    private final CompletableFuture<AggregatedHttpRequest> whole = new CompletableFuture<>();

    /** The request with a body that goes on arriving; {@code null} while the body is collected. */
    private HttpRequestWriter writer;

    /** The request, whole or with a body that goes on arriving; {@code null} if only a whole one is wanted. */
    private CompletableFuture<HttpRequest> begun;

    private HttpHeaders trailers = HttpHeaders.of();
    private Subscription subscription;

    private BodyCollector(HttpRequest request, BodyMemory memory, boolean ahead) {
        this.request = request;
        this.ahead = ahead;
        this.memory = memory.open(() -> request.abort(BodyMemory.exhausted()));
    }

    /**
     * Aggregates a request. Memory for a body that is still arriving is held until the exchange of the request has
     * ended; a body that is complete is held by whoever made the request.
     *
     * @param request  the request
     * @param memory   memory for the body
     * @param executor executor that receives the body
     * @param ended    completes when the exchange has ended
     * @return completes with the whole request, or fails if the body does not arrive whole
     */
    public static CompletableFuture<AggregatedHttpRequest> aggregate(
            HttpRequest request, BodyMemory memory, EventExecutor executor, CompletionStage<?> ended) {
        if (!request.isOpen()) {
            return request.aggregate(executor);
        }
        Collected collected = collect(request, memory, executor);
        ended.whenComplete((ignored, failure) -> collected.memory().release());
        return collected.request();
    }

    /**
     * Collects the body of a request up to {@link #MAX_HELD_BYTES}. Memory is held until the exchange has ended, that
     * for the beginning of a longer body until the beginning has been consumed.
     *
     * @param request  the request
     * @param memory   memory for the body
     * @param executor executor that receives the body
     * @param ended    completes when the exchange of the request has ended
     * @return completes with the whole request, or with one whose body goes on arriving as it is consumed; fails if the
     *     body does not arrive so far
     */
    public static CompletableFuture<HttpRequest> begin(
            HttpRequest request, BodyMemory memory, EventExecutor executor, CompletionStage<?> ended) {
        if (!request.isOpen()) {
            return CompletableFuture.completedFuture(request);
        }
        long length = request.headers().contentLength();
        BodyCollector collector = new BodyCollector(request, memory, length > 0 && length <= MAX_HELD_BYTES);
        collector.begun = collector.whole.thenApply(AggregatedHttpRequest::toHttpRequest);
        request.subscribe(collector, executor);
        ended.whenComplete((ignored, failure) -> {
            collector.memory.release();
            collector.abort();
        });
        return collector.begun;
    }

    /**
     * Collects the body of a request. One of known length has its room from the start, so that others cannot take it
     * away before the end, or is given up at once.
     *
     * @param request  the request
     * @param memory   memory for the body
     * @param executor executor that receives the body
     * @return the collected request, and the memory that it takes
     */
    private static Collected collect(HttpRequest request, BodyMemory memory, EventExecutor executor) {
        return collect(
                request,
                executor,
                new BodyCollector(request, memory, request.headers().contentLength() > 0));
    }

    /**
     * Collects the body of a request, which takes memory only as it arrives, also if its length is known.
     *
     * @param request  the request
     * @param memory   memory for the body
     * @param executor executor that receives the body
     * @return the collected request, and the memory that it takes
     */
    public static Collected collectGradually(HttpRequest request, BodyMemory memory, EventExecutor executor) {
        return collect(request, executor, new BodyCollector(request, memory, false));
    }

    private static Collected collect(HttpRequest request, EventExecutor executor, BodyCollector collector) {
        request.subscribe(collector, executor);
        return new Collected(collector.whole, collector.memory);
    }

    @Override
    public void onSubscribe(Subscription started) {
        subscription = started;
        if (ahead && !reserveWhole(request.headers().contentLength())) {
            giveUp();
            return;
        }
        started.request(1);
    }

    @Override
    public void onNext(HttpObject part) {
        if (writer != null) {
            pass(part);
            return;
        }
        if (part instanceof HttpData data) {
            if (!ahead && !memory.reserve(body.additionalBytes(data.length()))) {
                giveUp();
                return;
            }
            body.add(data.byteBuf());
        } else {
            trailers = (HttpHeaders) part;
        }
        if (begun != null && body.length() > MAX_HELD_BYTES) {
            passOn();
        } else {
            subscription.request(1);
        }
    }

    private void passOn() {
        writer = HttpRequest.streaming(request.headers());
        // Without trailers: nothing says that the receiver wants them.
        writer.whenComplete().exceptionally(failure -> {
            subscription.cancel();
            return null;
        });
        memory.complete();
        HttpData first = body.toData();
        body.clear();
        begun.complete(writer);
        pass(first);
        writer.whenConsumed().thenRun(memory::release);
    }

    private void pass(HttpObject part) {
        if (part instanceof HttpData data && !data.isEmpty() && writer.tryWrite(data)) {
            writer.whenConsumed().thenRun(() -> subscription.request(1));
        } else if (writer.isOpen()) {
            subscription.request(1);
        }
    }

    private void abort() {
        if (writer != null) {
            writer.abort();
        }
    }

    @Override
    public void onError(Throwable failure) {
        body.clear();
        memory.release();
        if (writer != null) {
            writer.close(failure);
        }
        whole.completeExceptionally(failure);
    }

    @Override
    public void onComplete() {
        if (writer != null) {
            writer.close();
            return;
        }
        memory.complete();
        HttpData data = body.toData();
        body.clear();
        whole.complete(AggregatedHttpRequest.of(request.headers(), data, trailers));
    }

    private boolean reserveWhole(long length) {
        if (length > Integer.MAX_VALUE || !memory.reserve((int) length)) {
            return false;
        }
        memory.complete();
        return true;
    }

    private void giveUp() {
        request.abort(BodyMemory.exhausted());
    }

    /**
     * A request whose body is being collected.
     *
     * @param request completes with the whole request, or fails if the body does not arrive whole
     * @param memory  memory of the body; to be released by whoever drops the request
     */
    public record Collected(CompletableFuture<AggregatedHttpRequest> request, BodyMemory.Share memory) {}
}
