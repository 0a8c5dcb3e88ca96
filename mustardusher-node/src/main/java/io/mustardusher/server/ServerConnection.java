package io.mustardusher.server;

import java.io.ByteArrayOutputStream;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.result.ResultCode;
import io.mustardusher.server.ServerDialect.Verdict;
import io.mustardusher.time.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/** One connection to a backend server; carries one exchange at a time. */
final class ServerConnection extends ChannelInboundHandlerAdapter {

    /** Largest answer that is held whole, in bytes: an eighth of a node's heap. */
    private static final int MAX_ANSWER_BYTES = 8 << 20;

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
    private static final int MILLIS_PER_SECOND = 1_000;

    private final WholeAnswerLink link;
    private final Channel channel;
    private final Clock clock;
    private ServerExchange exchange;
    private ResponseHeaders head;
    private Verdict verdict;
    private ByteArrayOutputStream body;
    private boolean skipping;
    private boolean endsWithConnection;
    private boolean reusable = true;
    private boolean broken;
    private long idleLimitNanos = Long.MAX_VALUE;
    private long usedNanos;

    ServerConnection(WholeAnswerLink link, Channel channel, Clock clock) {
        this.link = link;
        this.channel = channel;
        this.clock = clock;
        this.usedNanos = clock.nanoTime();
    }

    boolean isExpired(long now, long maxIdleNanos) {
        return !channel.isActive() || now - usedNanos > Math.min(maxIdleNanos, idleLimitNanos);
    }

    boolean carries(ServerExchange other) {
        return exchange == other;
    }

    void close() {
        channel.close();
    }

    void send(ServerExchange next, AggregatedHttpRequest whole, String instance, long leftNanos) {
        exchange = next;
        head = null;
        body = null;
        endsWithConnection = false;
        RequestHeaders headers = next.sentOn(this, whole.headers(), instance, leftNanos);
        ByteBuf content = whole.content().isEmpty()
                ? Unpooled.EMPTY_BUFFER
                : Unpooled.wrappedBuffer(whole.content().array());
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(headers.method().name()), headers.path(), content);
        headers.forEach((name, value) -> {
            if (name.charAt(0) != ':') {
                message.headers().add(name, value);
            }
        });
        message.headers().set(HttpHeaderNames.HOST, headers.authority());
        boolean hasBody = content.isReadable() || headers.contains(HttpHeaderNames.CONTENT_LENGTH);
        if (hasBody) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        }
        channel.writeAndFlush(message).addListener(written -> {
            if (!written.isSuccess()) {
                channel.close();
            }
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpResponse response) {
                began(response);
            }
            if (message instanceof HttpContent content) {
                continued(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        broken = true;
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        link.ended(this);
        if (exchange == null) {
            return;
        }
        if (endsWithConnection && !broken && head != null) {
            finish();
        } else {
            fail("the backend server closed the connection");
        }
    }

    private void began(HttpResponse response) {
        boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational && response.decoderResult().isSuccess()) {
            skipping = true;
            return;
        }
        if (exchange == null || response.decoderResult().isFailure()) {
            // An answer that nobody asked for: what follows on this connection cannot be trusted.
            reusable = false;
            broken = true;
            channel.close();
            return;
        }
        ResponseHeaders present = headers(response);
        Verdict judged = exchange.judge(present);
        if (judged == Verdict.FOREIGN) {
            skipping = true;
            reusable = false;
            return;
        }
        head = present;
        verdict = judged;
        body = new ByteArrayOutputStream();
        endsWithConnection = !HttpUtil.isContentLengthSet(response)
                && !HttpUtil.isTransferEncodingChunked(response)
                && response.status().code() != 204
                && response.status().code() != 304;
        reusable &= HttpUtil.isKeepAlive(response) && !endsWithConnection;
        idleLimitNanos = idleLimit(response.headers());
    }

    private void continued(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            return;
        }
        if (exchange == null || head == null) {
            return;
        }
        if (content.decoderResult().isFailure()
                || body.size() + content.content().readableBytes() > MAX_ANSWER_BYTES) {
            broken = true;
            channel.close();
            return;
        }
        byte[] bytes = new byte[content.content().readableBytes()];
        content.content().readBytes(bytes);
        body.writeBytes(bytes);
        if (last && !endsWithConnection) {
            finish();
        }
    }

    private void finish() {
        ServerExchange ended = exchange;
        exchange = null;
        usedNanos = clock.nanoTime();
        HttpData whole = HttpData.wrap(body.toByteArray());
        body = null;
        if (reusable && channel.isActive()) {
            link.giveBack(this);
        } else {
            channel.close();
        }
        ended.complete(verdict, head, whole);
    }

    private void fail(String detail) {
        ServerExchange ended = exchange;
        exchange = null;
        ended.fail(ResultCode.CONNECTION_LOST, detail);
    }

    private static ResponseHeaders headers(HttpResponse response) {
        ResponseHeadersBuilder headers =
                ResponseHeaders.builder(response.status().code());
        response.headers().forEach(field -> {
            if (!CallHeaders.isStrippedFromServerAnswer(field.getKey())) {
                headers.add(field.getKey(), field.getValue());
            }
        });
        return headers.build();
    }

    private static long idleLimit(HttpHeaders headers) {
        String text = headers.get("keep-alive");
        Matcher timeout = text == null ? null : KEEP_ALIVE_TIMEOUT.matcher(text);
        if (timeout == null || !timeout.find()) {
            return Long.MAX_VALUE;
        }
        // Half of what the server states, so that its close and a request do not cross.
        return Long.parseLong(timeout.group(1)) * MILLIS_PER_SECOND / 2 * Clock.NANOS_PER_MILLI;
    }
}
