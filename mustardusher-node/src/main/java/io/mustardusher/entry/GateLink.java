package io.mustardusher.entry;

import java.util.concurrent.CompletionStage;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import io.mustardusher.call.Exchange;
import io.mustardusher.gate.Gate;

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
    record ForRemote(WebClient client, String authorization) implements GateLink {

        /** Time by which the gate's own word on a deadline may be later than the deadline, in nanoseconds. */
        private static final long GRACE_NANOS = 100_000_000L;

        @Override
        public Exchange send(HttpRequest request, long leftNanos, CompletionStage<?> cancelled) {
            HttpRequest signed =
                    request.withHeaders(request.headers().toBuilder().set("authorization", authorization));
            Exchange exchange = Exchange.send(client, signed, leftNanos + GRACE_NANOS);
            exchange.abortOn(cancelled);
            return exchange;
        }
    }
}
