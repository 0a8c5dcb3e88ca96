package io.mustardusher.server;

import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.RunReport;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.server.ServerDialect.ResponseKind;
import io.mustardusher.time.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/** A connection to a backend server, which carries one exchange at a time. */
final class ServerConnection extends ChannelInboundHandlerAdapter {

    /** Maximum number of informational responses before a response. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    /** Maximum size of what is read past between two responses to own requests, in bytes. */
    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    /**
     * Time for which bytes are awaited that show whether a body is whole, if it may contain another response. Short,
     * because the server runs on the same VM.
     */
    private static final int UNDECIDED_MILLIS = 5;

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
    private static final int MILLIS_PER_SECOND = 1_000;

    private static final AtomicInteger NUMBERS = new AtomicInteger();

    private final BufferedServerLink link;
    private final Channel channel;
    private final Clock clock;
    private final CarriedRequests carried = new CarriedRequests();
    private final ResponseSyntaxHandler syntax = new ResponseSyntaxHandler();

    /** Number of this connection, for the log. */
    private final int number = NUMBERS.incrementAndGet();

    private ServerExchange exchange;
    private ResponseHeaders headers;
    private ResponseKind kind;
    private ResponseBuffer body;

    /** The response, if it is so long that it is passed on as it arrives; {@code null} if it is not. */
    private ResponseStream stream;
    /** Length of the body that the server has stated, in bytes; negative if it has not. */
    private long statedLength;

    private int exchanges;
    private int interimResponses;

    /** Whether a request without an identifier was carried, such as a health probe. */
    private boolean carriedUnnamed;

    /** Whether the request has the method HEAD, so that its response ends with its headers. */
    private boolean toHead;

    private int discardedBytes;

    /** The request that was sent last; {@code null} before the first. */
    private RequestUpload upload;

    /** Why the request is at fault whose body was not sent whole; {@code null} if it is not. */
    private MustardusherException uploadFailure;

    /** Whether a response was discarded since the request was sent. */
    private boolean discarded;

    /** Why the response was given up; {@code null} if it was not. */
    private ResponseFault fault;

    /** Whether the current response is informational or mismatched, so that its content is discarded. */
    private boolean discarding;

    /** Whether the response ends with the close of the connection, since it has neither a length nor chunks. */
    private boolean closeDelimited;

    /** Body of a response that ends shortly, unless what follows shows that it is not whole. */
    private HttpData undecidedBody;

    /** Finds a response in the content of another one that is discarded. */
    private final StatusLineSearch discardedSearch = new StatusLineSearch();

    private boolean reusable = true;

    /** How the connection ended; {@code null} while it is open. */
    private ConnectionEnd end;

    private long idleLimitNanos = Long.MAX_VALUE;
    private long lastUsedNanos;

    ServerConnection(BufferedServerLink link, Channel channel, Clock clock) {
        this.link = link;
        this.channel = channel;
        this.clock = clock;
        this.lastUsedNanos = clock.nanoTime();
    }

    boolean isExpired(long now, long maxIdleNanos) {
        return !channel.isActive() || now - lastUsedNanos > Math.min(maxIdleNanos, idleLimitNanos);
    }

    boolean hasCarried(String requestId) {
        return carried.contains(requestId);
    }

    boolean isCarrying(ServerExchange other) {
        return exchange == other;
    }

    /**
     * Reports the run of the request that was answered last.
     *
     * @param digest digest of the signature of the response
     * @return the report
     */
    RunReport reportRun(String digest) {
        return new RunReport(number, exchanges, discarded, digest);
    }

    void close() {
        end(ConnectionEnd.CLOSED_HERE);
    }

    void send(ServerExchange next, HttpRequest request, String instance, long remainingNanos) {
        exchange = next;
        exchanges++;
        headers = null;
        body = null;
        stream = null;
        closeDelimited = false;
        interimResponses = 0;
        discardedBytes = 0;
        discarded = false;
        RequestHeaders requestHeaders = next.assign(this, request.headers(), instance, remainingNanos);
        next.requestId().ifPresentOrElse(carried::add, () -> carriedUnnamed = true);
        toHead = requestHeaders.method() == HttpMethod.HEAD;
        syntax.onRequest(toHead);
        upload = RequestUpload.start(request, requestHeaders, channel, this::endUpload);
    }

    // Nothing is known of a request of which the server has received a part.
    private void endUpload(Throwable failure) {
        if (failure instanceof MustardusherException reason && reason.code() == ResultCode.BODY_TOO_LARGE) {
            uploadFailure = reason;
        }
        end(ConnectionEnd.WRITE_FAILED);
    }

    // In front of the codec, because the codec hands over as sound what it has forgiven.
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        context.pipeline().addFirst(syntax);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (end != null) {
                return;
            }
            if (message instanceof HttpResponse response) {
                handleResponseHead(response);
            }
            if (message instanceof HttpContent content) {
                handleContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            end(ConnectionEnd.END_OF_STREAM);
        } else if (event instanceof MalformedResponse malformed) {
            rejectMalformed(malformed);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        end(ConnectionEnd.READ_FAILED);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        link.remove(this);
        if (upload != null) {
            upload.abort();
        }
        completeUndecided();
        if (exchange == null) {
            releaseBody();
            return;
        }
        // Without a cause, nothing shows that the server has sent all of its response.
        ConnectionEnd ended = end == null ? ConnectionEnd.READ_FAILED : end;
        if (closeDelimited && headers != null && ended.completesUnframedResponse()) {
            finish();
            completeUndecided();
        } else {
            fail(fault == null ? ended.description() : fault.description());
        }
    }

    // Only the first cause counts, because the others follow from it: what is unsent fails to be written, for example.
    private void end(ConnectionEnd cause) {
        if (end == null) {
            end = cause;
            channel.close();
        }
    }

    private void rejectMalformed(MalformedResponse malformed) {
        link.reportMalformed(malformed.syntax());
        if (undecidedBody != null) {
            rejectMixed();
        } else if (end == null) {
            giveUp(malformed.fault());
        } else if (fault == null) {
            link.reportFault(malformed.fault());
        }
    }

    private void handleResponseHead(HttpResponse response) {
        if (undecidedBody != null) {
            rejectMixed();
            return;
        }
        boolean malformed = response.decoderResult().isFailure() || isContinuedByAnother(response);
        boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational && !malformed) {
            startDiscarding();
            interimResponses++;
            if (interimResponses > MAX_INTERIM_RESPONSES) {
                giveUp(ResponseFault.ENDLESS_INTERIM);
            }
            return;
        }
        if (exchange == null || malformed) {
            // Invalid, or without a request: further responses could not be matched to their requests.
            reusable = false;
            if (exchange == null && !malformed) {
                link.reportDiscarded(convertHeaders(response), number, Optional.empty());
            }
            giveUp(ResponseFault.MALFORMED_HEAD);
            return;
        }
        ResponseHeaders received = convertHeaders(response);
        ResponseKind receivedKind = exchange.classify(received, exchanges == 1 && reusable);
        if (receivedKind == ResponseKind.MISMATCHED) {
            link.reportDiscarded(received, number, exchange.requestId());
            discarded = true;
            reusable = false;
            // The codec expects no content behind a response while one to HEAD is due.
            if (toHead || !exchange.isLate(received, carried)) {
                giveUp(ResponseFault.MISMATCHED);
                return;
            }
            startDiscarding();
            return;
        }
        headers = received;
        kind = receivedKind;
        statedLength = HttpUtil.isTransferEncodingChunked(response) ? -1 : HttpUtil.getContentLength(response, -1L);
        body = new ResponseBuffer(link.bufferBudget());
        closeDelimited = !toHead
                && !HttpUtil.isContentLengthSet(response)
                && !HttpUtil.isTransferEncodingChunked(response)
                && response.status().code() != 204
                && response.status().code() != 304;
        reusable &= HttpUtil.isKeepAlive(response)
                && !closeDelimited
                && kind != ResponseKind.INVALID
                && exchange.isNamedBy(received)
                && exchange.isFromInstance(received);
        idleLimitNanos = idleLimitNanos(response.headers());
        if (toHead) {
            // A second response to HEAD states the length of content that does not follow, so that the response to the
            // next request would be taken for it.
            reusable = false;
            finish();
        }
    }

    // A head that is cut within a line goes on with the status line of the next response.
    private static boolean isContinuedByAnother(HttpResponse response) {
        return StatusLineSearch.isIn(response.status().reasonPhrase()) || containsStatusLine(response.headers());
    }

    private static boolean containsStatusLine(HttpHeaders headers) {
        Iterator<Map.Entry<CharSequence, CharSequence>> fields = headers.iteratorCharSequence();
        while (fields.hasNext()) {
            if (StatusLineSearch.isIn(fields.next().getValue())) {
                return true;
            }
        }
        return false;
    }

    private void handleContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (content.decoderResult().isFailure()) {
            giveUp(ResponseFault.MALFORMED_BODY);
            return;
        }
        if (discarding) {
            discarding = !last;
            discardedBytes += content.content().readableBytes();
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                giveUp(ResponseFault.ENDLESS_MISMATCH);
            } else if (discardedSearch.next(content.content()) || last && hasDueTrailers((LastHttpContent) content)) {
                // A late response that is cut short would hide the beginning of the one that is due.
                giveUp(ResponseFault.MIXED_CONTENT);
            }
            return;
        }
        if (exchange == null || headers == null || undecidedBody != null) {
            return;
        }
        if (!receive(content.content())) {
            return;
        }
        if (last && isContinuedByAnother(((LastHttpContent) content).trailingHeaders())) {
            giveUp(ResponseFault.MIXED_CONTENT);
            return;
        }
        if (last && !closeDelimited) {
            finish();
        }
    }

    private boolean receive(ByteBuf content) {
        if (stream == null && body.add(content)) {
            return true;
        }
        boolean passedOn = link.passesOnLongResponses()
                && exchange.mayPassOn(kind)
                && (stream != null || body.isExceededBy(content.readableBytes()));
        if (!passedOn) {
            giveUp(ResponseFault.BODY_TOO_LONG);
            return false;
        }
        if (stream == null) {
            startStream();
        }
        boolean sound = stream.add(content);
        if (!sound || stream.isTooLong()) {
            giveUp(sound ? ResponseFault.BODY_TOO_LONG : ResponseFault.MIXED_CONTENT);
            return false;
        }
        return true;
    }

    private void startStream() {
        ServerExchange started = exchange;
        ResponseBuffer buffer = body;
        HttpData received = buffer.take();
        stream = new ResponseStream(started.streamedHeaders(headers, statedLength), channel, this::findEmbedded, () -> {
            if (isCarrying(started)) {
                close();
            }
        });
        stream.add(received.byteBuf());
        stream.whenConsumed(() -> buffer.shrinkTo(ResponseStream.MEMORY_BYTES));
        started.passOn(stream.response());
    }

    private EmbeddedResponse findEmbedded(byte[] bytes) {
        return EmbeddedResponse.find(
                bytes,
                header -> exchange.isLate(header, carried) || carriedUnnamed && exchange.isInstanceNamed(header));
    }

    // If the last chunk or the trailers are cut, the codec takes the head of the next response for trailers.
    private boolean isContinuedByAnother(HttpHeaders trailers) {
        return !trailers.isEmpty()
                && (containsStatusLine(trailers)
                        || exchange.isLate(convertHeaders(HttpStatus.OK.code(), trailers), carried));
    }

    // If a late response is cut in its last chunk, the codec takes the head of the response that is due for trailers.
    private boolean hasDueTrailers(LastHttpContent content) {
        return exchange != null
                && exchange.requestId().isPresent()
                && exchange.isNamedBy(convertHeaders(HttpStatus.OK.code(), content.trailingHeaders()));
    }

    private void startDiscarding() {
        discarding = true;
        discardedSearch.reset();
    }

    private void finish() {
        HttpData held = body.complete();
        HttpData completeBody = stream == null ? held : HttpData.wrap(stream.heldBytes());
        body = null;
        EmbeddedResponse found = findEmbedded(completeBody.array());
        switch (found) {
            case ABSENT -> complete(completeBody);
            case PRESENT -> rejectMixed();
            default -> awaitNextBytes(completeBody);
        }
    }

    private void awaitNextBytes(HttpData completeBody) {
        undecidedBody = completeBody;
        Runnable timeout = () -> {
            if (undecidedBody == completeBody) {
                completeUndecided();
            }
        };
        channel.eventLoop().schedule(timeout, UNDECIDED_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void completeUndecided() {
        if (undecidedBody != null) {
            HttpData completeBody = undecidedBody;
            undecidedBody = null;
            complete(completeBody);
        }
    }

    private void rejectMixed() {
        undecidedBody = null;
        fault = ResponseFault.MIXED_CONTENT;
        link.reportFault(fault);
        end(ConnectionEnd.GIVEN_UP);
        // Nothing else fails the exchange if the connection had ended before.
        if (exchange != null) {
            fail(fault.description());
        }
    }

    private void complete(HttpData completeBody) {
        ServerExchange ended = exchange;
        exchange = null;
        lastUsedNanos = clock.nanoTime();
        // The server would take the next request for the rest of the body.
        reusable &= upload.isComplete();
        // What is malformed behind the response would be taken for the answer to the next request.
        if (reusable && !syntax.hasFault() && !carried.isFull() && channel.isActive()) {
            link.release(this);
        } else {
            close();
        }
        if (stream == null) {
            ended.complete(kind, headers, completeBody);
        } else {
            stream.complete(completeBody);
            ended.completePassedOn(headers);
        }
    }

    private void fail(String detail) {
        ServerExchange ended = exchange;
        exchange = null;
        releaseBody();
        if (stream != null) {
            stream.fail(new MustardusherException(ResultCode.CONNECTION_LOST, detail));
        }
        if (uploadFailure == null) {
            ended.fail(ResultCode.CONNECTION_LOST, detail);
        } else {
            ended.fail(uploadFailure.code(), uploadFailure.getMessage());
        }
    }

    // Closes the connection at once; what follows on it could not be matched to a request.
    private void giveUp(ResponseFault found) {
        if (end != null) {
            return;
        }
        fault = found;
        link.reportFault(found);
        end(ConnectionEnd.GIVEN_UP);
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private static ResponseHeaders convertHeaders(HttpResponse response) {
        return convertHeaders(response.status().code(), response.headers());
    }

    private static ResponseHeaders convertHeaders(int status, HttpHeaders received) {
        ResponseHeadersBuilder converted = ResponseHeaders.builder(status);
        received.forEach(field -> {
            if (!CallHeaders.isStrippedFromServerAnswer(field.getKey())) {
                converted.add(field.getKey(), field.getValue());
            }
        });
        return converted.build();
    }

    private static long idleLimitNanos(HttpHeaders responseHeaders) {
        String text = responseHeaders.get("keep-alive");
        Matcher timeout = text == null ? null : KEEP_ALIVE_TIMEOUT.matcher(text);
        if (timeout == null || !timeout.find()) {
            return Long.MAX_VALUE;
        }
        // Half of the stated timeout, so that the server does not close the connection while a request is on its way.
        return Long.parseLong(timeout.group(1)) * MILLIS_PER_SECOND / 2 * Clock.NANOS_PER_MILLI;
    }
}
