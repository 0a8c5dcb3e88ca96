package io.mustardusher.server;

import java.util.function.Consumer;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * A request on its way to a backend server, whose body is written at once or as it arrives. Each part waits until the
 * one before has been written. Confined to the event loop of the channel.
 */
final class RequestUpload implements Subscriber<HttpObject> {

    private final Channel channel;
    private final Consumer<Throwable> failureListener;
    private Subscription subscription;
    private boolean complete;

    private RequestUpload(Channel channel, Consumer<Throwable> failureListener) {
        this.channel = channel;
        this.failureListener = failureListener;
    }

    /**
     * Starts to write a request.
     *
     * @param request         the request
     * @param headers         headers for the server
     * @param channel         connection to the server
     * @param failureListener receives the reason if the request cannot be written whole
     * @return the upload
     */
    static RequestUpload start(
            HttpRequest request, RequestHeaders headers, Channel channel, Consumer<Throwable> failureListener) {
        RequestUpload upload = new RequestUpload(channel, failureListener);
        if (request.isOpen()) {
            upload.writeHead(headers);
            request.subscribe(upload, channel.eventLoop());
        } else {
            // Completes at once, since nothing is missing.
            request.aggregate(channel.eventLoop()).thenAccept(whole -> upload.writeWhole(whole, headers));
        }
        return upload;
    }

    /**
     * Returns whether the whole request was handed to the channel.
     *
     * @return {@code true} if nothing of its body is missing
     */
    boolean isComplete() {
        return complete;
    }

    /** Takes nothing more of the body. */
    void abort() {
        if (!complete && subscription != null) {
            subscription.cancel();
        }
    }

    @Override
    public void onSubscribe(Subscription started) {
        subscription = started;
        started.request(1);
    }

    @Override
    public void onNext(HttpObject part) {
        if (!(part instanceof HttpData data) || data.isEmpty()) {
            subscription.request(1);
            return;
        }
        channel.writeAndFlush(new DefaultHttpContent(data.byteBuf())).addListener(written -> {
            if (written.isSuccess()) {
                subscription.request(1);
            } else {
                failureListener.accept(written.cause());
            }
        });
    }

    @Override
    public void onError(Throwable failure) {
        failureListener.accept(failure);
    }

    @Override
    public void onComplete() {
        complete = true;
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(this::reportFailure);
    }

    private void writeHead(RequestHeaders headers) {
        DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method(headers), headers.path());
        copy(headers, head);
        HttpUtil.setTransferEncodingChunked(head, headers.contentLength() < 0);
        channel.writeAndFlush(head).addListener(this::reportFailure);
    }

    private void writeWhole(AggregatedHttpRequest request, RequestHeaders headers) {
        complete = true;
        ByteBuf content = request.content().isEmpty()
                ? Unpooled.EMPTY_BUFFER
                : request.content().byteBuf();
        DefaultFullHttpRequest message =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method(headers), headers.path(), content);
        copy(headers, message);
        if (content.isReadable() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        }
        channel.writeAndFlush(message).addListener(this::reportFailure);
    }

    private static HttpMethod method(RequestHeaders headers) {
        return HttpMethod.valueOf(headers.method().name());
    }

    private static void copy(RequestHeaders headers, HttpMessage message) {
        headers.forEach((name, value) -> {
            if (name.charAt(0) != ':') {
                message.headers().add(name, value);
            }
        });
        message.headers().set(HttpHeaderNames.HOST, headers.authority());
    }

    private void reportFailure(Future<?> written) {
        if (!written.isSuccess()) {
            failureListener.accept(written.cause());
        }
    }
}
