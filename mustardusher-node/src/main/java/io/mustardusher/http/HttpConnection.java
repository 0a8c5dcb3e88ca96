package io.mustardusher.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.BodyMemory;
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

/**
 * A connection of a listener. Senders may pipeline requests: they are handled as they arrive, and their responses are
 * sent in the order of the requests. Confined to the event loop of its channel.
 */
final class HttpConnection extends ChannelInboundHandlerAdapter {

    /** Number of requests in flight from which no further one is read. */
    static final int MAX_REQUESTS_IN_FLIGHT = 16;

    /** Time for which an incomplete body is collected; after it, the request is handled while the rest arrives. */
    private static final long MAX_COLLECTION_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /**
     * Time for which what the sender is still sending is read after the last response. A connection that is closed with
     * unread bytes is reset, and the response may be lost.
     */
    private static final long MAX_LINGER_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Bytes that are read after the last response, at most; whoever sends more is not waiting for it. */
    private static final int MAX_LINGER_BYTES = 1 << 20;

    private static final ByteBuf CONTINUE = Unpooled.unreleasableBuffer(
            Unpooled.copiedBuffer("HTTP/1.1 100 Continue\r\n\r\n", StandardCharsets.US_ASCII));

    private final Channel channel;
    private final RequestHandler handler;
    private final Supplier<RequestLimits> limits;
    private final BiConsumer<HttpResponseStatus, String> rejectionListener;
    private final BodyMemory bodyMemory;
    private final UnsentResponses unsent;
    private final ReadTurns turns;
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

    private int lingerBytes;

    /** Whether this connection waits for its turn to read. */
    private boolean awaitsTurn;

    /** Time at which the bytes arrived that are being handled, in nanoseconds. */
    private long readStartNanos;

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
            BodyMemory responseMemory,
            ReadTurns turns,
            Clock clock) {
        this.channel = channel;
        this.handler = handler;
        this.limits = limits;
        this.rejectionListener = rejectionListener;
        this.bodyMemory = bodyMemory;
        this.unsent = new UnsentResponses(responseMemory, () -> runOnLoop(this::close));
        this.turns = turns;
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
                readStartNanos = clock.nanoTime();
                lastActiveNanos = readStartNanos;
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
                if (lingering) {
                    countDiscarded(bytes);
                }
            }
        };
    }

    private void countDiscarded(int bytes) {
        lingerBytes += bytes;
        if (lingerBytes > MAX_LINGER_BYTES) {
            channel.close();
        }
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
            if (now - receiving.arrivalNanos() > MAX_COLLECTION_NANOS) {
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
        if (readsInTurns()) {
            turns.charge(clock.nanoTime() - readStartNanos);
        }
        updateReading();
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        endHead();
        unsent.release();
        PendingRequest incomplete = receiving;
        receiving = null;
        while (!pending.isEmpty()) {
            pending.removeFirst().endUnanswered();
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
                this, headers, HttpUtil.isKeepAlive(head), head.method().equals(HttpMethod.HEAD));
        pending.addLast(receiving);
        closing = receiving.closesAfterResponse();
        receiving.setExpectsContinue(HttpUtil.is100ContinueExpected(head));
        receiving.beginBody();
        askForExpectedBody();
        updateReading();
    }

    // The sender takes an interim response for one to its first request without a response.
    private void askForExpectedBody() {
        if (receiving == null || !receiving.expectsContinue() || pending.peekFirst() != receiving) {
            return;
        }
        receiving.setExpectsContinue(false);
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
        PendingRequest malformed = new PendingRequest(this, null, false, false);
        pending.addLast(malformed);
        malformed.respond(AggregatedHttpResponse.of(HttpStatus.valueOf(status.code())));
    }

    /** Sends the responses that are complete and not preceded by one that is not. */
    void sendCompleteResponses() {
        boolean flush = false;
        while (!pending.isEmpty() && pending.peekFirst().isAnswered()) {
            if (pending.peekFirst().isAnsweredInParts()) {
                lastActiveNanos = clock.nanoTime();
                channel.flush();
                pending.peekFirst().sendParts();
                return;
            }
            PendingRequest next = pending.removeFirst();
            FullHttpResponse response = next.toFullResponse();
            lastActiveNanos = clock.nanoTime();
            if (!next.closesAfterResponse()) {
                channel.write(response).addListener(sent -> endSending(next));
                flush = true;
                continue;
            }
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            closeAfter(next, channel.writeAndFlush(response));
            return;
        }
        if (flush) {
            channel.flush();
            askForExpectedBody();
            handleWaiting();
            updateReading();
        }
    }

    /**
     * Ends a response that was sent in parts.
     *
     * @param request the request, which is the first without a response
     * @param written completes when the end of the response has been written
     */
    void endResponse(PendingRequest request, ChannelFuture written) {
        pending.remove(request);
        lastActiveNanos = clock.nanoTime();
        if (request.closesAfterResponse()) {
            closeAfter(request, written);
            return;
        }
        written.addListener(sent -> endSending(request));
        askForExpectedBody();
        handleWaiting();
        updateReading();
        sendCompleteResponses();
    }

    private void closeAfter(PendingRequest last, ChannelFuture written) {
        closing = true;
        written.addListener(sent -> endSending(last));
        if (last.isMalformed()) {
            written.addListener(sent -> shutDownOutput());
            linger();
        } else if (receiving == null) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else {
            linger();
        }
    }

    private void endSending(PendingRequest sent) {
        sent.end();
        handleWaiting();
    }

    /**
     * Releases a response, or a part of one, that was sent.
     *
     * @param bytes memory that it took, in bytes
     */
    void release(int bytes) {
        unsent.remove(bytes);
    }

    /**
     * Holds a response until it is sent. Without room for it, the connection is closed: its caller takes too little.
     *
     * @param bytes length of the response, in bytes
     */
    void hold(int bytes) {
        if (!unsent.add(bytes)) {
            channel.close();
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

    /** Reads on, or stops, as the state of this connection demands. */
    void updateReading() {
        boolean read = isReading();
        boolean inTurns = read && readsInTurns();
        if (channel.config().isAutoRead() != (read && !inTurns)) {
            channel.config().setAutoRead(read && !inTurns);
        }
        if (inTurns && !awaitsTurn) {
            awaitsTurn = true;
            turns.await(this::readInTurn);
        }
    }

    /**
     * Returns whether this connection reads, at once or in its turn.
     *
     * @return {@code true} unless something has to be answered, sent or consumed before
     */
    boolean isReading() {
        return channel.isOpen() && channel.isWritable() && blocking == null && pending.size() < MAX_REQUESTS_IN_FLIGHT;
    }

    private boolean readsInTurns() {
        return lingering || receiving != null && receiving.isLaborious();
    }

    private void readInTurn() {
        awaitsTurn = false;
        if (isReading() && readsInTurns()) {
            channel.read();
        } else if (channel.isOpen()) {
            updateReading();
        }
    }

    // Requests beyond those that may be in flight arrive if they were read together with others.
    private void handleWaiting() {
        int position = 0;
        for (PendingRequest request : List.copyOf(pending)) {
            if (position == MAX_REQUESTS_IN_FLIGHT || position > 0 && unsent.isLarge()) {
                return;
            }
            request.handleIfWaiting();
            if (request.closesAfterResponse()) {
                return;
            }
            position++;
        }
    }

    /**
     * Returns whether a request may be handled now, as one of those in flight.
     *
     * @param request the request
     * @return {@code false} if responses to others have to be sent before
     */
    boolean mayHandle(PendingRequest request) {
        if (pending.peekFirst() == request) {
            return true;
        }
        if (unsent.isLarge()) {
            return false;
        }
        if (pending.size() <= MAX_REQUESTS_IN_FLIGHT) {
            return true;
        }
        int position = 0;
        for (PendingRequest before : pending) {
            if (before == request || position == MAX_REQUESTS_IN_FLIGHT) {
                break;
            }
            position++;
        }
        return position < MAX_REQUESTS_IN_FLIGHT;
    }

    /**
     * Runs a task on the event loop of this connection, at once if that is the current thread.
     *
     * @param task the task
     */
    void runOnLoop(Runnable task) {
        if (channel.eventLoop().inEventLoop()) {
            task.run();
        } else {
            channel.eventLoop().execute(task);
        }
    }

    private static boolean exceeds(long nanos, long limitMillis) {
        return limitMillis > 0 && nanos > limitMillis * Clock.NANOS_PER_MILLI;
    }

    Channel channel() {
        return channel;
    }

    Clock clock() {
        return clock;
    }

    BodyMemory bodyMemory() {
        return bodyMemory;
    }

    RequestLimits limits() {
        return limits.get();
    }

    RequestHandler handler() {
        return handler;
    }

    boolean isClosing() {
        return closing;
    }

    /** Ignores what follows behind the requests that have arrived. */
    void setClosing() {
        closing = true;
    }

    boolean isReceiving(PendingRequest request) {
        return receiving == request;
    }

    /**
     * Reads nothing more until a request has consumed what has arrived of its body.
     *
     * @param request the request
     */
    void block(PendingRequest request) {
        blocking = request;
        updateReading();
    }

    /**
     * Ends a block by a request, if there is one.
     *
     * @param request the request
     */
    void unblock(PendingRequest request) {
        if (blocking == request) {
            blocking = null;
            updateReading();
        }
    }
}
