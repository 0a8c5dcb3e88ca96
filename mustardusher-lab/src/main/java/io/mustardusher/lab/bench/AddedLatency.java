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
 * Latency that entry and gate add to a call of an empty backend server: the same calls, side by side, straight to the
 * servers and through the nodes, in turns.
 */
public final class AddedLatency {

    /** Length of one turn, in milliseconds. */
    private static final long TURN_MILLIS = 4_000;

    /** Length of the warm-up, in milliseconds. */
    private static final long WARM_MILLIS = 8_000;

    /** Turns of each kind. */
    private static final int TURNS = 3;

    /** Deadline of calls, in milliseconds. */
    private static final long DEADLINE_MILLIS = 2_000;

    /** Calls a second. */
    private final List<Integer> rates;

    /** Folder for settings and logs. */
    private final Path folder;

    /** Whether nodes log decisions. */
    private final boolean decisions;

    /** Where results are printed. */
    private final PrintStream out;

    /** Connections of the callers. */
    private final ClientFactory connections = ClientFactory.builder().build();

    /** Runs timers. */
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);

    /**
     * Creates a benchmark.
     *
     * @param rates     calls a second
     * @param folder    folder for settings and logs
     * @param decisions whether nodes log decisions
     * @param out       where results are printed
     */
    public AddedLatency(List<Integer> rates, Path folder, boolean decisions, PrintStream out) {
        this.rates = rates;
        this.folder = folder;
        this.decisions = decisions;
        this.out = out;
    }

    /**
     * Runs the benchmark.
     *
     * @throws InterruptedException if a wait is interrupted
     */
    public void run() throws InterruptedException {
        Cluster cluster = new Cluster(Deployment.named("pair"), folder, Hosting.PROCESSES, decisions);
        try {
            cluster.start(1);
            Entries direct = new Entries(connections, SessionProtocol.H2C, true);
            Entries through = new Entries(connections, SessionProtocol.H2C);
            for (NodeHandle node : cluster.nodes()) {
                direct.add(node.ports().backend());
                through.add(node.ports().caller());
            }
            send(through, 1_000, WARM_MILLIS);
            send(direct, 1_000, WARM_MILLIS / 2);
            out.println("decisions logged: " + decisions);
            out.println(
                    "rate/s   direct p50/p99 us    through p50/p99 us   added p50/p99 us   node cpu us/call  answered");
            for (int rate : rates) {
                measure(cluster, direct, through, rate);
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
     * Measures one rate.
     *
     * @param cluster the deployment
     * @param direct  the backend servers
     * @param through the nodes
     * @param rate    calls a second
     * @throws InterruptedException if a wait is interrupted
     */
    private void measure(Cluster cluster, Entries direct, Entries through, int rate) throws InterruptedException {
        for (int turn = 0; turn < TURNS; turn++) {
            Tally straight = send(direct, rate, TURN_MILLIS);
            long before = processorMillis(cluster);
            Tally balanced = send(through, rate, TURN_MILLIS);
            long used = processorMillis(cluster) - before;
            out.printf(
                    "%6d   %8d /%8d   %8d /%8d   %8d /%8d   %12.1f      %d of %d%n",
                    rate,
                    straight.latencyMicros(50),
                    straight.latencyMicros(99),
                    balanced.latencyMicros(50),
                    balanced.latencyMicros(99),
                    balanced.latencyMicros(50) - straight.latencyMicros(50),
                    balanced.latencyMicros(99) - straight.latencyMicros(99),
                    used * 1000.0 / balanced.calls(),
                    balanced.latencies().getTotalCount(),
                    balanced.calls());
        }
    }

    /**
     * Sends calls.
     *
     * @param entries whom to call
     * @param rate    calls a second
     * @param millis  for how long, in milliseconds
     * @return counts of the calls
     * @throws InterruptedException if a wait is interrupted
     */
    private Tally send(Entries entries, int rate, long millis) throws InterruptedException {
        Tally tally = new Tally();
        LoadSpec spec = new LoadSpec("echo", rate, 0, 200, DEADLINE_MILLIS, 0, millis);
        new LoadGenerator(entries, tally, timers, rate).run(List.of(spec));
        return tally;
    }

    /**
     * Returns the processor time of the nodes.
     *
     * @param cluster the deployment
     * @return milliseconds
     */
    private static long processorMillis(Cluster cluster) {
        return cluster.nodes().stream().mapToLong(NodeHandle::processorMillis).sum();
    }
}
