package io.mustardusher.http;

import java.io.ByteArrayOutputStream;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpRequestWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.log.NodeLog;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.time.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.EventExecutor;

/**
 * A connection of a listener. Senders may pipeline requests: they are handled as they arrive, and their responses are
 * sent in the order of the requests. Confined to the event loop of its channel.
 */
final class HttpConnection extends ChannelInboundHandlerAdapter {

    /** Number of requests in flight from which no further one is read. */
    static final int MAX_REQUESTS_IN_FLIGHT = 16;

    /** Largest body that is collected before its request is handled, in bytes; a longer one is streamed. */
    private static final int MAX_COLLECTED_BYTES = 64 << 10;

    /** Time for which an incomplete body is collected; after it, the request is handled while the rest arrives. */
    private static final long MAX_COLLECTION_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /**
     * Time for which what the sender is still sending is read after the last response. A connection that is closed with
     * unread bytes is reset, and the response may be lost.
     */
    private static final long MAX_LINGER_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    private static final ByteBuf CONTINUE = Unpooled.unreleasableBuffer(
            Unpooled.copiedBuffer("HTTP/1.1 100 Continue\r\n\r\n", StandardCharsets.US_ASCII));

    private final Channel channel;
    private final RequestHandler handler;
    private final Supplier<RequestLimits> limits;
    private final BiConsumer<HttpResponseStatus, String> rejectionListener;
    private final BodyMemory bodyMemory;
    private final Clock clock;

    /** Requests without a response, in the order of their arrival. */
    private final Deque<PendingRequest> pending = new ArrayDeque<>();

    /** Request whose body is arriving; {@code null} between two requests. */
    private PendingRequest receiving;

    /** Whether the connection closes after the outstanding responses, so that further requests are ignored. */
    private boolean closing;

    /** Request whose streamed body is not being consumed, so that nothing is read; {@code null} if there is none. */
    private PendingRequest blocking;

    /** Whether the last response was written and the rest of what arrives is discarded. */
    private boolean lingering;

    /** Whether a part of a header block has arrived, but not its end. */
    private boolean headIncomplete;

    private final HeadMemory headMemory;

    /** Whether a limit was exceeded at the last check and nothing has arrived since. */
    private boolean overdue;

    private long lingerStartNanos;
    private long headStartNanos;
    private long lastActiveNanos;

    HttpConnection(
            Channel channel,
            RequestHandler handler,
            Supplier<RequestLimits> limits,
            BiConsumer<HttpResponseStatus, String> rejectionListener,
            BodyMemory bodyMemory,
            Clock clock) {
        this.channel = channel;
        this.handler = handler;
        this.limits = limits;
        this.rejectionListener = rejectionListener;
        this.bodyMemory = bodyMemory;
        this.headMemory = new HeadMemory(bodyMemory, () -> runOnLoop(this::giveUpHead));
        this.clock = clock;
        this.lastActiveNanos = clock.nanoTime();
    }

    /** Adds the codec and the handlers of this connection to its channel. */
    void addHandlers() {
        channel.pipeline().addLast(activityHandler(), HttpListener.createCodec(), this);
    }

    // Notes when bytes arrive.
    private ChannelHandler activityHandler() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                lastActiveNanos = clock.nanoTime();
                overdue = false;
                int bytes = ((ByteBuf) message).readableBytes();
                if (receiving == null && !headIncomplete) {
                    headIncomplete = true;
                    headStartNanos = lastActiveNanos;
                }
                context.fireChannelRead(message);
                if (headIncomplete && !closing) {
                    headMemory.hold(bytes);
                }
            }
        };
    }

    private void giveUpHead() {
        if (headIncomplete && !closing) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory for the head");
        }
    }

    private void endHead() {
        headIncomplete = false;
        headMemory.release();
    }

    /** Closes the connection, also while requests are in flight. */
    void close() {
        channel.close();
    }

    /**
     * Closes the connection if a header block takes too long or if it has been idle for too long, at two checks in a
     * row: after a pause of this node, what has arrived in time is read between them.
     */
    void checkTimeouts() {
        long now = clock.nanoTime();
        if (lingering) {
            if (now - lingerStartNanos > MAX_LINGER_NANOS) {
                channel.close();
            }
            return;
        }
        if (receiving != null) {
            if (now - receiving.arrivalNanos > MAX_COLLECTION_NANOS) {
                receiving.handOver();
            }
            return;
        }
        RequestLimits current = limits.get();
        boolean wasOverdue = overdue;
        if (headIncomplete) {
            overdue = channel.config().isAutoRead() && exceeds(now - headStartNanos, current.headerTimeoutMillis());
        } else {
            overdue = pending.isEmpty() && exceeds(now - lastActiveNanos, current.idleTimeoutMillis());
        }
        if (!overdue || !wasOverdue) {
            return;
        }
        if (headIncomplete) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "the head is incomplete");
        } else {
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof io.netty.handler.codec.http.HttpRequest head) {
                receiveHead(head);
            }
            if (message instanceof HttpContent content && receiving != null) {
                receiveContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (receiving != null) {
            receiving.streamCollected();
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        endHead();
        PendingRequest incomplete = receiving;
        receiving = null;
        while (!pending.isEmpty()) {
            PendingRequest lost = pending.removeFirst();
            lost.releaseMemory();
            lost.cancelled.complete(null);
            lost.ended.complete(null);
        }
        // Afterwards, so that the missing rest is not taken for a fault of the server.
        if (incomplete != null) {
            incomplete.abortBody();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        updateReading();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void receiveHead(io.netty.handler.codec.http.HttpRequest head) {
        endHead();
        if (closing) {
            return;
        }
        if (head.decoderResult().isFailure()) {
            Throwable cause = head.decoderResult().cause();
            reject(HeadFault.status(cause), HeadFault.describe(cause));
            return;
        }
        RequestHeaders headers;
        try {
            headers = HttpMessages.toRequestHeaders(head);
        } catch (IllegalArgumentException e) {
            reject(HttpResponseStatus.BAD_REQUEST, HeadFault.describe(e));
            return;
        }
        receiving = new PendingRequest(
                headers, HttpUtil.isKeepAlive(head), head.method().equals(HttpMethod.HEAD));
        pending.addLast(receiving);
        closing = receiving.closeAfter;
        receiving.expectsContinue = HttpUtil.is100ContinueExpected(head);
        askForExpectedBody();
        updateReading();
    }

    // The sender takes an interim response for one to its first request without a response.
    private void askForExpectedBody() {
        if (receiving == null || !receiving.expectsContinue || pending.peekFirst() != receiving) {
            return;
        }
        receiving.expectsContinue = false;
        // The codec would take it for the response to the request, and the next response for that to a later HEAD.
        channel.pipeline().context(HttpServerCodec.class).writeAndFlush(CONTINUE.duplicate());
    }

    private void receiveContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            // Where the next request would start is unknown.
            closing = true;
            channel.close();
            return;
        }
        receiving.append(content.content());
        if (content instanceof LastHttpContent) {
            PendingRequest complete = receiving;
            receiving = null;
            complete.endBody();
            if (closing && pending.isEmpty()) {
                channel.close();
            }
        }
    }

    // Answers what is not a request after the outstanding responses, and closes the connection.
    private void reject(HttpResponseStatus status, String cause) {
        rejectionListener.accept(status, cause);
        endHead();
        closing = true;
        PendingRequest malformed = new PendingRequest(null, false, false);
        pending.addLast(malformed);
        malformed.respond(AggregatedHttpResponse.of(HttpStatus.valueOf(status.code())));
    }

    private void sendCompleteResponses() {
        boolean flush = false;
        while (!pending.isEmpty() && pending.peekFirst().response != null) {
            PendingRequest next = pending.removeFirst();
            FullHttpResponse response = HttpMessages.toFullResponse(next.response, next.toHead);
            lastActiveNanos = clock.nanoTime();
            if (!next.closeAfter) {
                channel.write(response).addListener(sent -> next.ended.complete(null));
                flush = true;
                continue;
            }
            closing = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ChannelFuture written = channel.writeAndFlush(response);
            written.addListener(sent -> next.ended.complete(null));
            if (next.isMalformed()) {
                written.addListener(sent -> shutDownOutput());
                linger();
            } else if (receiving == null) {
                written.addListener(ChannelFutureListener.CLOSE);
            } else {
                linger();
            }
            return;
        }
        if (flush) {
            channel.flush();
            askForExpectedBody();
            updateReading();
        }
    }

    // Reads on after the last response, which has been written.
    private void linger() {
        lingering = true;
        lingerStartNanos = clock.nanoTime();
        updateReading();
    }

    private void shutDownOutput() {
        if (channel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        }
    }

    private void updateReading() {
        boolean read = channel.isWritable() && blocking == null && pending.size() < MAX_REQUESTS_IN_FLIGHT;
        if (channel.config().isAutoRead() != read) {
            channel.config().setAutoRead(read);
        }
    }

    private void runOnLoop(Runnable task) {
        if (channel.eventLoop().inEventLoop()) {
            task.run();
        } else {
            channel.eventLoop().execute(task);
        }
    }

    private static boolean exceeds(long nanos, long limitMillis) {
        return limitMillis > 0 && nanos > limitMillis * Clock.NANOS_PER_MILLI;
    }

    /** A request of this connection whose response has not been sent. */
    private final class PendingRequest implements RequestExchange {

        private final RequestHeaders headers;
        private final boolean toHead;
        private final long arrivalNanos = clock.nanoTime();
        private final CompletableFuture<Void> cancelled = new CompletableFuture<>();
        private final CompletableFuture<Void> ended = new CompletableFuture<>();

        /** Memory of the first bytes of the body, which may be held until the response; {@code null} before them. */
        private BodyMemory.Share memory;

        private int heldBytes;

        /** What has arrived of the body and was not passed on; {@code null} if there is nothing. */
        private ByteArrayOutputStream collected;

        /** Number of parts that were passed on and not consumed. */
        private int unconsumedParts;

        /** Rest of the body after the request was handed over before its end. */
        private HttpRequestWriter writer;

        private boolean handedOver;
        private boolean closeAfter;

        /** Whether the sender waits for an interim response before it sends the body. */
        private boolean expectsContinue;

        private AggregatedHttpResponse response;

        PendingRequest(RequestHeaders headers, boolean keepAlive, boolean toHead) {
            this.headers = headers;
            this.toHead = toHead;
            this.closeAfter = !keepAlive;
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
            return closing && !closeAfter;
        }

        @Override
        public void closeAfterResponse() {
            // Responses to earlier requests are sent before, and later requests are not handled.
            closeAfter = true;
            closing = true;
        }

        @Override
        public EventExecutor executor() {
            return channel.eventLoop();
        }

        boolean isMalformed() {
            return headers == null;
        }

        void append(ByteBuf bytes) {
            boolean discarded = response != null || writer != null && !writer.isOpen();
            if (!bytes.isReadable() || discarded) {
                return;
            }
            expectsContinue = false;
            if (!hold(bytes.readableBytes())) {
                giveUpBody();
                return;
            }
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.getBytes(bytes.readerIndex(), copy);
            if (collected == null) {
                collected = new ByteArrayOutputStream(copy.length);
            }
            collected.writeBytes(copy);
            if (collected.size() <= MAX_COLLECTED_BYTES) {
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
            if (writer != null && collected != null && response == null) {
                byte[] part = collected.toByteArray();
                collected = null;
                stream(part);
            }
        }

        // What follows behind these bytes is only read once it has been consumed.
        private boolean hold(int added) {
            int held = Math.min(added, MAX_COLLECTED_BYTES - heldBytes);
            if (memory == null) {
                memory = bodyMemory.open(() -> runOnLoop(this::giveUpBody));
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

        private void giveUpBody() {
            if (receiving == this && response == null) {
                handOver();
                writer.close(BodyMemory.exhausted());
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
            HttpData body = collected == null ? HttpData.empty() : HttpData.wrap(collected.toByteArray());
            collected = null;
            handle(HttpRequest.of(headers, body));
        }

        void abortBody() {
            if (writer != null) {
                writer.close(new ClosedChannelException());
            }
        }

        void respond(AggregatedHttpResponse complete) {
            response = complete;
            collected = null;
            releaseMemory();
            if (receiving == this) {
                // The rest of the body is discarded, and nothing is known of its length.
                closeAfterResponse();
                abortBody();
            }
            // A body that has not been read by now may never be.
            unblock();
            sendCompleteResponses();
        }

        private void stream(byte[] bytes) {
            if (!writer.tryWrite(HttpData.wrap(bytes))) {
                return;
            }
            CompletableFuture<Void> consumed = writer.whenConsumed();
            if (!consumed.isDone()) {
                blocking = this;
                unconsumedParts++;
                updateReading();
                consumed.whenComplete((ignored, failure) -> runOnLoop(this::endPart));
            }
        }

        private void endPart() {
            unconsumedParts--;
            if (unconsumedParts == 0) {
                unblock();
            }
        }

        private void unblock() {
            if (blocking == this) {
                blocking = null;
                updateReading();
            }
        }

        private void handle(HttpRequest request) {
            handedOver = true;
            try {
                handler.handle(request, this)
                        .aggregate(channel.eventLoop())
                        .whenComplete((complete, failure) -> runOnLoop(() -> {
                            if (failure == null) {
                                respond(complete);
                            } else {
                                channel.close();
                            }
                        }));
            } catch (RuntimeException e) {
                NodeLog.LOG.warn("request failed", e);
                channel.close();
            }
        }
    }
}
