package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.FrameClient;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.gate.FramedGate;
import io.mustardusher.gate.Gate;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.EventExecutor;

/** Sends calls from an entry to one gate. */
interface GateLink {

    /**
     * Sends a call.
     *
     * @param request        request of the call, with the headers that only nodes set
     * @param remainingNanos time until the headers of the answer are due, in nanoseconds
     * @param cancelled      completes when the caller has cancelled the call
     * @return the exchange
     */
    Exchange send(HttpRequest request, long remainingNanos, CompletionStage<?> cancelled);

    /**
     * A link to the gate of the same process.
     *
     * @param gate the gate
     */
    record ForLocal(Gate gate) implements GateLink {

        @Override
        public Exchange send(HttpRequest request, long remainingNanos, CompletionStage<?> cancelled) {
            return Exchange.ofLocal(gate.handle(request, cancelled));
        }
    }

    /**
     * A link to the gate of another node by HTTP streams.
     *
     * @param client        HTTP client of that node
     * @param authorization value of the authorization header
     */
    record ForRemote(Supplier<WebClient> client, String authorization) implements GateLink {

        /** Time after the deadline for which the gate's own report of the expiry is awaited, in nanoseconds. */
        private static final long DEADLINE_GRACE_NANOS = 100_000_000L;

        @Override
        public Exchange send(HttpRequest request, long remainingNanos, CompletionStage<?> cancelled) {
            HttpRequest signed =
                    request.withHeaders(request.headers().toBuilder().set("authorization", authorization));
            Exchange exchange = Exchange.send(client.get(), signed, remainingNanos + DEADLINE_GRACE_NANOS);
            exchange.abortOn(cancelled);
            return exchange;
        }
    }

    /**
     * A link to the gate of another node by frames. Calls whose body is of unknown length or too large for a frame use
     * another link.
     *
     * @param peers       client of other nodes
     * @param address     frame address of the node
     * @param boot        start time of the node's process, in milliseconds since the Unix epoch
     * @param packing     encoding of headers
     * @param callNumbers supplies the number of each call
     * @param loop        executor that aggregates requests
     * @param clock       source of time
     * @param fallback    link for calls that do not fit into a frame
     */
    record ForFrames(
            Peers peers,
            InetSocketAddress address,
            long boot,
            HeaderPacking packing,
            LongSupplier callNumbers,
            EventExecutor loop,
            Clock clock,
            GateLink fallback)
            implements GateLink {

        /** Largest body that is sent in a frame, in bytes: half of the largest frame. */
        private static final long MAX_BODY_BYTES = 512L << 10;

        /** Time after the deadline for which the gate's own report of the expiry is awaited, in milliseconds. */
        private static final long DEADLINE_GRACE_MILLIS = 60;

        /** Timeout of a cancellation frame, in milliseconds. Its answer is ignored. */
        private static final long CANCEL_TIMEOUT_MILLIS = 500;

        @Override
        public Exchange send(HttpRequest request, long remainingNanos, CompletionStage<?> cancelled) {
            long length = request.isEmpty() ? 0 : request.headers().contentLength();
            if (length > MAX_BODY_BYTES || length < 0 && !request.isEmpty()) {
                return fallback.send(request, remainingNanos, cancelled);
            }
            long call = callNumbers.getAsLong();
            long end = clock.nanoTime() + remainingNanos + DEADLINE_GRACE_MILLIS * Clock.NANOS_PER_MILLI;
            SendTime sendTime = new SendTime(clock.nanoTime(), clock.epochMillis());
            CompletableFuture<AggregatedHttpResponse> answer = new CompletableFuture<>();
            request.aggregate(loop).whenComplete((aggregated, failure) -> {
                if (failure != null) {
                    answer.completeExceptionally(Exchange.bodyLost(failure));
                    return;
                }
                byte[] body = aggregated.content().array();
                CallMessage message = new CallMessage(call, packing.pack(request.headers()), body);
                request(FrameKind.CALL, message, sendTime, end, answer);
            });
            Exchange exchange = Exchange.ofAggregated(answer, () -> {
                if (!answer.isDone()) {
                    peers.request(address, FrameKind.CANCEL, CallMessage.referringTo(call), CANCEL_TIMEOUT_MILLIS);
                    answer.completeExceptionally(new MustardusherException(ResultCode.CONNECTION_LOST, "cancelled"));
                }
            });
            exchange.abortOn(cancelled);
            return exchange;
        }

        private void request(
                FrameKind kind,
                CallMessage message,
                SendTime sendTime,
                long end,
                CompletableFuture<AggregatedHttpResponse> answer) {
            long remainingMillis = (end - clock.nanoTime()) / Clock.NANOS_PER_MILLI;
            if (remainingMillis <= 0) {
                answer.completeExceptionally(
                        kind == FrameKind.CALL
                                ? new MustardusherException(ResultCode.DEADLINE_EXPIRED, "no time left to send it")
                                : new MustardusherException(ResultCode.DEADLINE_PASSED, "no answer"));
                return;
            }
            CompletableFuture<CallMessage> reply = peers.request(address, kind, message, remainingMillis);
            reply.whenComplete((response, failure) -> {
                if (failure == null) {
                    completeAnswer(response, sendTime, answer);
                } else if (kind == FrameKind.CALL && failure instanceof FrameClient.NotSentException) {
                    answer.completeExceptionally(
                            new MustardusherException(ResultCode.SERVER_UNREACHABLE, "cannot connect to the gate"));
                } else if (failure instanceof TimeoutException) {
                    answer.completeExceptionally(new MustardusherException(ResultCode.DEADLINE_PASSED, "no answer"));
                } else if (kind == FrameKind.CALL) {
                    request(FrameKind.RESUME, CallMessage.referringTo(message.call()), sendTime, end, answer);
                } else {
                    answer.completeExceptionally(
                            new MustardusherException(ResultCode.CONNECTION_LOST, "the gate is gone"));
                }
            });
        }

        private void completeAnswer(
                CallMessage response, SendTime sendTime, CompletableFuture<AggregatedHttpResponse> answer) {
            if (response.confirmsNotReceivedBy(boot)
                    && sendTime.ageNanos(clock) < FramedGate.GUARANTEED_RETENTION_NANOS) {
                answer.completeExceptionally(
                        new MustardusherException(ResultCode.SERVER_UNREACHABLE, "the call never reached the gate"));
                return;
            }
            if (response.head() == null) {
                answer.completeExceptionally(new MustardusherException(
                        ResultCode.CONNECTION_LOST, "the gate has started anew or may have forgotten the call"));
                return;
            }
            answer.complete(
                    AggregatedHttpResponse.of(packing.unpackResponse(response.head()), HttpData.wrap(response.body())));
        }

        // The steady clock may not advance while the process is suspended, and the wall clock may be set back. The age
        // is the longer of both measures, so that neither fault makes a call look more recent than it is.
        private record SendTime(long steadyNanos, long epochMillis) {

            long ageNanos(Clock clock) {
                long wallClockNanos = (clock.epochMillis() - epochMillis) * Clock.NANOS_PER_MILLI;
                return Math.max(clock.nanoTime() - steadyNanos, wallClockNanos);
            }
        }
    }
}
