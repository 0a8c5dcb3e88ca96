package io.mustardusher.gate;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.call.Problem;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.time.Clock;

/**
 * The gate as other nodes reach it by frames. It remembers calls for a while after their end, so that an entry whose
 * connection broke can ask for the answer; and what it is asked about but does not know, it never runs. Not run and
 * answered are
 * thus the only two outcomes as long as both nodes live.
 */
public final class FramedGate {

    /**
     * Time for which an ended or refused call is remembered, in nanoseconds: longer than an entry waits for an
     * answer.
     */
    private static final long REMEMBERED_NANOS = 5_000 * Clock.NANOS_PER_MILLI;

    /** Ended calls remembered at most; the memory for their answers is bounded by it. */
    private static final int REMEMBERED = 600;

    private final Gate gate;
    private final HeaderPacking packing;
    private final Clock clock;
    private final Map<Long, Remembered> calls = new LinkedHashMap<>();

    /**
     * Creates a framed gate.
     *
     * @param gate    the gate
     * @param packing packs headers
     * @param clock   source of time
     */
    public FramedGate(Gate gate, HeaderPacking packing, Clock clock) {
        this.gate = gate;
        this.packing = packing;
        this.clock = clock;
    }

    /**
     * Handles a call.
     *
     * @param message the call
     * @return its answer
     */
    public CompletableFuture<CallMessage> call(CallMessage message) {
        Remembered fresh;
        synchronized (this) {
            forget();
            Remembered known = calls.get(message.call());
            if (known != null) {
                return known.answer;
            }
            fresh = new Remembered(clock.nanoTime());
            calls.put(message.call(), fresh);
        }
        RequestHeaders headers = packing.request(message.head());
        HttpResponse response = gate.handle(HttpRequest.of(headers, HttpData.wrap(message.body())), fresh.cancelled);
        response.aggregate().whenComplete((whole, failure) -> {
            AggregatedHttpResponse answer = failure == null
                    ? whole
                    : Problem.response(failure).aggregate().join();
            byte[] body = answer.content().array();
            fresh.answer.complete(new CallMessage(message.call(), packing.pack(answer.headers()), body));
        });
        return fresh.answer;
    }

    /**
     * Answers an entry that has lost the connection on which it sent a call.
     *
     * @param question names the call
     * @return the answer of the call; without headers if it has not run and never will
     */
    public synchronized CompletableFuture<CallMessage> resume(CallMessage question) {
        return calls.computeIfAbsent(question.call(), call -> Remembered.refused(call, clock.nanoTime())).answer;
    }

    /**
     * Gives up a call.
     *
     * @param message names the call
     * @return the message
     */
    public CompletableFuture<CallMessage> cancel(CallMessage message) {
        Remembered known;
        synchronized (this) {
            known = calls.get(message.call());
        }
        if (known != null) {
            known.cancelled.complete(null);
        }
        return CompletableFuture.completedFuture(message);
    }

    private void forget() {
        long now = clock.nanoTime();
        calls.values()
                .removeIf(known -> known.answer.isDone()
                        && (now - known.sinceNanos > REMEMBERED_NANOS || calls.size() > REMEMBERED));
    }

    private static final class Remembered {

        private final long sinceNanos;
        private final CompletableFuture<CallMessage> answer = new CompletableFuture<>();
        private final CompletableFuture<Void> cancelled = new CompletableFuture<>();

        Remembered(long sinceNanos) {
            this.sinceNanos = sinceNanos;
        }

        static Remembered refused(long call, long now) {
            Remembered refused = new Remembered(now);
            refused.answer.complete(CallMessage.about(call));
            return refused;
        }
    }
}
