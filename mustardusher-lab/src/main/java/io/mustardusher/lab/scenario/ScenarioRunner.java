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

/** Runs a scenario with real node processes. */
public final class ScenarioRunner {

    /** Time allowed for steps that are still under way after the load, in seconds. */
    private static final long STEP_SECONDS = 40;

    private final Scenario scenario;

    /** Folder for settings, logs and the report. */
    private final Path folder;

    /** Whether nodes log decisions. */
    private final boolean decisions;

    /** Where progress is printed. */
    private final PrintStream out;

    /** What the steps saw. */
    private final List<String> seen = java.util.Collections.synchronizedList(new ArrayList<>());

    /**
     * Creates a runner.
     *
     * @param scenario  the scenario
     * @param folder    folder for settings, logs and the report
     * @param decisions whether nodes log decisions
     * @param out       where progress is printed
     */
    public ScenarioRunner(Scenario scenario, Path folder, boolean decisions, PrintStream out) {
        this.scenario = scenario;
        this.folder = folder;
        this.decisions = decisions;
        this.out = out;
    }

    /**
     * Runs the scenario.
     *
     * @return measures by name
     * @throws InterruptedException if a wait is interrupted
     */
    public ScenarioResult run() throws InterruptedException {
        Deployment deployment = Deployment.named(scenario.deployment());
        Cluster cluster = new Cluster(deployment, folder, Hosting.PROCESSES, decisions);
        try {
            out.println("starting " + deployment.name() + " with "
                    + deployment.upstreams().size() + " nodes");
            long begun = System.nanoTime();
            cluster.start(scenario.seed());
            long startMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
            out.println("ready after " + startMillis + " ms");
            return load(cluster, startMillis);
        } finally {
            cluster.close();
        }
    }

    /**
     * Sends the load while the steps happen.
     *
     * @param cluster     the deployment
     * @param startMillis time that the deployment took to start, in milliseconds
     * @return measures by name
     * @throws InterruptedException if a wait is interrupted
     */
    private ScenarioResult load(Cluster cluster, long startMillis) throws InterruptedException {
        ClientFactory connections = ClientFactory.builder().build();
        ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
        ExecutorService steps = Executors.newCachedThreadPool();
        Entries entries = new Entries(connections, SessionProtocol.H2C);
        cluster.nodes().forEach(node -> entries.add(node.ports().caller()));
        Tally warm = new Tally();
        new LoadGenerator(entries, warm, timers, scenario.seed() + 1).run(scenario.warmLoads());
        Tally tally = new Tally();
        Usage before = Usage.of(cluster);
        long begun = System.nanoTime();
        List<CompletableFuture<Void>> done = new ArrayList<>();
        for (Step step : scenario.steps()) {
            CompletableFuture<Void> end = new CompletableFuture<>();
            done.add(end);
            timers.schedule(
                    () -> steps.execute(() -> act(cluster, entries, step, end)),
                    step.atMillis(),
                    TimeUnit.MILLISECONDS);
        }
        new LoadGenerator(entries, tally, timers, scenario.seed()).run(scenario.loads());
        CompletableFuture.allOf(done.toArray(new CompletableFuture<?>[0]))
                .completeOnTimeout(null, STEP_SECONDS, TimeUnit.SECONDS)
                .join();
        double seconds = (System.nanoTime() - begun) / 1e9;
        Map<String, Object> measures = measures(cluster, tally, before, seconds);
        measures.put("startMillis", startMillis);
        addWarmUp(cluster, warm, measures);
        timers.shutdownNow();
        steps.shutdownNow();
        connections.close();
        return new ScenarioResult(scenario, measures, tally, List.copyOf(seen));
    }

    /**
     * Adds what went wrong in the warm-up to the measures of what must not happen.
     *
     * @param cluster  the deployment
     * @param warm     counts of the calls of the warm-up
     * @param measures measures by name
     */
    private static void addWarmUp(Cluster cluster, Tally warm, Map<String, Object> measures) {
        measures.put("warmUpCalls", warm.calls());
        measures.merge("doubled", warm.doubled(cluster.executions()), ScenarioRunner::sum);
        measures.merge("wrongAnswer", warm.count(CallResult.WRONG_ANSWER), ScenarioRunner::sum);
        measures.merge("cutOff", warm.count(CallResult.CUT_OFF), ScenarioRunner::sum);
        measures.merge("falseNotRun", warm.falseNotRun(cluster.executions()), ScenarioRunner::sum);
        measures.merge("unanswered", warm.calls() - warm.ended(), ScenarioRunner::sum);
    }

    /**
     * Adds two counts.
     *
     * @param a a count
     * @param b another count
     * @return their sum
     */
    private static Object sum(Object a, Object b) {
        return ((Number) a).longValue() + ((Number) b).longValue();
    }

    /**
     * Performs a step.
     *
     * @param cluster the deployment
     * @param entries entries that callers know
     * @param step    the step
     * @param end     completes with the step
     */
    private void act(Cluster cluster, Entries entries, Step step, CompletableFuture<Void> end) {
        String line = "at " + step.atMillis() + " ms " + step.action().name().toLowerCase(java.util.Locale.ROOT) + " "
                + String.join(" ", step.words());
        try {
            String result = step.action().run(cluster, entries, step.words());
            line = result.isEmpty() ? line : line + ": " + result;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            line = line + " failed: " + e;
        }
        seen.add(line);
        out.println(line);
        end.complete(null);
    }

    /**
     * Collects the measures.
     *
     * @param cluster the deployment
     * @param tally   counts of calls
     * @param before  what the nodes had used before the load
     * @param seconds length of the load, in seconds
     * @return measures by name
     */
    private Map<String, Object> measures(Cluster cluster, Tally tally, Usage before, double seconds) {
        Usage after = Usage.of(cluster);
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
        measures.put("doubled", tally.doubled(cluster.executions()));
        measures.put("wrongAnswer", tally.count(CallResult.WRONG_ANSWER));
        measures.put("cutOff", tally.count(CallResult.CUT_OFF));
        measures.put("falseNotRun", tally.falseNotRun(cluster.executions()));
        measures.put("brokenByKill", tally.broken());
        measures.put("callerResends", tally.resends());
        measures.put("inTimePercent", 100.0 * tally.inTime() / Math.max(1, tally.calls()));
        measures.put("okPercent", 100.0 * tally.count(CallResult.OK) / Math.max(1, tally.calls()));
        measures.put("p50Micros", tally.micros(50));
        measures.put("p99Micros", tally.micros(99));
        measures.put("p999Micros", tally.micros(99.9));
        measures.put("executions", cluster.executions().total());
        measures.put("surplusWinners", cluster.surplusWinners());
        measures.put("poisonExecutions", cluster.executions().countByRequest(Action.POISON_ID));
        measures.put("codes", tally.codes());
        Usage used = after.minus(before);
        int nodes = cluster.nodes().size();
        measures.put("probesPerCall", used.probes() / Math.max(1.0, tally.calls()));
        measures.put("resendsPerCall", used.resends() / Math.max(1.0, tally.calls()));
        measures.put("controlBytesPerNodeSecond", used.bytes() / seconds / nodes);
        measures.put("processorMillisPerCall", used.processorMillis() / Math.max(1.0, tally.calls()));
        measures.put("residentKilobytesPerNode", after.residentKilobytes() / nodes);
        measures.put("storeReads", cluster.platform().table().reads());
        measures.put("storeWrites", cluster.platform().table().writes());
        return measures;
    }

    /**
     * What the nodes have used.
     *
     * @param probes            probes sent
     * @param resends           further sends of entries
     * @param bytes             bytes of frames sent and received
     * @param processorMillis   processor time, in milliseconds
     * @param residentKilobytes resident memory, in kilobytes
     */
    private record Usage(double probes, double resends, double bytes, double processorMillis, long residentKilobytes) {

        /**
         * Asks the nodes.
         *
         * @param cluster the deployment
         * @return what they have used; a node that does not answer counts nothing
         */
        static Usage of(Cluster cluster) {
            Usage sum = new Usage(0, 0, 0, 0, 0);
            for (NodeHandle node : cluster.nodes()) {
                JsonNode metrics = node.metrics();
                double bytes = metrics.at("/gauges/frames.sentBytes/value").asDouble()
                        + metrics.at("/gauges/frames.receivedBytes/value").asDouble();
                sum = new Usage(
                        sum.probes + metrics.at("/meters/entry.probes/count").asDouble(),
                        sum.resends + metrics.at("/meters/entry.resends/count").asDouble(),
                        sum.bytes + bytes,
                        sum.processorMillis + node.processorMillis(),
                        sum.residentKilobytes + node.residentKilobytes());
            }
            return sum;
        }

        /**
         * Subtracts what was used before. A replaced process starts from nothing, so that the result can be too small.
         *
         * @param before what was used before
         * @return the difference
         */
        Usage minus(Usage before) {
            return new Usage(
                    Math.max(0, probes - before.probes),
                    Math.max(0, resends - before.resends),
                    Math.max(0, bytes - before.bytes),
                    Math.max(0, processorMillis - before.processorMillis),
                    residentKilobytes);
        }
    }
}
