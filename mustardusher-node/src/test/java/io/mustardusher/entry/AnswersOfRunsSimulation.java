package io.mustardusher.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.admission.Admission;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.Credential;
import io.mustardusher.frame.FrameClient;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.gate.CrashDetector;
import io.mustardusher.gate.FramedGate;
import io.mustardusher.gate.Gate;
import io.mustardusher.generated.Announcement;
import io.mustardusher.generated.DistanceSettings;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.retry.RetryPolicy;
import io.mustardusher.server.ServerLink;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.ImmediateEventExecutor;

/**
 * Simulates idempotent calls that are sent again and hedged. Servers answer some runs with failures and lose others,
 * and the network between the entry and the real gates loses, delays and repeats frames while gates restart.
 */
final class AnswersOfRunsSimulation {

    private static final long SECOND_NANOS = 1_000 * Clock.NANOS_PER_MILLI;
    private static final int SERVERS = 4;
    private static final int CALLS = 6;
    private static final int MAX_ATTEMPTS = 6;
    private static final int[] STATUSES = {200, 200, 201, 500, 500, 504};
    private static final String TOKEN = "token";
    private static final String RUN = "run";

    private final Random random;
    private final Clock.Manual clock = new Clock.Manual();
    private final ManualTimers timers = new ManualTimers();
    private final HeaderPacking packing = new HeaderPacking(List.of());
    private final List<Runnable> events = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    private final List<GateNode> gates = new ArrayList<>();
    private final List<CompletableFuture<AggregatedHttpResponse>> answers = new ArrayList<>();
    private int answeredRepeatedCalls;

    AnswersOfRunsSimulation(long seed) {
        random = new Random(seed);
    }

    /**
     * Runs the simulation.
     *
     * @return description of the violation, or an empty string
     */
    String simulate() {
        Router router = createRouter();
        for (int call = 0; call < CALLS; call++) {
            answers.add(router.route(createCall(call), CallBody.Buffered.EMPTY, true, new CompletableFuture<Void>())
                    .aggregate());
            step(random.nextInt(6));
        }
        step(Integer.MAX_VALUE);
        for (int call = 0; call < CALLS; call++) {
            String violation =
                    answers.get(call).isDone() ? check(call, answers.get(call).join()) : "";
            if (!violation.isEmpty()) {
                return violation;
            }
        }
        return "";
    }

    /** Returns the number of successes of calls that ran more than once. */
    int answeredRepeatedCalls() {
        return answeredRepeatedCalls;
    }

    private void step(int steps) {
        for (int step = 0; step < steps && !events.isEmpty(); step++) {
            long nanos = random.nextInt(30) * Clock.NANOS_PER_MILLI;
            clock.advanceMillis(nanos / Clock.NANOS_PER_MILLI);
            timers.advance(nanos);
            if (random.nextInt(40) == 0) {
                gates.get(random.nextInt(SERVERS)).restart();
            }
            if (!events.isEmpty()) {
                events.remove(random.nextInt(events.size())).run();
            }
        }
    }

    private String check(int call, AggregatedHttpResponse answer) {
        List<Run> ofCall =
                runs.stream().filter(run -> run.token.equals("" + call)).toList();
        if (!Outcome.RAN.token().equals(answer.headers().get(CallHeaders.OUTCOME))) {
            return "";
        }
        int number = answer.headers().getInt(RUN, -1);
        Run run = ofCall.stream().filter(one -> one.number == number).findAny().orElse(null);
        if (run == null || run.status != answer.status().code() || !run.body().equals(answer.contentUtf8())) {
            return "call " + call + " with " + ofCall + " got " + answer.headers() + " and "
                    + answer.content().length() + " bytes";
        }
        if (ofCall.size() > 1 && answer.status().isSuccess()) {
            answeredRepeatedCalls++;
        }
        return "";
    }

    private Router createRouter() {
        MemberTable members = new MemberTable(member(0).withService(null).withServing(false), clock, new Random(1));
        for (int i = 1; i <= SERVERS; i++) {
            gates.add(new GateNode());
            members.merge(List.of(member(i)));
        }
        ServerDirectory directory = new ServerDirectory(
                members,
                null,
                new DistanceSettings(),
                () -> {
                    throw new AssertionError("no call is streamed");
                },
                new Credential("secret"),
                clock);
        directory.useFrames(new ServerDirectory.FrameTransport(
                new Network(), packing, new AtomicLong(), ImmediateEventExecutor.INSTANCE, BodyMemory.ofNode()));
        directory.refresh();
        return new Router(
                directory,
                new SuspectTable(clock),
                report -> {},
                service -> new RetryPolicy(
                        new RetryPolicyFactory.ForWindow(clock, SECOND_NANOS, () -> 100)
                                .create(service)
                                .budget(),
                        MAX_ATTEMPTS,
                        RetryPolicy.BudgetExemption.ALL_GATE_REJECTIONS),
                timers,
                clock,
                new MetricRegistry());
    }

    private Call createCall(int number) {
        Call call = RouterFixture.call(clock, random.nextInt(3) == 0 ? 100 : 0, MAX_ATTEMPTS, Long.MAX_VALUE);
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/")
                .set(TOKEN, "" + number)
                .build();
        return new Call(
                call.entry(),
                headers,
                "route",
                call.serviceClass(),
                clock.nanoTime() + 5 * SECOND_NANOS,
                Optional.empty(),
                0,
                false,
                call.options());
    }

    private static MemberRecord member(int number) {
        return new MemberRecord()
                .withId("node-" + number)
                .withBoot(1L)
                .withIncarnation(1)
                .withState(MemberState.ALIVE.toRecordState())
                .withHost("127.0.0.1")
                .withFramePort(number)
                .withGatePort(number + 1)
                .withRegion("r")
                .withDomain("d")
                .withService(RouterFixture.SERVICE.value())
                .withSince(1_000)
                .withSlots(4)
                .withServing(true);
    }

    /** One run of a call at a server. */
    private record Run(int number, String token, int status, int length) {

        String body() {
            return ("run " + number + " of " + token + ",").repeat(length);
        }
    }

    /** Server that runs each call that it receives. */
    private final class RunningServer implements ServerLink {

        @Override
        public Exchange send(HttpRequest call, long remainingNanos) {
            int length = random.nextInt(6) == 0 ? 8_000 : 1;
            Run run =
                    new Run(runs.size(), call.headers().get(TOKEN), STATUSES[random.nextInt(STATUSES.length)], length);
            runs.add(run);
            CompletableFuture<AggregatedHttpResponse> answer = new CompletableFuture<>();
            boolean lost = random.nextInt(5) == 0;
            events.add(() -> {
                if (lost) {
                    answer.completeExceptionally(new MustardusherException(ResultCode.DEADLINE_PASSED, "lost"));
                } else {
                    ResponseHeaders headers = ResponseHeaders.builder(run.status)
                            .set(RUN, "" + run.number)
                            .set(CallHeaders.OUTCOME, Outcome.RAN.token())
                            .build();
                    answer.complete(AggregatedHttpResponse.of(headers, HttpData.ofUtf8(run.body())));
                }
            });
            return Exchange.ofAggregated(answer, () -> {});
        }

        @Override
        public CompletableFuture<Void> probe(String path) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void close() {
            // There are no connections.
        }
    }

    /** Gate whose process may restart. */
    private final class GateNode {

        private long boot;
        private FramedGate framed;

        GateNode() {
            restart();
        }

        void restart() {
            boot++;
            Gate gate = new Gate(
                    clock,
                    new SuspectTable(clock),
                    announcement -> new RunningServer(),
                    timers,
                    new CrashDetector(0, () -> new InetSocketAddress(0), timers, suspect -> {}, () -> {}),
                    new Admission(clock),
                    new EventLoopDelay(clock),
                    headers -> "-",
                    new MetricRegistry());
            gate.applyAnnouncement(new Announcement()
                    .withService(RouterFixture.SERVICE.value())
                    .withHost("127.0.0.1")
                    .withPort(1L)
                    .withSlots(2L)
                    .withState(Announcement.State.SERVING));
            gate.configureLimits(1, 0);
            framed = new FramedGate(gate, packing, boot, ImmediateEventExecutor.INSTANCE, BodyMemory.ofNode(), clock);
        }
    }

    /** Network that delays, repeats and loses frames and breaks connections. */
    private final class Network implements Peers {

        @Override
        @SuppressWarnings("unchecked")
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object message, long timeoutMillis) {
            CompletableFuture<CallMessage> answer = new CompletableFuture<>();
            GateNode gate = gates.get(address.getPort() - 1);
            FramedGate process = gate.framed;
            Runnable deliver = () -> {
                if (gate.framed == process) {
                    deliver(process, kind, (CallMessage) message)
                            .thenAccept(found -> events.add(() -> answer.complete(found)));
                }
            };
            Runnable breakConnection = () -> answer.completeExceptionally(new IOException("connection reset"));
            switch (random.nextInt(12)) {
                case 0 -> events.add(() -> answer.completeExceptionally(new FrameClient.NotSentException(null)));
                case 1 -> {
                    events.add(deliver);
                    events.add(breakConnection);
                }
                case 2 -> {
                    events.add(deliver);
                    events.add(deliver);
                    events.add(breakConnection);
                }
                case 3 -> events.add(breakConnection);
                default -> events.add(deliver);
            }
            events.add(() -> {
                if (random.nextInt(8) == 0) {
                    answer.completeExceptionally(new TimeoutException("no answer"));
                }
            });
            return (CompletableFuture<A>) answer;
        }

        private static CompletableFuture<CallMessage> deliver(FramedGate gate, FrameKind kind, CallMessage message) {
            return switch (kind) {
                case CALL -> gate.call(message);
                case RESUME -> gate.resume(message);
                case PART -> gate.part(message);
                case CANCEL -> gate.cancel(message);
                default -> throw new AssertionError(kind);
            };
        }
    }
}
