package io.mustardusher.http;

import java.nio.channels.ClosedChannelException;
import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpRequestWriter;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.BodyBuffer;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.log.NodeLog;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.EventExecutor;

/**
 * A request on a connection, until its response has been sent. Its body is collected before the request is handled, as
 * far as it is short and arrives in time, and streamed otherwise. Confined to the event loop of the connection.
 */
final class PendingRequest implements RequestExchange {

    /** Largest body that is collected before its request is handled, in bytes; a longer one is streamed. */
    private static final int MAX_COLLECTED_BYTES = 64 << 10;

    /** Number of pieces of a body beyond which its connection reads in turns; usual senders need far fewer. */
    private static final int MAX_PIECES = 256;

    private final HttpConnection connection;

    /** The headers; {@code null} if what arrived is no request. */
    private final RequestHeaders headers;

    private final boolean toHead;
    private final long arrivalNanos;
    private final CompletableFuture<Void> cancelled = new CompletableFuture<>();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();

    /** Memory of the first bytes of the body, which may be held until the response; {@code null} before them. */
    private BodyMemory.Share memory;

    private int heldBytes;
    private long receivedBytes;
    private int pieces;

    /** What has arrived of the body and was not passed on. */
    private final BodyBuffer collected = new BodyBuffer();

    /** Number of parts that were passed on and not consumed. */
    private int unconsumedParts;

    /** Rest of the body after the request was handed over before its end. */
    private HttpRequestWriter writer;

    /** Request that waits until fewer are in flight; {@code null} if there is none. */
    private HttpRequest waiting;

    private boolean handedOver;
    private boolean closeAfter;

    /** Whether the sender waits for an interim response before it sends the body. */
    private boolean expectsContinue;

    private AggregatedHttpResponse response;
    private ResponseReceiver receiver;

    /** Memory that the response takes, in bytes. */
    private int responseBytes;

    /**
     * Creates a request of which only the head has arrived.
     *
     * @param connection the connection
     * @param headers    the headers, or {@code null} if what arrived is no request
     * @param keepAlive  whether the sender keeps the connection open
     * @param toHead     whether the method is HEAD
     */
    PendingRequest(HttpConnection connection, RequestHeaders headers, boolean keepAlive, boolean toHead) {
        this.connection = connection;
        this.headers = headers;
        this.toHead = toHead;
        this.closeAfter = !keepAlive;
        this.arrivalNanos = connection.clock().nanoTime();
    }

    @Override
    public CompletableFuture<Void> cancelled() {
        return cancelled;
    }

    @Override
    public CompletableFuture<Void> ended() {
        return ended;
    }

    @Override
    public boolean isUnanswerable() {
        return connection.isClosing() && !closeAfter;
    }

    @Override
    public void closeAfterResponse() {
        // Responses to earlier requests are sent before, and later requests are not handled.
        closeAfter = true;
        connection.setClosing();
    }

    @Override
    public EventExecutor executor() {
        return connection.channel().eventLoop();
    }

    boolean isMalformed() {
        return headers == null;
    }

    boolean closesAfterResponse() {
        return closeAfter;
    }

    long arrivalNanos() {
        return arrivalNanos;
    }

    boolean expectsContinue() {
        return expectsContinue;
    }

    void setExpectsContinue(boolean expected) {
        expectsContinue = expected;
    }

    boolean isAnswered() {
        return response != null || isAnsweredInParts();
    }

    boolean isAnsweredInParts() {
        return receiver != null && receiver.isInParts();
    }

    /** Sends the response in parts, now that it is its turn. */
    void sendParts() {
        receiver.begin();
    }

    // Holds a part of the response until it is sent.
    void hold(int bytes) {
        responseBytes += bytes;
        connection.hold(bytes);
    }

    // Releases a part of the response that was sent.
    void release(int bytes) {
        responseBytes -= bytes;
        connection.release(bytes);
    }

    FullHttpResponse toFullResponse() {
        return HttpMessages.toFullResponse(response, toHead);
    }

    /**
     * Returns whether the body takes so much work that its connection has to read in turns with others.
     *
     * @return {@code true} if it is long or arrives in many pieces
     */
    boolean isLaborious() {
        return receivedBytes > MAX_COLLECTED_BYTES || pieces > MAX_PIECES;
    }

    // Only the handler knows whether a long body is wanted, which its head shows.
    void beginBody() {
        if (headers.contentLength() > MAX_COLLECTED_BYTES) {
            handOver();
        }
    }

    void append(ByteBuf bytes) {
        boolean discarded = isAnswered() || writer != null && !writer.isOpen();
        if (!bytes.isReadable() || discarded) {
            return;
        }
        expectsContinue = false;
        pieces++;
        receivedBytes += bytes.readableBytes();
        if (receivedBytes > connection.limits().maxBodyBytes()) {
            giveUpBody(new MustardusherException(ResultCode.BODY_TOO_LARGE, "the body exceeds the limit"));
            return;
        }
        if (!holdBody(bytes.readableBytes())) {
            giveUpBody(BodyMemory.exhausted());
            return;
        }
        collected.add(bytes);
        if (collected.length() <= MAX_COLLECTED_BYTES) {
            return;
        }
        if (handedOver) {
            streamCollected();
        } else {
            handOver();
        }
    }

    // Chunks that arrive together are passed on together, since each part takes memory of its own.
    void streamCollected() {
        // The request may have been answered at once; nobody reads the body then.
        if (writer != null && collected.length() > 0 && !isAnswered()) {
            byte[] part = collected.toArray();
            collected.clear();
            stream(part);
        }
    }

    // What follows behind these bytes is only read once it has been consumed.
    private boolean holdBody(int added) {
        int held = Math.min(added, MAX_COLLECTED_BYTES - heldBytes);
        if (memory == null) {
            memory = connection.bodyMemory().open(() -> connection.runOnLoop(() -> giveUpBody(BodyMemory.exhausted())));
        }
        if (held > 0 && !memory.reserve(held)) {
            return false;
        }
        heldBytes += held;
        return true;
    }

    private void releaseMemory() {
        if (memory != null) {
            memory.release();
        }
    }

    private void giveUpBody(MustardusherException reason) {
        if (connection.isReceiving(this) && !isAnswered()) {
            handOver();
            writer.close(reason);
        }
    }

    // Hands the request over while its body is still arriving.
    void handOver() {
        if (handedOver) {
            return;
        }
        writer = HttpRequest.streaming(headers);
        handle(writer);
        streamCollected();
    }

    void endBody() {
        if (memory != null) {
            memory.complete();
        }
        if (writer != null) {
            streamCollected();
            writer.close();
            return;
        }
        HttpData body = collected.toData();
        collected.clear();
        HttpRequest whole = HttpRequest.of(headers, body);
        if (connection.mayHandle(this)) {
            handle(whole);
        } else {
            waiting = whole;
        }
    }

    void handleIfWaiting() {
        if (waiting != null) {
            HttpRequest whole = waiting;
            waiting = null;
            handle(whole);
        }
    }

    void abortBody() {
        if (writer != null) {
            writer.close(new ClosedChannelException());
        }
    }

    // Ends the exchange because the sender has disconnected.
    void endUnanswered() {
        releaseMemory();
        if (receiver != null) {
            receiver.cancel();
        }
        cancelled.complete(null);
        ended.complete(null);
    }

    void end() {
        release(responseBytes);
        ended.complete(null);
    }

    void respond(AggregatedHttpResponse complete) {
        response = complete;
        endRequest();
        connection.sendCompleteResponses();
    }

    void respondInParts() {
        endRequest();
        connection.sendCompleteResponses();
    }

    private void endRequest() {
        collected.clear();
        releaseMemory();
        if (connection.isReceiving(this)) {
            // The rest of the body is discarded, and nothing is known of its length.
            closeAfterResponse();
            abortBody();
        }
        // A body that has not been read by now may never be.
        connection.unblock(this);
    }

    private void stream(byte[] bytes) {
        if (!writer.tryWrite(HttpData.wrap(bytes))) {
            return;
        }
        CompletableFuture<Void> consumed = writer.whenConsumed();
        if (!consumed.isDone()) {
            unconsumedParts++;
            connection.block(this);
            consumed.whenComplete((ignored, failure) -> connection.runOnLoop(this::endPart));
        }
    }

    private void endPart() {
        unconsumedParts--;
        if (unconsumedParts == 0) {
            connection.unblock(this);
        }
    }

    private void handle(HttpRequest request) {
        handedOver = true;
        try {
            receiver = new ResponseReceiver(this, connection);
            connection.handler().handle(request, this).subscribe(receiver, executor());
        } catch (RuntimeException e) {
            NodeLog.LOG.warn("request failed", e);
            connection.close();
        }
    }
}
