package io.mustardusher.call;

import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import io.netty.util.concurrent.EventExecutor;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Collects the body of a request within the memory that bodies share, and gives it up beyond. */
public final class BodyCollector implements Subscriber<HttpObject> {

    private final HttpRequest request;
    private final BodyMemory.Share memory;
    private final BodyBuffer body = new BodyBuffer();
    private final CompletableFuture<AggregatedHttpRequest> whole = new CompletableFuture<>();
    private HttpHeaders trailers = HttpHeaders.of();
    private Subscription subscription;

    private BodyCollector(HttpRequest request, BodyMemory memory) {
        this.request = request;
        this.memory = memory.open(() -> request.abort(BodyMemory.exhausted()));
    }

    /**
     * Collects the body of a request.
     *
     * @param request  the request
     * @param memory   memory for the body
     * @param executor executor that receives the body
     * @return the collected request, and the memory that it takes
     */
    public static Collected collect(HttpRequest request, BodyMemory memory, EventExecutor executor) {
        BodyCollector collector = new BodyCollector(request, memory);
        request.subscribe(collector, executor);
        return new Collected(collector.whole, collector.memory);
    }

    @Override
    public void onSubscribe(Subscription started) {
        subscription = started;
        long length = request.headers().contentLength();
        if (length > 0 && !reserveWhole(length)) {
            giveUp();
            return;
        }
        started.request(1);
    }

    @Override
    public void onNext(HttpObject part) {
        if (part instanceof HttpData data) {
            if (!memory.reserve(body.additionalBytes(data.length()))) {
                giveUp();
                return;
            }
            body.add(data.byteBuf());
        } else {
            trailers = (HttpHeaders) part;
        }
        subscription.request(1);
    }

    @Override
    public void onError(Throwable failure) {
        body.clear();
        memory.release();
        whole.completeExceptionally(failure);
    }

    @Override
    public void onComplete() {
        memory.complete();
        HttpData data = body.toData();
        body.clear();
        whole.complete(AggregatedHttpRequest.of(request.headers(), data, trailers));
    }

    // A body of known length has its room from the start, so that others cannot take it away before the end.
    private boolean reserveWhole(long length) {
        if (length > Integer.MAX_VALUE || !memory.reserve((int) length)) {
            return false;
        }
        memory.complete();
        body.allocate((int) length);
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
