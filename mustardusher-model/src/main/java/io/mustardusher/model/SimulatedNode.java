package io.mustardusher.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.mustardusher.admission.Admission;
import io.mustardusher.admission.AdmissionListener;
import io.mustardusher.admission.CallEnd;
import io.mustardusher.admission.Ticket;
import io.mustardusher.budget.SharedAllowance;
import io.mustardusher.budget.WindowBudget;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.health.ServiceShedding;
import io.mustardusher.membership.NodeId;
import io.mustardusher.nested.NestedCallForecast;
import io.mustardusher.nested.RunningCall;
import io.mustardusher.nested.RunningCalls;
import io.mustardusher.result.ResultCode;
import io.mustardusher.retry.RetryPolicy;
import io.mustardusher.routing.LoadReport;
import io.mustardusher.routing.ServerLoad;
import io.mustardusher.routing.ServerPool;
import io.mustardusher.time.Clock;

/** A node: the entry of the callers on its machine, and the gate to the server on its machine. */
final class SimulatedNode {

    /** Fraction of the server's slots that the gate uses, as on the platform. */
    private static final double SAFE_SLOT_FRACTION = 0.8;

    /** Maximum number of queued calls per slot. */
    private static final int QUEUE_PER_SLOT = 2;

    /** Interval at which the gate checks deferred calls, in nanoseconds. */
    private static final double POLL_NANOS = 20.0 * Clock.NANOS_PER_MILLI;

    /** Window of the retry budget, in nanoseconds. */
    private static final long BUDGET_WINDOW_NANOS = 10_000 * Clock.NANOS_PER_MILLI;

    /** Retries of all nodes that the window allows without any calls. */
    private static final double BUDGET_ALLOWANCE = 60;

    /** Maximum number of gates that are tried for one call. */
    private static final int MAX_ATTEMPTS = 5;

    /** Standard deviation of the logarithm of the processing times of a kind of call. */
    private static final double WORK_SPREAD = 0.3;

    /** Time until a server refuses a call, in nanoseconds. */
    private static final double REFUSAL_NANOS = Clock.NANOS_PER_MILLI;

    /** One-way delay that entries assume to servers of their own failure domain, in microseconds. */
    private static final long OWN_DOMAIN_MICROS = 100;

    /** One-way delay that entries assume to servers of other failure domains, in microseconds. */
    private static final long OTHER_DOMAIN_MICROS = 900;

    /** Time after which a caller returns whose call was refused because of its nested calls, in nanoseconds. */
    private static final long DEPENDENCY_RETRY_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    private final Deployment deployment;
    private final Simulation simulation;
    private final String name;
    private final int domain;
    private final String service;
    private final SimulatedServer server;
    private final Processor processor;
    private final Admission admission;
    private final Map<String, ServerPool> pools = new HashMap<>();
    private final Map<ServerLoad, SimulatedNode> gates = new HashMap<>();
    private final Map<String, RetryPolicy> retryPolicies = new HashMap<>();
    private final Map<String, ServiceShedding> shedding = new HashMap<>();
    private final RunningCalls runningCalls;
    private boolean running = true;

    SimulatedNode(
            Deployment deployment, String name, int domain, String service, SimulatedServer server, double coldFactor) {
        this.deployment = deployment;
        this.simulation = deployment.simulation();
        this.name = name;
        this.domain = domain;
        this.service = service;
        this.server = server;
        LoadPattern pattern = deployment.pattern();
        this.processor = new Processor(simulation, pattern.callCostMillis() * Clock.NANOS_PER_MILLI, coldFactor);
        this.runningCalls = new RunningCalls(new NestedCallForecast(simulation, (route, refusing) -> {}), call -> {});
        this.admission = Admission.withLatencyTargets(simulation, SAFE_SLOT_FRACTION);
        admission.configure(pattern.slots(), QUEUE_PER_SLOT, 0);
        admission.open();
        poll();
    }

    /**
     * Makes the servers of all nodes known to the entry of this node.
     *
     * @param nodes all nodes, including this one
     */
    void discover(List<SimulatedNode> nodes) {
        Map<String, List<ServerLoad>> loads = new HashMap<>();
        for (SimulatedNode node : nodes) {
            long servingSinceNanos = -100_000 * Clock.NANOS_PER_MILLI;
            long oneWayMicros = node.domain == domain ? OWN_DOMAIN_MICROS : OTHER_DOMAIN_MICROS;
            ServerLoad load =
                    new ServerLoad(NodeId.of(node.name), deployment.pattern().slots(), oneWayMicros, servingSinceNanos);
            if (node == this) {
                load.readLoadFrom(admission::load);
            }
            gates.put(load, node);
            loads.computeIfAbsent(node.service, key -> new ArrayList<>()).add(load);
        }
        loads.forEach((key, servers) -> pools.put(key, ServerPool.of(servers)));
    }

    void stop() {
        running = false;
    }

    boolean isRunning() {
        return running;
    }

    Processor processor() {
        return processor;
    }

    ServerPool pool(String addressed) {
        return pools.getOrDefault(addressed, ServerPool.EMPTY);
    }

    SimulatedNode gate(ServerLoad load) {
        return gates.get(load);
    }

    RetryPolicy retryPolicy(String addressed) {
        return retryPolicies.computeIfAbsent(
                addressed,
                key -> new RetryPolicy(
                        new WindowBudget(
                                simulation,
                                BUDGET_WINDOW_NANOS,
                                new SharedAllowance(simulation, BUDGET_ALLOWANCE, () -> gates.size())),
                        MAX_ATTEMPTS,
                        RetryPolicy.BudgetExemption.ALL_GATE_REJECTIONS));
    }

    ServiceShedding shedding(String addressed) {
        return shedding.computeIfAbsent(
                addressed, key -> new ServiceShedding(simulation, (refuses, refusing, used) -> {}));
    }

    /**
     * Receives a call from the entry of another node. Nothing happens if this node stops before the call ends.
     *
     * @param spec     the call
     * @param listener receives the end of the call
     */
    void receive(GateCallSpec spec, GateListener listener) {
        processor.run(() -> {
            if (running) {
                offer(
                        spec,
                        (code, load, roomNanos) -> processor.run(() -> {
                            if (running) {
                                simulation.schedule(Deployment.LINK_NANOS, () -> listener.onEnd(code, load, roomNanos));
                            }
                        }));
            }
        });
    }

    /**
     * Offers a call of this node's own entry to the gate.
     *
     * @param spec     the call
     * @param listener receives the end of the call
     */
    void offer(GateCallSpec spec, GateListener listener) {
        LoadReport current = admission.load();
        if (current.queued() > 0 && runningCalls.forecast().refuses(spec.kind().name())) {
            listener.onEnd(ResultCode.DEPENDENCY_REFUSED, current, DEPENDENCY_RETRY_NANOS);
            return;
        }
        if (admission.isSlownessStale()) {
            admission.updateServerLoad(server.busy(), server.slownessPercent());
        }
        admission.offer(new GateCall(spec, listener).ticket);
    }

    private void poll() {
        if (!running) {
            return;
        }
        if (admission.isDeferring()) {
            admission.updateServerLoad(server.busy(), server.slownessPercent());
            admission.poll();
        }
        simulation.schedule(POLL_NANOS, this::poll);
    }

    /**
     * A call as its gate receives it.
     *
     * @param kind          kind of the call
     * @param serviceClass  class of the call
     * @param precedence    order of the call within its class
     * @param deadlineNanos time by which it must be answered, in nanoseconds
     * @param target        time by which an answer is desired
     */
    record GateCallSpec(
            CallKind kind,
            ServiceClass serviceClass,
            Ticket.Precedence precedence,
            long deadlineNanos,
            Ticket.LatencyTarget target) {}

    /** A call from its admission to its end. */
    private final class GateCall implements AdmissionListener {

        private final GateCallSpec spec;
        private final CallKind kind;
        private final GateListener listener;
        private final RunningCall runningCall;
        private final Ticket ticket;
        private boolean ended;

        GateCall(GateCallSpec spec, GateListener listener) {
            this.spec = spec;
            this.kind = spec.kind();
            this.listener = listener;
            this.runningCall =
                    new RunningCall("-", kind.name(), spec.serviceClass(), spec.precedence(), spec.deadlineNanos());
            this.ticket = new Ticket(
                    kind.name(),
                    spec.serviceClass(),
                    spec.deadlineNanos(),
                    false,
                    this,
                    spec.target(),
                    spec.precedence());
        }

        @Override
        public void onAdmitted() {
            if (server.refuses()) {
                simulation.schedule(REFUSAL_NANOS, () -> {
                    admission.updateServerLoad(server.busy(), server.slownessPercent());
                    end(CallEnd.OVERLOADED, ResultCode.SERVER_REFUSED);
                });
                return;
            }
            double spread = Math.exp(WORK_SPREAD * simulation.random().nextGaussian());
            server.process(kind.workMillis() * spread * Clock.NANOS_PER_MILLI, this::afterWork);
            simulation.schedule(
                    kind.deadlineMillis() * Clock.NANOS_PER_MILLI,
                    () -> end(CallEnd.UNANSWERED, ResultCode.DEADLINE_PASSED));
        }

        private void afterWork() {
            LoadPattern.NestedCalls nested = deployment.pattern().nestedCalls(kind.name());
            boolean calls = nested != null && simulation.random().nextDouble() < nested.probability();
            if (nested == null) {
                answer();
            } else if (calls) {
                callNested(nested, nested.count(), server.hold());
            } else {
                deployment.outcomes().recordRun(false);
                answer();
            }
        }

        private void callNested(LoadPattern.NestedCalls nested, int left, Runnable freeSlot) {
            new SimulatedCall(deployment, nested.kind(), SimulatedNode.this, runningCall, answered -> {
                        runningCall.recordNestedCall(
                                ServiceName.of(nested.kind().service()), answered);
                        if (answered && left > 1) {
                            callNested(nested, left - 1, freeSlot);
                            return;
                        }
                        freeSlot.run();
                        deployment.outcomes().recordRun(!answered);
                        if (answered) {
                            answer();
                        } else {
                            admission.updateServerLoad(server.busy(), server.slownessPercent());
                            end(CallEnd.ABANDONED, ResultCode.CONNECTION_LOST);
                        }
                    })
                    .start();
        }

        private void answer() {
            admission.updateServerLoad(server.busy(), server.slownessPercent());
            end(CallEnd.ANSWERED, null);
        }

        @Override
        public void onRejected(ResultCode code) {
            long remainingNanos = spec.target().targetNanos() - simulation.nanoTime();
            listener.onEnd(code, admission.load(), admission.roomDelayNanos(kind.name(), remainingNanos));
        }

        private void end(CallEnd end, ResultCode code) {
            if (!ended) {
                ended = true;
                runningCalls.end(runningCall);
                admission.release(ticket, end);
                listener.onEnd(code, admission.load(), 0);
            }
        }
    }

    /** Receives the end of a call at a gate. */
    @FunctionalInterface
    interface GateListener {

        /**
         * Called once.
         *
         * @param code      reason of the rejection, or {@code null} if the server answered
         * @param load      load of the gate
         * @param roomNanos time until the gate expects room, in nanoseconds
         */
        void onEnd(ResultCode code, LoadReport load, long roomNanos);
    }
}
