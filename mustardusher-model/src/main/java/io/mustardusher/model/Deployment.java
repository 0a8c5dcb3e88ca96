package io.mustardusher.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.mustardusher.routing.TransferCost;
import io.mustardusher.time.Clock;

/** A deployment under a pattern of load: servers, the node beside each of them, and callers at each node. */
public final class Deployment {

    /** One-way delay between two nodes, in nanoseconds. */
    static final double LINK_NANOS = 0.7 * Clock.NANOS_PER_MILLI;

    /** Number of failure domains among which the nodes are divided. */
    private static final int DOMAINS = 3;

    private final Simulation simulation;
    private final LoadPattern pattern;
    private final Outcomes outcomes = new Outcomes();
    private final Map<String, TransferCost> transferCosts = new HashMap<>();
    private final List<SimulatedServer> servers = new ArrayList<>();
    private List<SimulatedNode> nodes = List.of();

    private Deployment(LoadPattern pattern, long seed) {
        this.pattern = pattern;
        this.simulation = new Simulation(seed);
        pattern.serviceOfEachServer()
                .forEach(service -> servers.add(new SimulatedServer(simulation, pattern, service)));
    }

    /**
     * Simulates a pattern.
     *
     * @param pattern the pattern
     * @param seed    seed of all random decisions
     * @return what became of the calls
     */
    public static Outcomes simulate(LoadPattern pattern, long seed) {
        Deployment deployment = new Deployment(pattern, seed);
        deployment.run();
        return deployment.outcomes;
    }

    private void run() {
        startNodes(1);
        pattern.kinds().forEach(this::scheduleNextCall);
        for (LoadPattern.Restart restart : pattern.restarts()) {
            simulation.schedule(restart.atMillis() * Clock.NANOS_PER_MILLI, () -> {
                nodes.forEach(SimulatedNode::stop);
                nodes = List.of();
                simulation.schedule(restart.downMillis() * Clock.NANOS_PER_MILLI, () -> {
                    servers.forEach(SimulatedServer::restart);
                    startNodes(pattern.coldCostFactor());
                });
            });
        }
        double longestDeadline = pattern.kinds().stream()
                .mapToDouble(CallKind::deadlineMillis)
                .max()
                .orElse(0);
        simulation.runUntil((long) ((pattern.lengthMillis() + longestDeadline) * Clock.NANOS_PER_MILLI));
    }

    private void startNodes(double coldFactor) {
        List<String> services = pattern.serviceOfEachServer();
        List<SimulatedNode> started = new ArrayList<>();
        for (int i = 0; i < services.size(); i++) {
            started.add(new SimulatedNode(this, "node-" + i, i % DOMAINS, services.get(i), servers.get(i), coldFactor));
        }
        nodes = started;
        started.forEach(node -> node.discover(started));
    }

    private void scheduleNextCall(CallKind kind) {
        double millis = simulation.nanoTime() / (double) Clock.NANOS_PER_MILLI;
        double perNano = kind.perSecond() * pattern.rateFactor(kind.name(), millis) / (1_000.0 * Clock.NANOS_PER_MILLI);
        simulation.schedule(-Math.log(1 - simulation.random().nextDouble()) / perNano, () -> {
            if (simulation.nanoTime() < pattern.lengthMillis() * Clock.NANOS_PER_MILLI) {
                new SimulatedCall(this, kind).start();
                scheduleNextCall(kind);
            }
        });
    }

    Simulation simulation() {
        return simulation;
    }

    LoadPattern pattern() {
        return pattern;
    }

    Outcomes outcomes() {
        return outcomes;
    }

    List<SimulatedNode> nodes() {
        return nodes;
    }

    TransferCost transferCost(CallKind kind) {
        return transferCosts.computeIfAbsent(kind.name(), name -> new TransferCost());
    }
}
