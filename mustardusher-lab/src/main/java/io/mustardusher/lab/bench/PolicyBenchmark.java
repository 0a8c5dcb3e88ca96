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
 * Compares the routing policies. Runs each case repeatedly with each policy, with the same seeds for all policies. All
 * nodes of the deployment run in this process and exchange calls and frames over real sockets.
 */
public final class PolicyBenchmark {

    /** Mean service time of the servers; long enough that one machine can generate the load for all slots. */
    private static final double SERVICE_MILLIS = 40;

    /** Length of one measured load. */
    private static final long LOAD_MILLIS = 3_000;

    /** Length of the unmeasured load before each sample, and of the pause after it. */
    private static final long SETTLE_MILLIS = 700;

    private static final long WARM_UP_MILLIS = 12_000;

    private final Deployment deployment;

    /** Name of the service that is called. */
    private final String service;

    private final int repetitions;

    /** Budget of probes of each entry, per second. */
    private final int probesPerSecond;

    private final List<PolicyCase> cases;

    /** Stream to which the table is printed. */
    private final PrintStream out;

    /** Factory of the callers' clients. */
    private final ClientFactory connections = ClientFactory.builder().build();

    /** Schedules retries of calls, and the degradation of a server. */
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);

    /**
     * Creates a benchmark.
     *
     * @param deployment      deployment to start
     * @param service         name of the service that is called
     * @param repetitions     samples per case and policy
     * @param probesPerSecond budget of probes of each entry, per second
     * @param cases           cases to run
     * @param out             stream to which the table is printed
     */
    public PolicyBenchmark(
            Deployment deployment,
            String service,
            int repetitions,
            int probesPerSecond,
            List<PolicyCase> cases,
            PrintStream out) {
        this.deployment = deployment;
        this.service = service;
        this.repetitions = repetitions;
        this.probesPerSecond = probesPerSecond;
        this.cases = cases;
        this.out = out;
    }

    /**
     * Starts the deployment, runs all cases with all policies and prints a row for each.
     *
     * @param folder folder for settings and logs of the nodes
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
            send(entries, List.of(new LoadSpec(service, capacity / 2, 0, 0, 1_000, 0, WARM_UP_MILLIS)), 1);
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
     * Runs one case repeatedly with one policy and prints its row.
     *
     * @param cluster    the deployment
     * @param entries    entries to call
     * @param size       size of the service
     * @param capacity   capacity of all slots, in calls per second
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
            applyPolicy(cluster, size, policy);
            samples[i] = sample(cluster, entries, capacity, policyCase, 100 + i);
        }
        out.println("| " + policyCase.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ') + " | "
                + policy.token() + " | " + summarize(samples, Sample::p50) + " | " + summarize(samples, Sample::p99)
                + " | "
                + summarize(samples, Sample::p999) + " | " + summarize(samples, Sample::inTime) + " | "
                + summarize(samples, Sample::failed) + " | " + summarize(samples, Sample::resends) + " | "
                + summarize(samples, Sample::probes) + " | " + summarize(samples, Sample::bytes) + " | "
                + (long) Arrays.stream(samples).mapToDouble(Sample::duplicated).sum() + " |");
    }

    /**
     * Publishes an entry of the service with a policy.
     *
     * @param cluster the deployment
     * @param size    size of the service
     * @param policy  the policy
     */
    private void applyPolicy(Cluster cluster, Deployment.ServiceSize size, RoutingPolicy policy) {
        com.fasterxml.jackson.databind.node.ObjectNode entry = size.entry().deepCopy();
        entry.put("policy", policy.token());
        entry.withObjectProperty("budgets").put("probesPerSecond", probesPerSecond);
        cluster.putEntry(entry);
    }

    /**
     * Runs one case once.
     *
     * @param cluster    the deployment
     * @param entries    entries to call
     * @param capacity   capacity of all slots, in calls per second
     * @param policyCase the case
     * @param seed       seed of the calls
     * @return measurements of the run
     * @throws InterruptedException if a wait is interrupted
     */
    private Sample sample(Cluster cluster, Entries entries, double capacity, PolicyCase policyCase, long seed)
            throws InterruptedException {
        send(entries, policyCase.loads(service, capacity * 0.5, SETTLE_MILLIS), seed);
        BackendServer degraded = cluster.backend(service + "-2");
        double[] before = readCounters(cluster);
        timers.schedule(() -> policyCase.degrade(cluster, degraded), LOAD_MILLIS / 3, TimeUnit.MILLISECONDS);
        Tally tally = send(entries, policyCase.loads(service, capacity, LOAD_MILLIS), seed);
        double[] after = readCounters(cluster);
        policyCase.restore(degraded);
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        double calls = Math.max(1, tally.calls());
        long failed = tally.calls() - tally.count(CallResult.OK);
        return new Sample(
                tally.latencyMicros(50) / 1000.0,
                tally.latencyMicros(99) / 1000.0,
                tally.latencyMicros(99.9) / 1000.0,
                100 * tally.inTime() / calls,
                100 * failed / calls,
                (after[0] - before[0]) / calls,
                (after[1] - before[1]) / calls,
                (after[2] - before[2]) / calls,
                tally.duplicatedCalls(cluster.executions()));
    }

    /**
     * Sends a load and waits for its calls.
     *
     * @param entries entries to call
     * @param specs   the streams of calls
     * @param seed    seed of the calls
     * @return results of the calls
     * @throws InterruptedException if a wait is interrupted
     */
    private Tally send(Entries entries, List<LoadSpec> specs, long seed) throws InterruptedException {
        Tally tally = new Tally();
        new LoadGenerator(entries, tally, timers, seed).run(specs);
        return tally;
    }

    /**
     * Sums counters over all nodes.
     *
     * @param cluster the deployment
     * @return number of resends, number of probes and bytes of frames sent, in this order
     */
    private static double[] readCounters(Cluster cluster) {
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
     * Formats the median, minimum and maximum of a measure.
     *
     * @param samples samples to evaluate
     * @param measure returns the value of a sample
     * @return the text, such as {@code 12.3 (10.1-15.8)}
     */
    private static String summarize(Sample[] samples, ToDoubleFunction<Sample> measure) {
        double[] values = Arrays.stream(samples).mapToDouble(measure).sorted().toArray();
        double median = values[values.length / 2];
        return String.format(
                "%s (%s-%s)", formatNumber(median), formatNumber(values[0]), formatNumber(values[values.length - 1]));
    }

    /**
     * Formats a number with at most two decimals, fewer for large numbers.
     *
     * @param value number to format
     * @return the formatted number
     */
    private static String formatNumber(double value) {
        return value >= 100 ? String.format("%.0f", value) : String.format(value >= 10 ? "%.1f" : "%.2f", value);
    }

    /**
     * Measurements of one run of a case.
     *
     * @param p50        median latency, in milliseconds
     * @param p99        99th percentile of the latency, in milliseconds
     * @param p999       99.9th percentile of the latency, in milliseconds
     * @param inTime     share of calls that succeeded within the deadline, in percent
     * @param failed     share of calls that did not succeed, in percent
     * @param resends    further attempts by entries, per call
     * @param probes     probes by entries, per call
     * @param bytes      bytes of frames sent, per call
     * @param duplicated number of non-idempotent calls that ran more than once
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
            double duplicated) {}
}
