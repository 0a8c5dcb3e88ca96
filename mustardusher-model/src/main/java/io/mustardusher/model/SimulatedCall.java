package io.mustardusher.model;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.mustardusher.admission.RetryDelay;
import io.mustardusher.admission.Ticket;
import io.mustardusher.budget.SpendingRank;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.health.ServiceShedding;
import io.mustardusher.nested.RunningCall;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.retry.FailedAttempt;
import io.mustardusher.retry.RetryPolicy;
import io.mustardusher.routing.LoadReport;
import io.mustardusher.routing.RoutingPolicy;
import io.mustardusher.routing.ServerLoad;
import io.mustardusher.routing.ServerSelection;
import io.mustardusher.time.Clock;

/**
 * A call from its first attempt by a caller to its end. The caller repeats it after a rejection. A nested call is made
 * at the node beside the server that runs its parent.
 */
final class SimulatedCall {

    /** Retries allowed for each request, in percent, as on the platform. */
    private static final int RETRY_PERCENT = 10;

    /** Maximum number of servers that a call reaches. */
    private static final int MAX_REACHED_ATTEMPTS = 3;

    private final Deployment deployment;
    private final Simulation simulation;
    private final CallKind kind;
    private final long firstNanos;
    private final long deadlineNanos;
    private final ServiceClass serviceClass;
    private final Ticket.Precedence precedence;

    /** Node at which the call is made; any node if {@code null}. */
    private final SimulatedNode origin;

    /** Receives whether the call was answered; {@code null} if it is not a nested call. */
    private final Consumer<Boolean> parent;

    private int callerAttempts;
    private boolean ended;

    /**
     * Creates a call of a caller.
     *
     * @param deployment the deployment
     * @param kind       kind of the call
     */
    SimulatedCall(Deployment deployment, CallKind kind) {
        this.deployment = deployment;
        this.simulation = deployment.simulation();
        this.kind = kind;
        this.firstNanos = simulation.nanoTime();
        this.deadlineNanos = firstNanos + (long) (kind.deadlineMillis() * Clock.NANOS_PER_MILLI);
        this.serviceClass = kind.serviceClass();
        this.precedence = new Ticket.Precedence(0, false, drawAccount());
        this.origin = null;
        this.parent = null;
    }

    /**
     * Creates a nested call.
     *
     * @param deployment the deployment
     * @param kind       kind of the call
     * @param origin     node beside the server that makes the call
     * @param running    call that makes it
     * @param parent     receives whether the call was answered
     */
    SimulatedCall(
            Deployment deployment, CallKind kind, SimulatedNode origin, RunningCall running, Consumer<Boolean> parent) {
        this.deployment = deployment;
        this.simulation = deployment.simulation();
        this.kind = kind;
        this.firstNanos = simulation.nanoTime();
        this.deadlineNanos =
                Math.min(running.deadlineNanos(), firstNanos + (long) (kind.deadlineMillis() * Clock.NANOS_PER_MILLI));
        this.serviceClass = running.serviceClass();
        this.precedence = new Ticket.Precedence(0, true, running.precedence().account());
        this.origin = origin;
        this.parent = parent;
    }

    private String drawAccount() {
        LoadPattern.Accounts accounts = deployment.pattern().accounts(kind.name());
        if (accounts == null) {
            return "";
        }
        boolean hot = simulation.random().nextDouble() < accounts.hotShare();
        return hot ? LoadPattern.Accounts.HOT : "small-" + simulation.random().nextInt(accounts.small());
    }

    /** Starts the first attempt. */
    void start() {
        simulation.schedule(deadlineNanos - firstNanos, () -> end(false));
        tryEntry();
    }

    private void tryEntry() {
        if (ended) {
            return;
        }
        callerAttempts++;
        List<SimulatedNode> nodes = origin == null ? deployment.nodes() : List.of(origin);
        if (nodes.isEmpty()) {
            tryLater(RetryDelay.DEFAULT_MILLIS);
            return;
        }
        SimulatedNode node = nodes.get(simulation.random().nextInt(nodes.size()));
        node.processor().run(() -> {
            if (!node.isRunning()) {
                tryLater(RetryDelay.DEFAULT_MILLIS);
            } else if (node.processor().delay().rejects(serviceClass)) {
                tryLater(RetryDelay.DEFAULT_MILLIS);
            } else {
                new EntryAttempts(node).send();
            }
        });
    }

    private void tryLater(long shortestMillis) {
        if (callerAttempts > kind.callerRetries()) {
            end(false);
            return;
        }
        simulation.schedule(
                RetryDelay.withJitter(shortestMillis, simulation.random()) * Clock.NANOS_PER_MILLI, this::tryEntry);
    }

    private void end(boolean answered) {
        if (ended) {
            return;
        }
        ended = true;
        if (parent != null) {
            parent.accept(answered);
            return;
        }
        boolean withinTarget = simulation.nanoTime() - firstNanos <= kind.targetMillis() * Clock.NANOS_PER_MILLI;
        deployment.outcomes().recordEnd(kind, precedence.account(), firstNanos, answered, withinTarget);
    }

    /** The attempts of one entry. */
    private final class EntryAttempts {

        private final SimulatedNode entry;
        private final RetryPolicy retries;
        private final ServiceShedding shedding;
        private final ServerSelection servers;

        /** The entry does not know the caller's earlier attempts, so the target counts from here. */
        private final long targetNanos;

        private int reachedAttempts;

        EntryAttempts(SimulatedNode entry) {
            this.entry = entry;
            this.retries = entry.retryPolicy(kind.service());
            retries.budget().earn(RETRY_PERCENT, serviceClass);
            this.shedding = entry.shedding(kind.service());
            this.targetNanos = simulation.nanoTime() + (long) (kind.targetMillis() * Clock.NANOS_PER_MILLI);
            this.servers = new ServerSelection(RoutingPolicy.LEAST_COST, deployment.transferCost(kind), targetNanos);
        }

        void send() {
            Optional<ServerSelection.Choice> choice =
                    servers.next(entry.pool(kind.service()), simulation.random(), simulation.nanoTime());
            if (choice.isEmpty()) {
                tryLater(RetryDelay.DEFAULT_MILLIS);
                return;
            }
            deployment.outcomes().recordAttempt();
            ServerLoad server = choice.get().server();
            SimulatedNode gate = entry.gate(server);
            server.recordCallStart();
            SimulatedNode.GateCallSpec spec = new SimulatedNode.GateCallSpec(
                    kind,
                    serviceClass,
                    precedence,
                    deadlineNanos,
                    new Ticket.LatencyTarget(targetNanos, choice.get().mobility()));
            SimulatedNode.GateListener listener =
                    (code, load, roomNanos) -> entry.processor().run(() -> onEnd(server, code, load, roomNanos));
            if (gate == entry) {
                gate.offer(spec, listener);
            } else {
                simulation.schedule(Deployment.LINK_NANOS, () -> gate.receive(spec, listener));
            }
        }

        private void onEnd(ServerLoad server, ResultCode code, LoadReport load, long roomNanos) {
            server.recordCallEnd();
            server.update(load, simulation.nanoTime());
            server.ejection().recordCall(true, simulation.nanoTime());
            if (code == ResultCode.SERVER_REFUSED && load.hasFreeSlots()) {
                shedding.recordRefused(server.node());
            } else if (code == null) {
                shedding.recordAccepted(server.node());
            }
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
            if (code == ResultCode.SERVER_REFUSED || code.outcome() != Outcome.NOT_RUN) {
                reachedAttempts++;
            }
            long remaining = deadlineNanos - simulation.nanoTime();
            FailedAttempt failed = new FailedAttempt(
                    servers.attempt(),
                    reachedAttempts,
                    MAX_REACHED_ATTEMPTS,
                    code,
                    kind.idempotent(),
                    true,
                    false,
                    remaining,
                    new SpendingRank(serviceClass, precedence.nested()));
            boolean worthwhile = code.outcome() != Outcome.NOT_RUN
                    || servers.mayBeAcceptedElsewhere(code, entry.pool(kind.service()), simulation.nanoTime());
            boolean refusedByServer = code == ResultCode.SERVER_REFUSED;
            boolean refusedAgain = refusedByServer && !shedding.isRetryWorthwhile();
            if (worthwhile && !refusedAgain && retries.mayRetry(failed)) {
                send();
            } else if (code == ResultCode.CONNECTION_LOST) {
                end(false);
            } else {
                boolean immediate = refusedByServer && !refusedAgain && load.hasFreeSlots();
                tryLater(immediate ? RetryDelay.IMMEDIATE_MILLIS : RetryDelay.untilRoom(roomNanos));
            }
        }
    }
}
