package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import io.mustardusher.call.BodyCollector;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.frame.Peers;
import io.mustardusher.gate.Gate;
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
     * @param loop executor that receives the answers; empty for that of the context in which a call is sent
     */
    record ForLocal(Gate gate, Optional<EventExecutor> loop) implements GateLink {

        @Override
        public Exchange send(HttpRequest request, long remainingNanos, CompletionStage<?> cancelled) {
            HttpResponse response = gate.handle(request, cancelled);
            // Without a context, the response would be received on a thread of a pool.
            return loop.map(executor -> Exchange.ofLocal(response, executor))
                    .orElseGet(() -> Exchange.ofLocal(response));
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
     * A link that takes long to open, which must not hold up the event loop.
     *
     * @param opening opens the link at the first call, and returns the same one afterwards
     * @param loop    executor that sends the calls
     */
    record ForOpening(Supplier<CompletableFuture<GateLink>> opening, EventExecutor loop) implements GateLink {

        @Override
        public Exchange send(HttpRequest request, long remainingNanos, CompletionStage<?> cancelled) {
            CompletableFuture<GateLink> opened = opening.get();
            if (opened.isDone()) {
                return opened.join().send(request, remainingNanos, cancelled);
            }
            CompletableFuture<Exchange> sent =
                    opened.thenApplyAsync(link -> link.send(request, remainingNanos, cancelled), loop);
            return Exchange.ofDeferred(sent, () -> sent.thenAccept(Exchange::abort));
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
     * @param bodyMemory  memory for the bodies of requests
     * @param clock       source of time
     * @param parts       requests the rest of large responses
     * @param fallback    link for calls that do not fit into a frame
     */
    record ForFrames(
            Peers peers,
            InetSocketAddress address,
            long boot,
            HeaderPacking packing,
            LongSupplier callNumbers,
            EventExecutor loop,
            BodyMemory bodyMemory,
            Clock clock,
            PartFetcher parts,
            GateLink fallback)
            implements GateLink {

        /** Largest body that is sent in a frame, in bytes: half of the largest frame. */
        private static final long MAX_BODY_BYTES = 512L << 10;

        @Override
        public Exchange send(HttpRequest request, long remainingNanos, CompletionStage<?> cancelled) {
            long length = request.isEmpty() ? 0 : request.headers().contentLength();
            if (length > MAX_BODY_BYTES || length < 0 && !request.isEmpty()) {
                return fallback.send(request, remainingNanos, cancelled);
            }
            FramedCall call = new FramedCall(this, request.headers(), remainingNanos);
            BodyCollector.aggregate(request, bodyMemory, loop, call.answer()).whenComplete((aggregated, failure) -> {
                if (failure == null) {
                    call.send(aggregated.content().array());
                } else {
                    call.answer().completeExceptionally(Exchange.bodyLost(failure));
                }
            });
            Exchange exchange = call.exchange();
            exchange.abortOn(cancelled);
            return exchange;
        }
    }
}
