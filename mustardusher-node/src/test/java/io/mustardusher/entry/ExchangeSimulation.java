package io.mustardusher.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.call.Timeout;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.FrameClient;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.gate.FramedGate;
import io.mustardusher.gate.Gate;
import io.mustardusher.gate.GateFixture;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ImmediateEventExecutor;

/**
 * Simulates one call that must not run twice. The real link of an entry sends it to real gates over a network that
 * loses, delays and repeats frames and breaks connections, while gates restart at the same address.
 */
final class ExchangeSimulation {

    /** Longest delay with which a frame may still arrive, even after its connection broke, in milliseconds. */
    private static final long MAX_FRAME_DELAY_MILLIS = 3_000;

    private static final long CALL_TIMEOUT_MILLIS = 8_000;
    private static final int STEPS = 40;
    /** Runs every task on the calling thread, so that a seed always gives the same history. */
    private static final EventExecutor LOOP = ImmediateEventExecutor.INSTANCE;

    private static final ScheduledExecutorService TIMERS = Executors.newScheduledThreadPool(0);

    private final Random random;
    private final Clock.Manual clock = new Clock.Manual();
    private final HeaderPacking packing = new HeaderPacking(List.of());
    private final List<Event> events = new ArrayList<>();
    private final Map<InetSocketAddress, GateNode> gates = new HashMap<>();
    private final List<String> history = new ArrayList<>();
    private int runs;
    private final AtomicLong numbers = new AtomicLong(100);
    private Outcome outcome;

    ExchangeSimulation(long seed) {
        random = new Random(seed);
    }

    /**
     * Runs the simulation.
     *
     * @return description of the violation, or an empty string
     */
    String simulate() {
        InetSocketAddress first = new InetSocketAddress("127.0.0.1", 1);
        InetSocketAddress second = new InetSocketAddress("127.0.0.1", 2);
        gates.put(first, new GateNode(1));
        gates.put(second, new GateNode(1));
        send(first, second);
        for (int step = 0; step < STEPS && !events.isEmpty(); step++) {
            clock.advanceMillis(random.nextInt(10) == 0 ? random.nextInt(7_000) : random.nextInt(40));
            if (random.nextInt(12) == 0) {
                gates.get(random.nextBoolean() ? first : second).restart();
            }
            events.remove(random.nextInt(events.size())).execute();
        }
        while (!events.isEmpty()) {
            events.remove(random.nextInt(events.size())).execute();
        }
        if (runs > 1) {
            return "ran " + runs + " times: " + history;
        }
        if (outcome == Outcome.NOT_RUN && runs > 0) {
            return "reported as not run, but ran: " + history;
        }
        return "";
    }

    private void send(InetSocketAddress to, InetSocketAddress next) {
        GateLink link = new GateLink.ForFrames(
                new Network(),
                to,
                gates.get(to).boot,
                packing,
                numbers::incrementAndGet,
                LOOP,
                BodyMemory.ofNode(),
                clock,
                null,
                null);
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.POST, "/")
                .set(CallHeaders.SERVICE, GateFixture.SERVICE)
                .set(CallHeaders.TIMEOUT, Timeout.format(CALL_TIMEOUT_MILLIS * Clock.NANOS_PER_MILLI))
                .build();
        Exchange exchange = link.send(
                HttpRequest.of(headers), CALL_TIMEOUT_MILLIS * Clock.NANOS_PER_MILLI, new CompletableFuture<>());
        exchange.headers().whenComplete((answer, failure) -> {
            Outcome reported = failure == null
                    ? Outcome.of(answer.get(CallHeaders.OUTCOME)).orElseThrow()
                    : outcomeOf(failure);
            history.add("outcome " + reported);
            if (reported == Outcome.NOT_RUN && next != null) {
                send(next, null);
            } else {
                outcome = reported;
            }
        });
    }

    private CompletableFuture<AggregatedHttpResponse> run() {
        runs++;
        history.add("runs");
        CompletableFuture<AggregatedHttpResponse> answer = new CompletableFuture<>();
        events.add(() -> answer.complete(AggregatedHttpResponse.of(ResponseHeaders.builder(HttpStatus.OK)
                .set(CallHeaders.OUTCOME, Outcome.RAN.token())
                .build())));
        return answer;
    }

    private static Outcome outcomeOf(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        ResultCode code = ((MustardusherException) cause).code();
        return code.outcome();
    }

    private interface Event {

        void execute();
    }

    /** Network that delays, repeats and loses frames and breaks connections. */
    private final class Network implements Peers {

        @Override
        @SuppressWarnings("unchecked")
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object message, long timeoutMillis) {
            CompletableFuture<A> answer = new CompletableFuture<>();
            long sentNanos = clock.nanoTime();
            long boot = gates.get(address).boot;
            Event deliver = () -> {
                // A connection does not outlive the process that accepted it.
                boolean expired = clock.nanoTime() - sentNanos > MAX_FRAME_DELAY_MILLIS * Clock.NANOS_PER_MILLI;
                if (gates.get(address).boot != boot) {
                    fail(kind + " cut by a restart", answer, new IOException("connection reset"));
                } else if (!expired) {
                    deliver(address, kind, (CallMessage) message, (CompletableFuture<CallMessage>) answer);
                }
            };
            Event breakConnection = () -> fail(kind + " broken", answer, new IOException("connection reset"));
            switch (random.nextInt(8)) {
                case 0 -> events.add(() -> fail(kind + " unsent", answer, new FrameClient.NotSentException(null)));
                case 1 -> events.add(breakConnection);
                case 2 -> {
                    events.add(breakConnection);
                    events.add(deliver);
                }
                case 3 -> {
                    events.add(deliver);
                    events.add(deliver);
                }
                default -> events.add(deliver);
            }
            events.add(() -> fail(kind + " timed out", answer, new TimeoutException("no answer")));
            return answer;
        }

        private void fail(String what, CompletableFuture<?> answer, Exception failure) {
            if (!answer.isDone()) {
                history.add(what);
                answer.completeExceptionally(failure);
            }
        }

        private void deliver(
                InetSocketAddress address, FrameKind kind, CallMessage message, CompletableFuture<CallMessage> answer) {
            GateNode gate = gates.get(address);
            history.add(kind + " reaches start " + gate.boot + " after " + clock.nanoTime() / Clock.NANOS_PER_MILLI);
            FramedGate receiver = gate.framed;
            CompletableFuture<CallMessage> gateAnswer =
                    switch (kind) {
                        case CALL -> receiver.call(message);
                        case RESUME -> receiver.resume(message);
                        default -> throw new AssertionError(kind);
                    };
            gateAnswer.thenAccept(found -> events.add(() -> {
                if (gate.framed != receiver || random.nextInt(5) == 0) {
                    fail("answer of " + kind + " lost", answer, new IOException("connection reset"));
                } else if (!answer.isDone()) {
                    history.add("answer of " + kind);
                    answer.complete(found);
                }
            }));
        }
    }

    /** A gate whose process may restart. */
    private final class GateNode {

        private long boot;
        private FramedGate framed;

        GateNode(long boot) {
            this.boot = boot;
            createGate();
        }

        void restart() {
            history.add("restart");
            boot++;
            createGate();
        }

        private void createGate() {
            Gate gate = GateFixture.of(clock, TIMERS, 8, ExchangeSimulation.this::run);
            framed = new FramedGate(gate, packing, boot, LOOP, BodyMemory.ofNode(), clock);
        }
    }
}
