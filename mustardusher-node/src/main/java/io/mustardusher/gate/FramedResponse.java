package io.mustardusher.gate;

import java.util.ArrayList;
import java.util.List;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.BodyParts;
import io.mustardusher.call.CallHeaders;
import io.netty.util.concurrent.EventExecutor;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * The response to a call that arrived in a frame. It is collected, unless its body goes on arriving: then nothing is
 * taken of it until the entry reads it as a stream. Confined to the executor that receives it.
 */
final class FramedResponse implements Subscriber<HttpObject> {

    private final EventExecutor executor;
    private final Listener listener;
    private final List<HttpData> parts = new ArrayList<>();
    private ResponseHeaders headers;
    private Subscription subscription;
    private boolean streamed;

    /** Receiver of the stream; {@code null} before it is opened. */
    private Subscriber<? super HttpData> reader;

    /** Why the stream has failed before it was opened; {@code null} if it has not. */
    private Throwable failure;

    /**
     * Creates a response of which nothing has arrived.
     *
     * @param executor executor that receives it
     * @param listener receives what it turns out to be
     */
    FramedResponse(EventExecutor executor, Listener listener) {
        this.executor = executor;
        this.listener = listener;
    }

    ResponseHeaders headers() {
        return headers;
    }

    /**
     * Opens the stream.
     *
     * @return the response, whose body is taken as it is consumed
     */
    HttpResponse open() {
        return HttpResponse.of(headers, this::subscribe);
    }

    /** Takes nothing more. */
    void cancel() {
        subscription.cancel();
    }

    @Override
    public void onSubscribe(Subscription started) {
        subscription = started;
        started.request(1);
    }

    @Override
    public void onNext(HttpObject next) {
        if (next instanceof HttpData data) {
            if (reader != null) {
                reader.onNext(data);
            } else {
                parts.add(data);
            }
        } else if (headers == null && next instanceof ResponseHeaders head) {
            begin(head);
        }
    }

    private void begin(ResponseHeaders head) {
        if (head.status().isInformational()) {
            subscription.request(1);
            return;
        }
        headers = head;
        streamed = head.contains(CallHeaders.STREAMED);
        if (streamed) {
            listener.onStreamed(this);
        } else {
            subscription.request(Long.MAX_VALUE);
        }
    }

    @Override
    public void onError(Throwable cause) {
        if (reader != null) {
            reader.onError(cause);
        } else if (streamed) {
            failure = cause;
        } else {
            listener.onFailure();
        }
    }

    @Override
    public void onComplete() {
        if (reader != null) {
            reader.onComplete();
        } else if (headers == null) {
            listener.onFailure();
        } else {
            listener.onWhole(AggregatedHttpResponse.of(headers, BodyParts.join(parts)));
        }
    }

    private void subscribe(Subscriber<? super HttpData> opened) {
        executor.execute(() -> {
            reader = opened;
            opened.onSubscribe(subscription);
            if (failure != null) {
                opened.onError(failure);
            }
        });
    }

    /** Receives what a response turns out to be. */
    interface Listener {

        /**
         * Receives a whole response.
         *
         * @param response the response
         */
        void onWhole(AggregatedHttpResponse response);

        /**
         * Receives a response whose body goes on arriving.
         *
         * @param response the response, to be opened or cancelled
         */
        void onStreamed(FramedResponse response);

        /** Receives a failure before the response was complete. */
        void onFailure();
    }
}
