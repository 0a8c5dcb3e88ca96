package io.mustardusher.lab.bench;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.common.SessionProtocol;
import io.mustardusher.lab.cluster.Cluster;
import io.mustardusher.lab.cluster.Deployment;
import io.mustardusher.lab.cluster.Hosting;
import io.mustardusher.lab.cluster.NodeHandle;
import io.mustardusher.lab.load.Entries;
import io.mustardusher.lab.load.LoadGenerator;
import io.mustardusher.lab.load.LoadSpec;
import io.mustardusher.lab.load.Tally;

/**
 * Measures the latency that entry and gate add to a call. The same load is sent alternately to the backend servers
 * directly and through the nodes; the backend servers have a service time of zero.
 */
public final class LatencyBenchmark {

    /** Length of one load. */
    private static final long LOAD_MILLIS = 4_000;

    /** Length of the warm-up through the nodes; the direct warm-up takes half of it. */
    private static final long WARM_UP_MILLIS = 8_000;

    /** Number of pairs of a direct and a balanced load per rate. */
    private static final int REPETITIONS = 3;

    private static final long DEADLINE_MILLIS = 2_000;

    /** Rates to measure, in calls per second. */
    private final List<Integer> rates;

    /** Folder for settings and logs of the nodes. */
    private final Path folder;

    /** Whether nodes log decisions. */
    private final boolean logDecisions;

    /** Stream to which results are printed. */
    private final PrintStream out;

    /** Factory of the callers' clients. */
    private final ClientFactory connections = ClientFactory.builder().build();

    /** Schedules retries of calls. */
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);

    /**
     * Creates a benchmark.
     *
     * @param rates        rates to measure, in calls per second
     * @param folder       folder for settings and logs of the nodes
     * @param logDecisions whether nodes log decisions
     * @param out          stream to which results are printed
     */
    public LatencyBenchmark(List<Integer> rates, Path folder, boolean logDecisions, PrintStream out) {
        this.rates = rates;
        this.folder = folder;
        this.logDecisions = logDecisions;
        this.out = out;
    }

    /**
     * Starts a deployment, measures all rates and prints a row per repetition.
     *
     * @throws InterruptedException if a wait is interrupted
     */
    public void run() throws InterruptedException {
        Cluster cluster = new Cluster(Deployment.named("pair"), folder, Hosting.PROCESSES, logDecisions);
        try {
            cluster.start(1);
            Entries direct = new Entries(connections, SessionProtocol.H2C, true);
            Entries balanced = new Entries(connections, SessionProtocol.H2C);
            for (NodeHandle node : cluster.nodes()) {
                direct.add(node.ports().backend());
                balanced.add(node.ports().caller());
            }
            send(balanced, 1_000, WARM_UP_MILLIS);
            send(direct, 1_000, WARM_UP_MILLIS / 2);
            out.println("decisions logged: " + logDecisions);
            out.println(
                    "rate/s   direct p50/p99 us    through p50/p99 us   added p50/p99 us   node cpu us/call  answered");
            for (int rate : rates) {
                measure(cluster, direct, balanced, rate);
            }
            for (NodeHandle node : cluster.nodes()) {
                out.println(node.name() + " resident " + node.residentKilobytes() + " kB");
            }
        } finally {
            cluster.close();
            timers.shutdownNow();
        }
    }

    /**
     * Measures one rate and prints its rows.
     *
     * @param cluster  the deployment
     * @param direct   the backend servers
     * @param balanced the entries of the nodes
     * @param rate     calls per second
     * @throws InterruptedException if a wait is interrupted
     */
    private void measure(Cluster cluster, Entries direct, Entries balanced, int rate) throws InterruptedException {
        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            Tally directTally = send(direct, rate, LOAD_MILLIS);
            long processorMillisBefore = processorMillis(cluster);
            Tally balancedTally = send(balanced, rate, LOAD_MILLIS);
            long processorMillis = processorMillis(cluster) - processorMillisBefore;
            out.printf(
                    "%6d   %8d /%8d   %8d /%8d   %8d /%8d   %12.1f      %d of %d%n",
                    rate,
                    directTally.latencyMicros(50),
                    directTally.latencyMicros(99),
                    balancedTally.latencyMicros(50),
                    balancedTally.latencyMicros(99),
                    balancedTally.latencyMicros(50) - directTally.latencyMicros(50),
                    balancedTally.latencyMicros(99) - directTally.latencyMicros(99),
                    processorMillis * 1000.0 / balancedTally.calls(),
                    balancedTally.latencies().getTotalCount(),
                    balancedTally.calls());
        }
    }

    /**
     * Sends a load and waits for its calls.
     *
     * @param entries entries to call
     * @param rate    calls per second
     * @param millis  length of the load, in milliseconds
     * @return results of the calls
     * @throws InterruptedException if a wait is interrupted
     */
    private Tally send(Entries entries, int rate, long millis) throws InterruptedException {
        Tally tally = new Tally();
        LoadSpec spec = new LoadSpec("echo", rate, 0, 200, DEADLINE_MILLIS, 0, millis);
        new LoadGenerator(entries, tally, timers, rate).run(List.of(spec));
        return tally;
    }

    /**
     * Returns the processor time consumed by all nodes since their start.
     *
     * @param cluster the deployment
     * @return processor time in milliseconds
     */
    private static long processorMillis(Cluster cluster) {
        return cluster.nodes().stream().mapToLong(NodeHandle::processorMillis).sum();
    }
}
