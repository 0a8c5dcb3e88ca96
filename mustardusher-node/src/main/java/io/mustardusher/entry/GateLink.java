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

/** Way from an entry to a gate. */
interface GateLink {

    /**
     * Sends a call.
     *
     * @param request   the call, with the headers that nodes set
     * @param leftNanos time until the answer must begin, in nanoseconds
     * @param cancelled completes when the caller has given up
     * @return the exchange
     */
    Exchange send(HttpRequest request, long leftNanos, CompletionStage<?> cancelled);

    /**
     * The gate of the same process.
     *
     * @param gate the gate
     */
    record ForLocal(Gate gate) implements GateLink {

        @Override
        public Exchange send(HttpRequest request, long leftNanos, CompletionStage<?> cancelled) {
            return Exchange.within(gate.handle(request, cancelled));
        }
    }

    /**
     * The gate of another node.
     *
     * @param client        client of that node
     * @param authorization value of the authorization header
     */
    record ForRemote(Supplier<WebClient> client, String authorization) implements GateLink {

        /** Time by which the gate's own word on a deadline may be later than the deadline, in nanoseconds. */
        private static final long GRACE_NANOS = 100_000_000L;

        @Override
        public Exchange send(HttpRequest request, long leftNanos, CompletionStage<?> cancelled) {
            HttpRequest signed =
                    request.withHeaders(request.headers().toBuilder().set("authorization", authorization));
            Exchange exchange = Exchange.send(client.get(), signed, leftNanos + GRACE_NANOS);
            exchange.abortOn(cancelled);
            return exchange;
        }
    }

    /**
     * The gate of another node, reached by frames; calls whose body is streamed or large go by another way.
     *
     * @param peers   other nodes
     * @param address frame address of the node
     * @param boot    start of its process
     * @param packing packs headers
     * @param numbers numbers calls
     * @param loop    collects requests
     * @param clock   source of time
     * @param large   way for what does not fit into a frame
     */
    record ForFrames(
            Peers peers,
            InetSocketAddress address,
            long boot,
            HeaderPacking packing,
            LongSupplier numbers,
            EventExecutor loop,
            Clock clock,
            GateLink large)
            implements GateLink {

        /** Largest body that travels in a frame, in bytes: half of the largest frame. */
        private static final long MAX_BODY_BYTES = 512L << 10;

        /** Time by which the gate's own word on a deadline may be later than the deadline, in milliseconds. */
        private static final long GRACE_MILLIS = 60;

        /** Time allowed for the answer to a cancellation, in milliseconds; nobody waits for it. */
        private static final long CANCEL_MILLIS = 500;

        @Override
        public Exchange send(HttpRequest request, long leftNanos, CompletionStage<?> cancelled) {
            long length = request.isEmpty() ? 0 : request.headers().contentLength();
            if (length > MAX_BODY_BYTES || length < 0 && !request.isEmpty()) {
                return large.send(request, leftNanos, cancelled);
            }
            long call = numbers.getAsLong();
            long end = clock.nanoTime() + leftNanos + GRACE_MILLIS * Clock.NANOS_PER_MILLI;
            Sent sent = new Sent(clock.nanoTime(), clock.epochMillis());
            CompletableFuture<AggregatedHttpResponse> answer = new CompletableFuture<>();
            request.aggregate(loop).whenComplete((whole, failure) -> {
                byte[] body = failure == null ? whole.content().array() : new byte[0];
                CallMessage message = new CallMessage(call, packing.pack(request.headers()), body);
                ask(FrameKind.CALL, message, sent, end, answer);
            });
            Exchange exchange = Exchange.ofWhole(answer, () -> {
                if (!answer.isDone()) {
                    peers.ask(address, FrameKind.CANCEL, CallMessage.about(call), CANCEL_MILLIS);
                    answer.completeExceptionally(new MustardusherException(ResultCode.CONNECTION_LOST, "cancelled"));
                }
            });
            exchange.abortOn(cancelled);
            return exchange;
        }

        private void ask(
                FrameKind kind,
                CallMessage message,
                Sent sent,
                long end,
                CompletableFuture<AggregatedHttpResponse> answer) {
            long left = (end - clock.nanoTime()) / Clock.NANOS_PER_MILLI;
            if (left <= 0) {
                answer.completeExceptionally(new MustardusherException(ResultCode.DEADLINE_PASSED, "no answer"));
                return;
            }
            CompletableFuture<CallMessage> reply = peers.ask(address, kind, message, left);
            reply.whenComplete((found, failure) -> {
                if (failure == null) {
                    answered(found, sent, answer);
                } else if (kind == FrameKind.CALL && failure instanceof FrameClient.NotSentException) {
                    answer.completeExceptionally(
                            new MustardusherException(ResultCode.SERVER_UNREACHABLE, "cannot connect to the gate"));
                } else if (failure instanceof TimeoutException) {
                    answer.completeExceptionally(new MustardusherException(ResultCode.DEADLINE_PASSED, "no answer"));
                } else if (kind == FrameKind.CALL) {
                    ask(FrameKind.RESUME, CallMessage.about(message.call()), sent, end, answer);
                } else {
                    answer.completeExceptionally(
                            new MustardusherException(ResultCode.CONNECTION_LOST, "the gate is gone"));
                }
            });
        }

        private void answered(CallMessage found, Sent sent, CompletableFuture<AggregatedHttpResponse> answer) {
            if (found.neverCameTo(boot) && sent.age(clock) < FramedGate.GUARANTEED_RETENTION_NANOS) {
                answer.completeExceptionally(
                        new MustardusherException(ResultCode.SERVER_UNREACHABLE, "the call never reached the gate"));
                return;
            }
            if (found.head() == null) {
                answer.completeExceptionally(new MustardusherException(
                        ResultCode.CONNECTION_LOST, "the gate has started anew or may have forgotten the call"));
                return;
            }
            answer.complete(AggregatedHttpResponse.of(packing.response(found.head()), HttpData.wrap(found.body())));
        }

        // A process that was suspended does not see the time on its steady clock, one whose time was set back does not
        // see it on the other; the longer of both counts.
        private record Sent(long steadyNanos, long epochMillis) {

            long age(Clock clock) {
                long byDate = (clock.epochMillis() - epochMillis) * Clock.NANOS_PER_MILLI;
                return Math.max(clock.nanoTime() - steadyNanos, byDate);
            }
        }
    }
}
