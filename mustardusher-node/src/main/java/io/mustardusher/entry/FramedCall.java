package io.mustardusher.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.Timeout;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.FrameClient;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.gate.FramedGate;
import io.mustardusher.log.NodeLog;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;

/**
 * One call that an entry sends to a gate in frames. If the connection is lost, the gate is asked over another one what
 * became of the call. A call that the gate has not received, and therefore will not run, is sent once more under
 * another number.
 */
final class FramedCall {

    /** Time after the deadline for which the gate's own report of the expiry is awaited, in milliseconds. */
    private static final long DEADLINE_GRACE_MILLIS = 60;

    /** Timeout of a cancellation frame, in milliseconds. Its answer is ignored. */
    private static final long CANCEL_TIMEOUT_MILLIS = 500;

    private final GateLink.ForFrames link;
    private final RequestHeaders headers;
    private final long startNanos;
    private final long deadlineNanos;
    private final CompletableFuture<AggregatedHttpResponse> answer = new CompletableFuture<>();
    private final CompletableFuture<Exchange> begun = new CompletableFuture<>();
    private byte[] body;
    private boolean sentAgain;

    /** Transfer of a large response; {@code null} before its first part. */
    private volatile PartFetcher.Transfer transfer;

    /** Exchange that reads a response too long for frames; {@code null} if there is none. */
    private volatile Exchange stream;

    /** The last sending, which is the only one that may run. */
    private volatile Sending current;

    /**
     * Creates a call.
     *
     * @param link           link to the gate
     * @param headers        headers of the request
     * @param remainingNanos time until the headers of the answer are due, in nanoseconds
     */
    FramedCall(GateLink.ForFrames link, RequestHeaders headers, long remainingNanos) {
        this.link = link;
        this.headers = headers;
        this.startNanos = link.clock().nanoTime();
        this.deadlineNanos = startNanos + remainingNanos;
        this.current = nextSending();
        answer.whenComplete((whole, failure) -> begun.complete(Exchange.ofAggregated(answer, this::abort)));
    }

    /**
     * Returns the exchange, whose answer is whole or goes on arriving.
     *
     * @return the exchange
     */
    Exchange exchange() {
        return Exchange.ofDeferred(begun, this::abort);
    }

    /**
     * Returns the answer.
     *
     * @return completes with the answer, or fails with a {@link MustardusherException}
     */
    CompletableFuture<AggregatedHttpResponse> answer() {
        return answer;
    }

    /**
     * Sends the call.
     *
     * @param requestBody body of the request
     */
    void send(byte[] requestBody) {
        body = requestBody;
        request(FrameKind.CALL, new CallMessage(current.number, link.packing().pack(headers), body));
    }

    /** Cancels the call, unless it has been answered. */
    void abort() {
        if (answer.isDone()) {
            return;
        }
        if (stream != null) {
            stream.abort();
        } else if (transfer == null) {
            CallMessage reference = CallMessage.referringTo(current.number);
            link.peers().request(link.address(), FrameKind.CANCEL, reference, CANCEL_TIMEOUT_MILLIS);
        } else {
            transfer.fail();
        }
        fail(ResultCode.CONNECTION_LOST, "cancelled");
    }

    private void request(FrameKind kind, CallMessage message) {
        long remainingMillis =
                (deadlineNanos - link.clock().nanoTime()) / Clock.NANOS_PER_MILLI + DEADLINE_GRACE_MILLIS;
        if (remainingMillis <= 0) {
            if (kind == FrameKind.CALL) {
                fail(ResultCode.DEADLINE_EXPIRED, "no time left to send it");
            } else {
                fail(ResultCode.DEADLINE_PASSED, "no answer");
            }
            return;
        }
        CompletableFuture<CallMessage> reply = link.peers().request(link.address(), kind, message, remainingMillis);
        reply.whenComplete((response, failure) -> {
            if (failure == null) {
                onResponse(kind, response);
            } else if (kind == FrameKind.CALL && failure instanceof FrameClient.NotSentException) {
                fail(ResultCode.SERVER_UNREACHABLE, "cannot connect to the gate");
            } else if (failure instanceof TimeoutException) {
                fail(ResultCode.DEADLINE_PASSED, "no answer");
            } else if (kind == FrameKind.CALL) {
                request(FrameKind.RESUME, CallMessage.referringTo(message.call()));
            } else {
                fail(ResultCode.CONNECTION_LOST, "the gate is gone");
            }
        });
    }

    private void onResponse(FrameKind kind, CallMessage response) {
        boolean notReceived = response.confirmsNotReceivedBy(link.boot())
                && current.ageNanos(link.clock()) < FramedGate.GUARANTEED_RETENTION_NANOS;
        if (kind == FrameKind.RESUME) {
            NodeLog.DECISIONS.callResumed(link.address().toString(), notReceived ? "not received" : "received");
        }
        if (notReceived) {
            onNotReceived(kind);
        } else if (response.head() == null) {
            fail(ResultCode.CONNECTION_LOST, "the gate has started anew or may have forgotten the call");
        } else {
            onReceived(response);
        }
    }

    private void onReceived(CallMessage response) {
        ResponseHeaders received;
        try {
            received = link.packing().unpackResponse(response.head());
        } catch (RuntimeException e) {
            link.peers().onMalformedAnswer();
            NodeLog.LOG.responseMalformed("the node at " + link.address(), String.valueOf(e.getMessage()));
            fail(ResultCode.CONNECTION_LOST, "the answer is malformed");
            return;
        }
        if (received.contains(CallHeaders.STREAMED)) {
            openStream(received);
            return;
        }
        byte[] bytes = response.body();
        int length = received.getInt(CallHeaders.LENGTH, bytes.length);
        if (length <= bytes.length || answer.isDone()) {
            answer.complete(AggregatedHttpResponse.of(received, HttpData.wrap(bytes)));
            return;
        }
        ResponseHeaders whole =
                received.toBuilder().removeAndThen(CallHeaders.LENGTH).build();
        transfer = link.parts().fetch(current.number, bytes, length);
        transfer.body().whenComplete((body, failure) -> {
            if (failure == null) {
                answer.complete(AggregatedHttpResponse.of(whole, HttpData.wrap(body)));
            } else {
                answer.completeExceptionally(failure);
            }
        });
    }

    private void openStream(ResponseHeaders received) {
        if (answer.isDone()) {
            return;
        }
        RequestHeaders request = RequestHeaders.builder(HttpMethod.GET, "/")
                .setLong(CallHeaders.STREAM, current.number)
                .build();
        long remainingNanos = deadlineNanos - link.clock().nanoTime();
        stream = link.fallback().send(HttpRequest.of(request), remainingNanos, new CompletableFuture<>());
        begun.complete(stream);
        stream.whenComplete().whenComplete((ended, failure) -> answer.complete(AggregatedHttpResponse.of(received)));
    }

    // The gate has just answered over a new connection, so that it is the best one to send the call to again.
    private void onNotReceived(FrameKind kind) {
        long now = link.clock().nanoTime();
        if (kind != FrameKind.RESUME || sentAgain || answer.isDone() || deadlineNanos - now <= 0) {
            fail(ResultCode.SERVER_UNREACHABLE, "the call never reached the gate");
            return;
        }
        sentAgain = true;
        current = nextSending();
        RequestHeadersBuilder updated = headers.toBuilder();
        updated.set(CallHeaders.TIMEOUT, Timeout.format(deadlineNanos - now));
        String target = headers.get(CallHeaders.TARGET);
        if (target != null) {
            long targetNanos = Timeout.parse(target).orElse(0) - (now - startNanos);
            updated.set(CallHeaders.TARGET, Timeout.format(targetNanos));
        }
        request(FrameKind.CALL, new CallMessage(current.number, link.packing().pack(updated.build()), body));
    }

    private Sending nextSending() {
        Clock clock = link.clock();
        return new Sending(link.callNumbers().getAsLong(), clock.nanoTime(), clock.epochMillis());
    }

    private void fail(ResultCode code, String detail) {
        answer.completeExceptionally(new MustardusherException(code, detail));
    }

    /**
     * One sending of the call. The steady clock may not advance while the process is suspended, and the wall clock may
     * be set back. The age is the longer of both measures, so that neither fault makes a call look more recent than it
     * is.
     *
     * @param number      number of the call at the gate
     * @param steadyNanos steady time, in nanoseconds
     * @param epochMillis wall-clock time, in milliseconds since the Unix epoch
     */
    private record Sending(long number, long steadyNanos, long epochMillis) {

        long ageNanos(Clock clock) {
            long wallClockNanos = (clock.epochMillis() - epochMillis) * Clock.NANOS_PER_MILLI;
            return Math.max(clock.nanoTime() - steadyNanos, wallClockNanos);
        }
    }
}
