package io.mustardusher.gate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.call.Problem;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.EventExecutor;

/**
 * The gate as other nodes reach it by frames. It remembers calls for a while after their end, so that an entry whose
 * connection broke can ask for the answer; and what it is asked about but does not know, it never runs. Not run and
 * answered are thus the only two outcomes as long as both nodes live.
 */
public final class FramedGate {

    /**
     * Time for which a call is remembered after its end, in nanoseconds; an entry believes that a call never came only
     * if it was sent less than {@link #VOUCHED_NANOS} ago.
     */
    private static final long REMEMBERED_NANOS = 5_000 * Clock.NANOS_PER_MILLI;

    /** Time after sending for which a gate is sure to remember a call, in nanoseconds, with a second for the way. */
    public static final long VOUCHED_NANOS = REMEMBERED_NANOS - 1_000 * Clock.NANOS_PER_MILLI;

    /** Answers kept at most; of further ended calls only the number is remembered. */
    private static final int ANSWERS = 600;

    private final Gate gate;
    private final HeaderPacking packing;
    private final long boot;
    private final EventExecutor loop;
    private final Clock clock;
    private final Map<Long, Remembered> calls = new HashMap<>();

    /** Ended calls in the order of their ends: those without their answers before those with them. */
    private final Deque<Remembered> bare = new ArrayDeque<>();

    private final Deque<Remembered> answered = new ArrayDeque<>();

    /**
     * Creates a framed gate.
     *
     * @param gate    the gate
     * @param packing packs headers
     * @param boot    start of this process
     * @param loop    collects answers; the one that frames come on, so that no step waits for another thread
     * @param clock   source of time
     */
    public FramedGate(Gate gate, HeaderPacking packing, long boot, EventExecutor loop, Clock clock) {
        this.gate = gate;
        this.packing = packing;
        this.boot = boot;
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Handles a call.
     *
     * @param message the call
     * @return its answer
     */
    public CompletableFuture<CallMessage> call(CallMessage message) {
        Remembered fresh = new Remembered(message.call());
        Remembered known = remember(fresh);
        if (known != fresh) {
            return known.answer;
        }
        RequestHeaders headers = packing.unpackRequest(message.head());
        HttpResponse response = gate.handle(HttpRequest.of(headers, HttpData.wrap(message.body())), fresh.cancelled);
        response.aggregate(loop).whenComplete((whole, failure) -> {
            CallMessage answer = failure == null
                    ? new CallMessage(
                            message.call(),
                            packing.pack(whole.headers()),
                            whole.content().array())
                    : answerGone(message.call());
            end(fresh, answer);
        });
        return fresh.answer;
    }

    /**
     * Answers an entry that has lost the connection on which it sent a call.
     *
     * @param question names the call
     * @return the answer of the call; without headers if it has not run and never will
     */
    public CompletableFuture<CallMessage> resume(CallMessage question) {
        Remembered fresh = new Remembered(question.call());
        Remembered known = remember(fresh);
        if (known != fresh) {
            return known.answer;
        }
        end(fresh, CallMessage.notReceived(question.call(), boot));
        return fresh.answer;
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

    // Returns what is known of the call already, or what is given.
    private synchronized Remembered remember(Remembered fresh) {
        forget();
        Remembered known = calls.putIfAbsent(fresh.number, fresh);
        return known == null ? fresh : known;
    }

    private void end(Remembered call, CallMessage answer) {
        synchronized (this) {
            call.endedNanos = clock.nanoTime();
            answered.addLast(call);
            if (answered.size() > ANSWERS) {
                Remembered oldest = answered.removeFirst();
                oldest.answer = CompletableFuture.completedFuture(answerGone(oldest.number));
                bare.addLast(oldest);
            }
        }
        // Outside the lock: whoever waits for the answer runs now.
        call.answer.complete(answer);
    }

    private CallMessage answerGone(long call) {
        ResponseHeaders lost = Problem.headers(ResultCode.CONNECTION_LOST).build();
        return new CallMessage(call, packing.pack(lost), new byte[0]);
    }

    private void forget() {
        long now = clock.nanoTime();
        for (Deque<Remembered> ended : List.of(bare, answered)) {
            while (!ended.isEmpty() && now - ended.peekFirst().endedNanos > REMEMBERED_NANOS) {
                calls.remove(ended.removeFirst().number);
            }
        }
    }

    private static final class Remembered {

        private final long number;
        private final CompletableFuture<Void> cancelled = new CompletableFuture<>();
        private volatile CompletableFuture<CallMessage> answer = new CompletableFuture<>();
        private long endedNanos;

        Remembered(long number) {
            this.number = number;
        }
    }
}
