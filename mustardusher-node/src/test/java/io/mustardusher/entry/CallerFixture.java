package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.http.CallerChannel;
import io.mustardusher.result.Outcome;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.time.Clock;

/** A caller on a connection of a listener, whose calls an entry sends to the simulated gate of another node. */
final class CallerFixture {

    /** Time limit of each call. */
    static final long TIMEOUT_MILLIS = 3_000;

    /** Calls that arrived at the gate, in that order. */
    final List<HeldCall> calls = new ArrayList<>();

    final Entry entry;

    final CallerChannel caller;

    private final Clock.Manual clock = new Clock.Manual();
    private final HeaderPacking packing = new HeaderPacking(List.of());

    CallerFixture(ScheduledExecutorService timers, RequestLimits limits) {
        CallerProtocol protocol = new PlainProtocol(TIMEOUT_MILLIS, limits);
        Router router = RouterFixture.create(clock, timers, packing, new HeldGate(), List.of(true));
        entry = new Entry(router, null, protocol, call -> {}, new EventLoopDelay(clock), clock, new MetricRegistry());
        caller = new CallerChannel(entry, () -> limits, clock);
    }

    /** Stops the entry of a node that ends after some time. */
    void stop(long graceMillis) {
        entry.stop(clock.nanoTime() + graceMillis * Clock.NANOS_PER_MILLI);
    }

    /** A call at the gate. */
    final class HeldCall {

        final RequestHeaders headers;
        final String path;
        final byte[] body;
        private final long number;
        private final CompletableFuture<CallMessage> answer = new CompletableFuture<>();

        private HeldCall(CallMessage message) {
            number = message.call();
            headers = packing.unpackRequest(message.head());
            path = headers.path();
            body = message.body();
        }

        boolean isAnswered() {
            return answer.isDone();
        }

        void answer() {
            byte[] content = expectedAnswer(path, body).getBytes(StandardCharsets.US_ASCII);
            ResponseHeaders answered = ResponseHeaders.builder(200)
                    .set(CallHeaders.OUTCOME, Outcome.RAN.token())
                    .set(CallHeaders.RUN, "7.3.0.cbf43926")
                    .contentLength(content.length)
                    .build();
            answer.complete(new CallMessage(number, packing.pack(answered), content));
        }
    }

    /** Returns the content of the answer to a call. */
    static String expectedAnswer(String path, byte[] body) {
        return path + " " + body.length + " " + Arrays.hashCode(body);
    }

    private final class HeldGate implements Peers {

        @Override
        @SuppressWarnings("unchecked")
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object request, long timeoutMillis) {
            CallMessage message = (CallMessage) request;
            if (kind == FrameKind.CANCEL) {
                return (CompletableFuture<A>) CompletableFuture.completedFuture(message);
            }
            HeldCall call = new HeldCall(message);
            calls.add(call);
            return (CompletableFuture<A>) call.answer;
        }
    }
}
