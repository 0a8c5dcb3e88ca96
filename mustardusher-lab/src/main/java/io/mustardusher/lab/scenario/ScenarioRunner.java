package io.mustardusher.lab.scenario;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

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
import io.mustardusher.lab.load.Tally;

/** Runs a scenario on a deployment of real node processes and collects its measures. */
public final class ScenarioRunner {

    /** Time to wait after the load for steps that are still running, in seconds. */
    private static final long STEP_TIMEOUT_SECONDS = 40;

    private final Scenario scenario;

    /** Folder for settings, logs and the report. */
    private final Path folder;

    /** Whether nodes log decisions. */
    private final boolean decisions;

    /** Destination of progress messages. */
    private final PrintStream out;

    /** A line for each completed step, with its result. */
    private final List<String> stepLog = java.util.Collections.synchronizedList(new ArrayList<>());

    /**
     * Creates a runner.
     *
     * @param scenario  the scenario
     * @param folder    folder for settings, logs and the report
     * @param decisions whether nodes log decisions
     * @param out       destination of progress messages
     */
    public ScenarioRunner(Scenario scenario, Path folder, boolean decisions, PrintStream out) {
        this.scenario = scenario;
        this.folder = folder;
        this.decisions = decisions;
        this.out = out;
    }

    /**
     * Starts the deployment, runs the scenario and stops the deployment.
     *
     * @return the result
     * @throws InterruptedException if a wait is interrupted
     */
    public ScenarioResult run() throws InterruptedException {
        Deployment deployment = Deployment.named(scenario.deployment());
        Cluster cluster = new Cluster(deployment, folder, Hosting.PROCESSES, decisions);
        try {
            out.println("starting " + deployment.name() + " with "
                    + deployment.upstreams().size() + " nodes");
            long startNanos = System.nanoTime();
            cluster.start(scenario.seed());
            long startMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            out.println("ready after " + startMillis + " ms");
            return runLoad(cluster, startMillis);
        } finally {
            cluster.close();
        }
    }

    /**
     * Sends the warm-up, then the load, and performs the steps during the load.
     *
     * @param cluster     the deployment
     * @param startMillis start-up time of the deployment, in milliseconds
     * @return the result
     * @throws InterruptedException if a wait is interrupted
     */
    private ScenarioResult runLoad(Cluster cluster, long startMillis) throws InterruptedException {
        ClientFactory connections = ClientFactory.builder().build();
        ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
        ExecutorService stepExecutor = Executors.newCachedThreadPool();
        Entries entries = new Entries(connections, SessionProtocol.H2C);
        cluster.nodes().forEach(node -> entries.add(node.ports().caller()));
        Tally warmUp = new Tally();
        new LoadGenerator(entries, warmUp, timers, scenario.seed() + 1).run(scenario.warmUpLoads());
        Tally tally = new Tally();
        ResourceUsage before = ResourceUsage.of(cluster);
        long startNanos = System.nanoTime();
        List<CompletableFuture<Void>> completions = new ArrayList<>();
        for (Step step : scenario.steps()) {
            CompletableFuture<Void> completion = new CompletableFuture<>();
            completions.add(completion);
            timers.schedule(
                    () -> stepExecutor.execute(() -> perform(cluster, entries, step, completion)),
                    step.atMillis(),
                    TimeUnit.MILLISECONDS);
        }
        new LoadGenerator(entries, tally, timers, scenario.seed()).run(scenario.loads());
        CompletableFuture.allOf(completions.toArray(new CompletableFuture<?>[0]))
                .completeOnTimeout(null, STEP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        Map<String, Object> measures = collectMeasures(cluster, tally, before, seconds);
        measures.put("startMillis", startMillis);
        addWarmUpFailures(cluster, warmUp, measures);
        timers.shutdownNow();
        stepExecutor.shutdownNow();
        connections.close();
        return new ScenarioResult(scenario, measures, tally, List.copyOf(stepLog));
    }

    /**
     * Adds the correctness violations of the warm-up, such as duplicate executions, to those of the load.
     *
     * @param cluster  the deployment
     * @param warmUp   counts of the calls of the warm-up
     * @param measures measured values by name
     */
    private static void addWarmUpFailures(Cluster cluster, Tally warmUp, Map<String, Object> measures) {
        measures.put("warmUpCalls", warmUp.calls());
        measures.merge("doubled", warmUp.duplicatedCalls(cluster.executions()), ScenarioRunner::sum);
        measures.merge("wrongAnswer", warmUp.count(CallResult.WRONG_ANSWER), ScenarioRunner::sum);
        measures.merge("cutOff", warmUp.count(CallResult.CUT_OFF), ScenarioRunner::sum);
        measures.merge("falseNotRun", warmUp.falseNotRun(cluster.executions()), ScenarioRunner::sum);
        measures.merge("unanswered", warmUp.calls() - warmUp.ended(), ScenarioRunner::sum);
    }

    /**
     * Adds two counts.
     *
     * @param a first count
     * @param b second count
     * @return the sum
     */
    private static Object sum(Object a, Object b) {
        return ((Number) a).longValue() + ((Number) b).longValue();
    }

    /**
     * Performs a step and logs its result. A failure of the step is logged and does not end the scenario.
     *
     * @param cluster    the deployment
     * @param entries    entries to which callers send
     * @param step       the step
     * @param completion completed when the step has ended
     */
    private void perform(Cluster cluster, Entries entries, Step step, CompletableFuture<Void> completion) {
        String line = "at " + step.atMillis() + " ms " + step.action().name().toLowerCase(java.util.Locale.ROOT) + " "
                + String.join(" ", step.arguments());
        try {
            String result = step.action().run(cluster, entries, step.arguments());
            line = result.isEmpty() ? line : line + ": " + result;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            line = line + " failed: " + e;
        }
        stepLog.add(line);
        out.println(line);
        completion.complete(null);
    }

    /**
     * Collects the measures. Executions and store accesses are counted from the start of the deployment, the others
     * from the start of the load.
     *
     * @param cluster the deployment
     * @param tally   counts and latencies of the calls
     * @param before  resource usage of the nodes before the load
     * @param seconds duration of the load and its steps, in seconds
     * @return measured values by name
     */
    private Map<String, Object> collectMeasures(Cluster cluster, Tally tally, ResourceUsage before, double seconds) {
        ResourceUsage after = ResourceUsage.of(cluster);
        Map<String, Object> measures = new LinkedHashMap<>();
        measures.put("deployment", scenario.deployment());
        measures.put("seed", scenario.seed());
        measures.put("seconds", seconds);
        measures.put("calls", tally.calls());
        measures.put("ok", tally.count(CallResult.OK));
        measures.put("failed", tally.count(CallResult.FAILED));
        measures.put("notRun", tally.count(CallResult.NOT_RUN));
        measures.put("unknown", tally.count(CallResult.UNKNOWN));
        measures.put("unanswered", tally.calls() - tally.ended());
        measures.put("doubled", tally.duplicatedCalls(cluster.executions()));
        measures.put("wrongAnswer", tally.count(CallResult.WRONG_ANSWER));
        measures.put("cutOff", tally.count(CallResult.CUT_OFF));
        measures.put("falseNotRun", tally.falseNotRun(cluster.executions()));
        measures.put("brokenByKill", tally.connectionsBrokenByKill());
        measures.put("callerResends", tally.retries());
        measures.put("inTimePercent", 100.0 * tally.inTime() / Math.max(1, tally.calls()));
        measures.put("okPercent", 100.0 * tally.count(CallResult.OK) / Math.max(1, tally.calls()));
        measures.put("p50Micros", tally.latencyMicros(50));
        measures.put("p99Micros", tally.latencyMicros(99));
        measures.put("p999Micros", tally.latencyMicros(99.9));
        measures.put("executions", cluster.executions().total());
        measures.put("surplusWinners", cluster.surplusWinners());
        measures.put("poisonExecutions", cluster.executions().countByRequest(Action.POISON_ID));
        measures.put("codes", tally.codes());
        ResourceUsage difference = after.minus(before);
        int nodes = cluster.nodes().size();
        measures.put("probesPerCall", difference.probes() / Math.max(1.0, tally.calls()));
        measures.put("resendsPerCall", difference.resends() / Math.max(1.0, tally.calls()));
        measures.put("controlBytesPerNodeSecond", difference.bytes() / seconds / nodes);
        measures.put("processorMillisPerCall", difference.processorMillis() / Math.max(1.0, tally.calls()));
        measures.put("residentKilobytesPerNode", after.residentKilobytes() / nodes);
        measures.put("storeReads", cluster.platform().table().reads());
        measures.put("storeWrites", cluster.platform().table().writes());
        return measures;
    }

    /**
     * Resources used by all nodes together since they started.
     *
     * @param probes            probes sent
     * @param resends           calls sent again by entries
     * @param bytes             size of the frames sent and received, in bytes
     * @param processorMillis   processor time, in milliseconds
     * @param residentKilobytes present resident memory, in kilobytes
     */
    private record ResourceUsage(
            double probes, double resends, double bytes, double processorMillis, long residentKilobytes) {

        /**
         * Reads the resource usage of the nodes of a deployment.
         *
         * @param cluster the deployment
         * @return the sum over all nodes; the metrics of a node that does not answer count as zero
         */
        static ResourceUsage of(Cluster cluster) {
            ResourceUsage total = new ResourceUsage(0, 0, 0, 0, 0);
            for (NodeHandle node : cluster.nodes()) {
                JsonNode metrics = node.metrics();
                double bytes = metrics.at("/gauges/frames.sentBytes/value").asDouble()
                        + metrics.at("/gauges/frames.receivedBytes/value").asDouble();
                total = new ResourceUsage(
                        total.probes + metrics.at("/meters/entry.probes/count").asDouble(),
                        total.resends
                                + metrics.at("/meters/entry.resends/count").asDouble(),
                        total.bytes + bytes,
                        total.processorMillis + node.processorMillis(),
                        total.residentKilobytes + node.residentKilobytes());
            }
            return total;
        }

        /**
         * Subtracts an earlier usage. The result can be too small because the counters of a replaced process restart
         * at zero.
         *
         * @param before earlier usage
         * @return the difference, zero at least; resident memory is the present value
         */
        ResourceUsage minus(ResourceUsage before) {
            return new ResourceUsage(
                    Math.max(0, probes - before.probes),
                    Math.max(0, resends - before.resends),
                    Math.max(0, bytes - before.bytes),
                    Math.max(0, processorMillis - before.processorMillis),
                    residentKilobytes);
        }
    }
}
