package io.mustardusher.lab.bench;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.common.SessionProtocol;
import io.mustardusher.lab.cluster.Cluster;
import io.mustardusher.lab.cluster.Deployment;
import io.mustardusher.lab.cluster.Hosting;
import io.mustardusher.lab.cluster.NodeHandle;
import io.mustardusher.lab.load.CallResult;
import io.mustardusher.lab.load.Entries;
import io.mustardusher.lab.load.LoadGenerator;
import io.mustardusher.lab.load.LoadSpec;
import io.mustardusher.lab.load.Tally;
import io.mustardusher.lab.standin.BackendServer;
import io.mustardusher.routing.RoutingPolicy;

/**
 * Compares the routing policies: each case with each policy in turn, with the same seeds, repeated; all nodes of the
 * deployment in this process, their calls and frames over real sockets.
 */
public final class PolicyBench {

    /** Mean service time of the servers, in milliseconds; long enough for one machine to drive all slots. */
    private static final double SERVICE_MILLIS = 40;

    /** Length of one load, in milliseconds. */
    private static final long LOAD_MILLIS = 3_000;

    /** Length of the load before, in milliseconds. */
    private static final long SETTLE_MILLIS = 700;

    /** Length of the warm-up, in milliseconds. */
    private static final long WARM_MILLIS = 12_000;

    /** Sizes of the deployment. */
    private final Deployment deployment;

    /** The service that is called. */
    private final String service;

    private final int repetitions;

    /** Probes a second of each entry. */
    private final int probes;

    /** Cases to run. */
    private final List<PolicyCase> cases;

    /** Where the table is printed. */
    private final PrintStream out;

    /** Connections of callers. */
    private final ClientFactory connections = ClientFactory.builder().build();

    /** Runs timers. */
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);

    /**
     * Creates a benchmark.
     *
     * @param deployment  sizes of the deployment
     * @param service     the service that is called
     * @param repetitions repetitions
     * @param probes      probes a second of each entry
     * @param cases       cases to run
     * @param out         where the table is printed
     */
    public PolicyBench(
            Deployment deployment,
            String service,
            int repetitions,
            int probes,
            List<PolicyCase> cases,
            PrintStream out) {
        this.deployment = deployment;
        this.service = service;
        this.repetitions = repetitions;
        this.probes = probes;
        this.cases = cases;
        this.out = out;
    }

    /**
     * Runs the benchmark.
     *
     * @param folder folder for settings
     * @throws InterruptedException if a wait is interrupted
     */
    public void run(Path folder) throws InterruptedException {
        Cluster cluster = new Cluster(deployment, folder, Hosting.EMBEDDED, false);
        try {
            cluster.start(1);
            Entries entries = new Entries(connections, SessionProtocol.H2C);
            cluster.nodes().forEach(node -> entries.add(node.ports().caller()));
            Deployment.ServiceSize size = deployment.service(service);
            for (int i = 1; i <= size.upstreams(); i++) {
                BackendServer server = cluster.backend(service + "-" + i);
                server.setBehaviour(io.mustardusher.lab.standin.Behaviour.of(SERVICE_MILLIS));
            }
            double capacity = size.upstreams() * size.slots() * 1_000 / SERVICE_MILLIS;
            send(entries, List.of(new LoadSpec(service, capacity / 2, 0, 0, 1_000, 0, WARM_MILLIS)), 1);
            out.println("| case | policy | p50 ms | p99 ms | p99.9 ms | in time % | failed % | resends/call"
                    + " | probes/call | control B/call | doubled |");
            out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
            for (PolicyCase policyCase : cases) {
                for (RoutingPolicy policy : RoutingPolicy.values()) {
                    compare(cluster, entries, size, capacity, policyCase, policy);
                }
            }
        } finally {
            cluster.close();
            timers.shutdownNow();
            connections.close();
        }
    }

    /**
     * Runs one case with one policy and prints its row.
     *
     * @param cluster    the deployment
     * @param entries    entries that callers know
     * @param size       size of the service
     * @param capacity   calls a second that the slots can serve
     * @param policyCase the case
     * @param policy     the policy
     * @throws InterruptedException if a wait is interrupted
     */
    private void compare(
            Cluster cluster,
            Entries entries,
            Deployment.ServiceSize size,
            double capacity,
            PolicyCase policyCase,
            RoutingPolicy policy)
            throws InterruptedException {
        Sample[] samples = new Sample[repetitions];
        for (int i = 0; i < repetitions; i++) {
            use(cluster, size, policy);
            samples[i] = sample(cluster, entries, capacity, policyCase, 100 + i);
        }
        out.println("| " + policyCase.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ') + " | "
                + policy.token() + " | " + spread(samples, Sample::p50) + " | " + spread(samples, Sample::p99) + " | "
                + spread(samples, Sample::p999) + " | " + spread(samples, Sample::inTime) + " | "
                + spread(samples, Sample::failed) + " | " + spread(samples, Sample::resends) + " | "
                + spread(samples, Sample::probes) + " | " + spread(samples, Sample::bytes) + " | "
                + (long) Arrays.stream(samples).mapToDouble(Sample::doubled).sum() + " |");
    }

    /**
     * Puts a policy into force.
     *
     * @param cluster the deployment
     * @param size    size of the service
     * @param policy  the policy
     */
    private void use(Cluster cluster, Deployment.ServiceSize size, RoutingPolicy policy) {
        com.fasterxml.jackson.databind.node.ObjectNode entry = size.entry().deepCopy();
        entry.put("policy", policy.token());
        entry.withObjectProperty("budgets").put("probesPerSecond", probes);
        cluster.putEntry(entry);
    }

    /**
     * Runs one case once.
     *
     * @param cluster    the deployment
     * @param entries    entries that callers know
     * @param capacity   calls a second that the slots can serve
     * @param policyCase the case
     * @param seed       seed of the calls
     * @return what was measured
     * @throws InterruptedException if a wait is interrupted
     */
    private Sample sample(Cluster cluster, Entries entries, double capacity, PolicyCase policyCase, long seed)
            throws InterruptedException {
        send(entries, policyCase.loads(service, capacity * 0.5, SETTLE_MILLIS), seed);
        BackendServer afflicted = cluster.backend(service + "-2");
        double[] before = counters(cluster);
        timers.schedule(() -> policyCase.afflict(cluster, afflicted), LOAD_MILLIS / 3, TimeUnit.MILLISECONDS);
        Tally tally = send(entries, policyCase.loads(service, capacity, LOAD_MILLIS), seed);
        double[] after = counters(cluster);
        policyCase.relieve(afflicted);
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        double calls = Math.max(1, tally.calls());
        long failed = tally.calls() - tally.count(CallResult.OK);
        return new Sample(
                tally.micros(50) / 1000.0,
                tally.micros(99) / 1000.0,
                tally.micros(99.9) / 1000.0,
                100 * tally.inTime() / calls,
                100 * failed / calls,
                (after[0] - before[0]) / calls,
                (after[1] - before[1]) / calls,
                (after[2] - before[2]) / calls,
                tally.doubled(cluster.executions()));
    }

    /**
     * Sends calls.
     *
     * @param entries entries that callers know
     * @param specs   the streams of calls
     * @param seed    seed of the calls
     * @return counts of the calls
     * @throws InterruptedException if a wait is interrupted
     */
    private Tally send(Entries entries, List<LoadSpec> specs, long seed) throws InterruptedException {
        Tally tally = new Tally();
        new LoadGenerator(entries, tally, timers, seed).run(specs);
        return tally;
    }

    /**
     * Sums the counters of all nodes.
     *
     * @param cluster the deployment
     * @return further sends, probes and bytes of frames sent
     */
    private static double[] counters(Cluster cluster) {
        double[] sums = new double[3];
        for (NodeHandle node : cluster.nodes()) {
            JsonNode metrics = node.metrics();
            sums[0] += metrics.at("/meters/entry.resends/count").asDouble();
            sums[1] += metrics.at("/meters/entry.probes/count").asDouble();
            sums[2] += metrics.at("/gauges/frames.sentBytes/value").asDouble();
        }
        return sums;
    }

    /**
     * Writes the median of a measure, and its least and greatest value.
     *
     * @param samples the samples
     * @param measure the measure
     * @return the text
     */
    private static String spread(Sample[] samples, ToDoubleFunction<Sample> measure) {
        double[] values = Arrays.stream(samples).mapToDouble(measure).sorted().toArray();
        double median = values[values.length / 2];
        return String.format("%s (%s-%s)", number(median), number(values[0]), number(values[values.length - 1]));
    }

    /**
     * Writes a number with as many digits as matter.
     *
     * @param value the number
     * @return the text
     */
    private static String number(double value) {
        return value >= 100 ? String.format("%.0f", value) : String.format(value >= 10 ? "%.1f" : "%.2f", value);
    }

    /**
     * What one run measured.
     *
     * @param p50     latency, in milliseconds
     * @param p99     latency, in milliseconds
     * @param p999    latency, in milliseconds
     * @param inTime  share of calls answered within the deadline, in percent
     * @param failed  share of calls without an answer of a working server, in percent
     * @param resends further sends for each call
     * @param probes  probes for each call
     * @param bytes   bytes of frames for each call
     * @param doubled calls with a key that ran twice
     */
    private record Sample(
            double p50,
            double p99,
            double p999,
            double inTime,
            double failed,
            double resends,
            double probes,
            double bytes,
            double doubled) {}
}
