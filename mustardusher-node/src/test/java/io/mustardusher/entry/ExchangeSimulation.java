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

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
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
 * One call that must not run twice, sent by the real link of an entry to real gates over a network that loses, delays
 * and repeats frames, breaks connections, and whose gates die and start anew at the same address.
 */
final class ExchangeSimulation {

    /** Time for which bytes of a broken connection may still arrive, in milliseconds. */
    private static final long LATE_MILLIS = 3_000;

    private static final long CALL_MILLIS = 8_000;
    private static final int STEPS = 40;
    /** Runs everything at once on the calling thread, so that a seed always plays the same history. */
    private static final EventExecutor LOOP = ImmediateEventExecutor.INSTANCE;

    private static final ScheduledExecutorService TIMERS = Executors.newScheduledThreadPool(0);

    private final Random random;
    private final Clock.Manual clock = new Clock.Manual();
    private final HeaderPacking packing = new HeaderPacking(List.of());
    private final List<Event> events = new ArrayList<>();
    private final Map<InetSocketAddress, GateNode> gates = new HashMap<>();
    private final List<String> history = new ArrayList<>();
    private int runs;
    private int sends;
    private Outcome outcome;

    ExchangeSimulation(long seed) {
        random = new Random(seed);
    }

    /**
     * Plays one history.
     *
     * @return what went wrong, or an empty text
     */
    String play() {
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
            events.remove(random.nextInt(events.size())).happen();
        }
        while (!events.isEmpty()) {
            events.remove(random.nextInt(events.size())).happen();
        }
        if (runs > 1) {
            return "ran " + runs + " times: " + history;
        }
        if (outcome == Outcome.NOT_RUN && runs > 0) {
            return "told not run, but ran: " + history;
        }
        return "";
    }

    private void send(InetSocketAddress to, InetSocketAddress next) {
        sends++;
        GateLink link = new GateLink.ForFrames(
                new Network(), to, gates.get(to).boot, packing, () -> 100 + sends, LOOP, clock, null);
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.POST, "/")
                .set(CallHeaders.SERVICE, GateFixture.SERVICE)
                .set(CallHeaders.TIMEOUT, Timeout.format(CALL_MILLIS * Clock.NANOS_PER_MILLI))
                .build();
        Exchange exchange =
                link.send(HttpRequest.of(headers), CALL_MILLIS * Clock.NANOS_PER_MILLI, new CompletableFuture<>());
        exchange.headers().whenComplete((answer, failure) -> {
            Outcome told = failure == null
                    ? Outcome.of(answer.get(CallHeaders.OUTCOME)).orElseThrow()
                    : codeOf(failure);
            history.add("outcome " + told);
            if (told == Outcome.NOT_RUN && next != null) {
                send(next, null);
            } else {
                outcome = told;
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

    private static Outcome codeOf(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        ResultCode code = ((MustardusherException) cause).code();
        return code.outcome();
    }

    private interface Event {

        void happen();
    }

    /** Carries frames, some of them late, twice or not at all. */
    private final class Network implements Peers {

        @Override
        @SuppressWarnings("unchecked")
        public <A> CompletableFuture<A> ask(
                InetSocketAddress address, FrameKind kind, Object question, long timeoutMillis) {
            CompletableFuture<A> answer = new CompletableFuture<>();
            long sent = clock.nanoTime();
            long boot = gates.get(address).boot;
            Event deliver = () -> {
                // A connection ends with the process that accepted it.
                boolean gone = clock.nanoTime() - sent > LATE_MILLIS * Clock.NANOS_PER_MILLI;
                if (gates.get(address).boot != boot) {
                    fail(kind + " cut by a restart", answer, new IOException("connection reset"));
                } else if (!gone) {
                    deliver(address, kind, (CallMessage) question, (CompletableFuture<CallMessage>) answer);
                }
            };
            Event breaks = () -> fail(kind + " broken", answer, new IOException("connection reset"));
            switch (random.nextInt(8)) {
                case 0 -> events.add(() -> fail(kind + " unsent", answer, new FrameClient.NotSentException(null)));
                case 1 -> events.add(breaks);
                case 2 -> {
                    events.add(breaks);
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
                InetSocketAddress address,
                FrameKind kind,
                CallMessage question,
                CompletableFuture<CallMessage> answer) {
            GateNode gate = gates.get(address);
            history.add(kind + " reaches start " + gate.boot + " after " + clock.nanoTime() / Clock.NANOS_PER_MILLI);
            FramedGate asked = gate.framed;
            CompletableFuture<CallMessage> given =
                    switch (kind) {
                        case CALL -> asked.call(question);
                        case RESUME -> asked.resume(question);
                        default -> throw new AssertionError(kind);
                    };
            given.thenAccept(found -> events.add(() -> {
                if (gate.framed != asked || random.nextInt(5) == 0) {
                    fail("answer of " + kind + " lost", answer, new IOException("connection reset"));
                } else if (!answer.isDone()) {
                    history.add("answer of " + kind);
                    answer.complete(found);
                }
            }));
        }
    }

    /** A gate and its later starts. */
    private final class GateNode {

        private long boot;
        private FramedGate framed;

        GateNode(long boot) {
            this.boot = boot;
            open();
        }

        void restart() {
            history.add("restart");
            boot++;
            open();
        }

        private void open() {
            Gate gate = GateFixture.of(clock, TIMERS, 8, ExchangeSimulation.this::run);
            framed = new FramedGate(gate, packing, boot, LOOP, clock);
        }
    }
}
