package io.mustardusher.model;

import java.util.List;
import java.util.Optional;

import io.mustardusher.admission.Ticket;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.retry.FailedAttempt;
import io.mustardusher.retry.RetryPolicy;
import io.mustardusher.routing.LoadReport;
import io.mustardusher.routing.RoutingPolicy;
import io.mustardusher.routing.ServerLoad;
import io.mustardusher.routing.ServerSelection;
import io.mustardusher.time.Clock;

/** A call from its first attempt by a caller to its end. The caller repeats it after a rejection. */
final class SimulatedCall {

    /** Time that a caller waits after a rejection, in milliseconds: at least this and at most three times as long. */
    private static final double RETRY_AFTER_MILLIS = 150;

    private final Deployment deployment;
    private final Simulation simulation;
    private final CallKind kind;
    private final long firstNanos;
    private int callerAttempts;
    private boolean ended;

    SimulatedCall(Deployment deployment, CallKind kind) {
        this.deployment = deployment;
        this.simulation = deployment.simulation();
        this.kind = kind;
        this.firstNanos = simulation.nanoTime();
    }

    /** Starts the first attempt. */
    void start() {
        simulation.schedule(kind.deadlineMillis() * Clock.NANOS_PER_MILLI, () -> end(false));
        tryEntry();
    }

    private long deadlineNanos() {
        return firstNanos + (long) (kind.deadlineMillis() * Clock.NANOS_PER_MILLI);
    }

    private void tryEntry() {
        if (ended) {
            return;
        }
        callerAttempts++;
        List<SimulatedNode> nodes = deployment.nodes();
        if (nodes.isEmpty()) {
            tryLater();
            return;
        }
        SimulatedNode node = nodes.get(simulation.random().nextInt(nodes.size()));
        node.processor().run(() -> {
            if (!node.isRunning()) {
                tryLater();
            } else if (node.processor().delay().rejects(kind.serviceClass())) {
                tryLater();
            } else {
                new EntryAttempts(node).send();
            }
        });
    }

    private void tryLater() {
        if (callerAttempts > kind.callerRetries()) {
            end(false);
            return;
        }
        double waitMillis = RETRY_AFTER_MILLIS * (1 + 2 * simulation.random().nextDouble());
        simulation.schedule(waitMillis * Clock.NANOS_PER_MILLI, this::tryEntry);
    }

    private void end(boolean answered) {
        if (ended) {
            return;
        }
        ended = true;
        boolean withinTarget = simulation.nanoTime() - firstNanos <= kind.targetMillis() * Clock.NANOS_PER_MILLI;
        deployment.outcomes().recordEnd(kind, firstNanos, answered, withinTarget);
    }

    /** The attempts of one entry. */
    private final class EntryAttempts {

        private final SimulatedNode entry;
        private final RetryPolicy retries;
        private final ServerSelection servers;

        /** The entry does not know the caller's earlier attempts, so the target counts from here. */
        private final long targetNanos;

        EntryAttempts(SimulatedNode entry) {
            this.entry = entry;
            this.retries = entry.retryPolicy(kind.service());
            this.targetNanos = simulation.nanoTime() + (long) (kind.targetMillis() * Clock.NANOS_PER_MILLI);
            this.servers = new ServerSelection(RoutingPolicy.LEAST_COST, deployment.transferCost(kind), targetNanos);
        }

        void send() {
            Optional<ServerSelection.Choice> choice =
                    servers.next(entry.pool(kind.service()), simulation.random(), simulation.nanoTime());
            if (choice.isEmpty()) {
                tryLater();
                return;
            }
            deployment.outcomes().recordAttempt();
            ServerLoad server = choice.get().server();
            SimulatedNode gate = entry.gate(server);
            server.recordCallStart();
            Ticket.LatencyTarget target =
                    new Ticket.LatencyTarget(targetNanos, choice.get().movable());
            SimulatedNode.GateListener listener =
                    (code, load) -> entry.processor().run(() -> onEnd(server, code, load));
            if (gate == entry) {
                gate.offer(kind, deadlineNanos(), target, listener);
            } else {
                simulation.schedule(Deployment.LINK_NANOS, () -> gate.receive(kind, deadlineNanos(), target, listener));
            }
        }

        private void onEnd(ServerLoad server, ResultCode code, LoadReport load) {
            server.recordCallEnd();
            server.update(load, simulation.nanoTime());
            server.ejection().recordCall(true, simulation.nanoTime());
            if (!entry.isRunning() || ended) {
                return;
            }
            if (code == null) {
                end(true);
                return;
            }
            if (code == ResultCode.SLOWER_THAN_TARGET) {
                servers.recordSlow(server);
            }
            long remaining = deadlineNanos() - simulation.nanoTime();
            FailedAttempt failed =
                    new FailedAttempt(servers.attempt(), 0, 2, code, kind.idempotent(), true, false, remaining);
            boolean worthwhile = code.outcome() != Outcome.NOT_RUN
                    || servers.mayBeAcceptedElsewhere(code, entry.pool(kind.service()), simulation.nanoTime());
            if (worthwhile && retries.mayRetry(failed)) {
                send();
            } else {
                tryLater();
            }
        }
    }
}
