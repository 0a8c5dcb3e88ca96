package io.mustardusher.http;

import java.util.ArrayDeque;
import java.util.Deque;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.BodyCollector;
import io.mustardusher.call.BodyParts;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Receives the response to a request. A short one is sent when it is whole. Of a long one, the next part is received
 * when the one before has been sent. Confined to the event loop of the connection.
 */
final class ResponseReceiver implements Subscriber<HttpObject> {

    /** Memory that a response takes beside its content, in bytes. */
    private static final int OVERHEAD_BYTES = 1 << 10;

    private final PendingRequest request;
    private final HttpConnection connection;
    private final Deque<HttpData> parts = new ArrayDeque<>();
    private ResponseHeaders headers;
    private Subscription subscription;
    private int receivedBytes;

    /** Whether the response is sent in parts. */
    private boolean inParts;

    /** Whether the head of a response in parts was written. */
    private boolean begun;

    private boolean sending;
    private boolean complete;

    ResponseReceiver(PendingRequest request, HttpConnection connection) {
        this.request = request;
        this.connection = connection;
    }

    boolean isInParts() {
        return inParts;
    }

    /** Receives nothing more, because the caller has left. */
    void cancel() {
        if (subscription != null) {
            subscription.cancel();
        }
        parts.clear();
    }

    @Override
    public void onSubscribe(Subscription started) {
        subscription = started;
        started.request(1);
    }

    @Override
    public void onNext(HttpObject next) {
        if (next instanceof HttpData data) {
            addPart(data);
            return;
        }
        if (headers == null
                && next instanceof ResponseHeaders head
                && !head.status().isInformational()) {
            headers = head;
            request.hold(OVERHEAD_BYTES);
        }
        subscription.request(1);
    }

    @Override
    public void onError(Throwable failure) {
        connection.close();
    }

    @Override
    public void onComplete() {
        complete = true;
        if (inParts) {
            sendNext();
        } else if (headers == null) {
            connection.close();
        } else {
            HttpData whole = BodyParts.join(parts);
            parts.clear();
            request.respond(AggregatedHttpResponse.of(headers, whole));
        }
    }

    /** Sends the parts, now that the responses to all earlier requests have been sent. */
    void begin() {
        if (!begun) {
            begun = true;
            connection.channel().write(HttpMessages.toHead(headers, request.closesAfterResponse()));
            sendNext();
        }
    }

    private void addPart(HttpData data) {
        receivedBytes += Math.min(data.length(), BodyCollector.MAX_HELD_BYTES);
        request.hold(data.length());
        parts.addLast(data);
        if (inParts) {
            sendNext();
        } else if (receivedBytes > BodyCollector.MAX_HELD_BYTES) {
            inParts = true;
            request.respondInParts();
        } else {
            subscription.request(1);
        }
    }

    private void sendNext() {
        if (!begun || sending) {
            return;
        }
        Channel channel = connection.channel();
        HttpData next = parts.pollFirst();
        if (next != null) {
            sending = true;
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(next.array())))
                    .addListener(sent -> endPart(next.length(), sent.isSuccess()));
        } else if (complete) {
            connection.endResponse(request, channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        }
    }

    private void endPart(int bytes, boolean success) {
        sending = false;
        request.release(bytes);
        if (!success) {
            connection.close();
            return;
        }
        if (parts.isEmpty() && !complete) {
            subscription.request(1);
        }
        sendNext();
    }
}
