package io.mustardusher.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.common.util.EventLoopGroups;
import io.mustardusher.lab.bench.ControlCostBenchmark;
import io.mustardusher.lab.bench.LatencyBenchmark;
import io.mustardusher.lab.bench.PolicyBenchmark;
import io.mustardusher.lab.bench.PolicyCase;
import io.mustardusher.lab.cluster.Cluster;
import io.mustardusher.lab.cluster.Deployment;
import io.mustardusher.lab.cluster.Hosting;
import io.mustardusher.lab.load.Entries;
import io.mustardusher.lab.load.LoadGenerator;
import io.mustardusher.lab.load.LoadSpec;
import io.mustardusher.lab.load.Tally;
import io.mustardusher.lab.profile.NodeCostBenchmark;
import io.mustardusher.lab.report.Report;
import io.mustardusher.lab.scenario.Scenario;
import io.mustardusher.lab.scenario.ScenarioResult;
import io.mustardusher.lab.scenario.ScenarioRunner;
import io.mustardusher.lab.standin.BackendServer;
import io.mustardusher.lab.standin.Behaviour;
import io.mustardusher.lab.standin.ExecutionLog;
import io.mustardusher.lab.standin.PlatformServer;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Main class of {@code musher-lab}, the command line for simulated deployments, load and benchmarks. */
@Command(
        name = "musher-lab",
        version = "musher-lab 0.1.0",
        mixinStandardHelpOptions = true,
        description = "Simulated servers, load, scenarios and benchmarks, all on the loopback address.",
        subcommands = CommandLine.HelpCommand.class,
        footerHeading = "%nExamples:%n",
        footer = {
            "  musher-lab demo --deployment graz --seconds 20",
            "  musher-lab scenario scenarios/fail-fast.mush --report target/fail-fast",
            "  musher-lab platform --port 7500",
            "  musher-lab load clipserve --entry 7400 --rate 200 --seconds 10"
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:success, and all expectations hold",
            "1:an expectation does not hold",
            "2:invalid command line"
        })
public final class MusherLab {

    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * Runs the command and exits with its exit code.
     *
     * @param arguments command line arguments
     */
    public static void main(String[] arguments) {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.exit(new CommandLine(new MusherLab()).execute(arguments));
    }

    /**
     * Runs the demonstration scenario of a deployment.
     *
     * @param deployment name of the deployment
     * @param seconds    duration of the load, in seconds
     * @param report     folder of the report
     * @return the exit code
     * @throws IOException          if the report cannot be written
     * @throws InterruptedException if a wait is interrupted
     */
    @Command(name = "demo", description = "Starts a whole deployment, sends load and injects faults.")
    int demo(
            @Option(names = "--deployment", defaultValue = "gulf-skies", description = "gulf-skies or graz.")
                    String deployment,
            @Option(
                            names = "--seconds",
                            defaultValue = "20",
                            description = "Duration of the load, in seconds; 20 by default.")
                    int seconds,
            @Option(names = "--report", defaultValue = "target/demo", description = "Folder of the report.")
                    Path report)
            throws IOException, InterruptedException {
        String text;
        try (var stream = MusherLab.class.getResourceAsStream("/demo/" + deployment + ".mush")) {
            if (stream == null) {
                System.err.println("musher-lab: unknown deployment " + deployment);
                return CommandLine.ExitCode.USAGE;
            }
            text = new String(stream.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        }
        return runAndReport(Scenario.parse(text).withDurationMillis(seconds * MILLIS_PER_SECOND), report, true);
    }

    /**
     * Runs a scenario file.
     *
     * @param file      scenario file
     * @param report    folder of the report
     * @param decisions whether nodes log decisions
     * @return the exit code
     * @throws IOException          if a file cannot be read or written
     * @throws InterruptedException if a wait is interrupted
     */
    @Command(name = "scenario", description = "Runs a scenario with real node processes.")
    int scenario(
            @Parameters(paramLabel = "FILE", description = "Scenario file.") Path file,
            @Option(names = "--report", defaultValue = "target/scenario", description = "Folder of the report.")
                    Path report,
            @Option(names = "--decisions", description = "Nodes log their decisions.") boolean decisions)
            throws IOException, InterruptedException {
        return runAndReport(Scenario.read(file), report, decisions);
    }

    /**
     * Writes the class data sharing archive from which nodes start faster.
     *
     * @param folder folder for settings and logs
     * @return the exit code
     * @throws InterruptedException if a wait is interrupted
     */
    @Command(
            name = "archive",
            description = "Writes the class data sharing archive of a node by running it with a few calls.")
    int archive(
            @Option(names = "--folder", defaultValue = "target/archive", description = "Folder for settings and logs.")
                    Path folder)
            throws InterruptedException {
        Cluster cluster = new Cluster(Deployment.named("single"), folder, Hosting.PROCESSES, true);
        try {
            cluster.startWithArchiveAtExit(1);
            Entries entries = new Entries(ClientFactory.ofDefault(), SessionProtocol.H2C);
            cluster.nodes().forEach(node -> entries.add(node.ports().caller()));
            new LoadGenerator(entries, new Tally(), Executors.newScheduledThreadPool(1), 1)
                    .run(List.of(new LoadSpec("archive", 50, 0.5, 100, MILLIS_PER_SECOND, 0, MILLIS_PER_SECOND)));
            cluster.nodes().forEach(node -> cluster.stopNode(node.name()));
        } finally {
            cluster.close();
        }
        return CommandLine.ExitCode.OK;
    }

    /**
     * Runs a simulated platform until the process is stopped.
     *
     * @param port port to listen on
     * @return the exit code
     * @throws InterruptedException if the wait is interrupted
     */
    @Command(
            name = "platform",
            description = "Runs a simulated platform; GET /fault/down, /fault/slow, /fault/none and so on set a fault.")
    int platform(@Option(names = "--port", defaultValue = "7500", description = "Port; 7500 by default.") int port)
            throws InterruptedException {
        System.out.println("platform at " + new PlatformServer(port).start());
        new CountDownLatch(1).await();
        return CommandLine.ExitCode.OK;
    }

    /**
     * Runs a simulated backend server until the process is stopped.
     *
     * @param service    service that the server provides
     * @param port       port to listen on
     * @param slots      number of slots
     * @param millis     mean service time, in milliseconds
     * @param node       URL of the admin listener of the server's node
     * @param credential shared secret of the node
     * @return the exit code
     * @throws InterruptedException if the wait is interrupted
     */
    @Command(name = "backend", description = "Runs a simulated backend server.")
    int backend(
            @Parameters(paramLabel = "SERVICE", description = "Service that the server provides.") String service,
            @Option(names = "--port", defaultValue = "7600", description = "Port; 7600 by default.") int port,
            @Option(names = "--slots", defaultValue = "17", description = "Number of slots; 17 by default.") int slots,
            @Option(names = "--service-millis", defaultValue = "8", description = "Mean service time in ms.")
                    double millis,
            @Option(
                            names = "--node",
                            defaultValue = "http://127.0.0.1:7403",
                            description = "Admin listener of its node.")
                    String node,
            @Option(names = "--credential", required = true, description = "Shared secret of the node.")
                    String credential)
            throws InterruptedException {
        BackendServer.SharedResources shared = new BackendServer.SharedResources(
                new ExecutionLog(),
                EventLoopGroups.newEventLoopGroup(2, "lab-backend", true),
                Executors.newScheduledThreadPool(1));
        new BackendServer(
                        service + "-" + port,
                        service,
                        slots,
                        port,
                        node,
                        credential,
                        Behaviour.of(millis),
                        port,
                        shared)
                .start();
        System.out.println("backend server of " + service + " at port " + port);
        new CountDownLatch(1).await();
        return CommandLine.ExitCode.OK;
    }

    /**
     * Measures the latency that entry and gate add to a call.
     *
     * @param rates     rates to measure, in calls per second
     * @param folder    folder for settings and logs
     * @param decisions whether nodes log decisions
     * @return the exit code
     * @throws InterruptedException if a wait is interrupted
     */
    @Command(
            name = "bench-latency",
            description = "Measures the latency that entry and gate add, side by side with direct calls.")
    int benchLatency(
            @Option(names = "--rates", defaultValue = "500,2000,10000", split = ",", description = "Calls per second.")
                    List<Integer> rates,
            @Option(names = "--folder", defaultValue = "target/bench", description = "Folder for settings and logs.")
                    Path folder,
            @Option(names = "--decisions", description = "Nodes log their decisions.") boolean decisions)
            throws InterruptedException {
        new LatencyBenchmark(rates, folder, decisions, System.out).run();
        return CommandLine.ExitCode.OK;
    }

    /**
     * Compares the routing policies.
     *
     * @param deployment  name of the deployment
     * @param service     name of the service that is called
     * @param repetitions number of runs of each case
     * @param probes      probes per second of each entry
     * @param cases       cases to run; {@code null} for all
     * @param folder      folder for settings
     * @return the exit code
     * @throws InterruptedException if a wait is interrupted
     */
    @Command(name = "bench-policies", description = "Compares the routing policies in several cases.")
    int benchPolicies(
            @Option(names = "--deployment", defaultValue = "gulf-skies", description = "gulf-skies or graz.")
                    String deployment,
            @Option(names = "--service", defaultValue = "clipserve", description = "Service that is called.")
                    String service,
            @Option(names = "--repetitions", defaultValue = "3", description = "Repetitions.") int repetitions,
            @Option(names = "--probes", defaultValue = "4", description = "Probes per second of each entry.")
                    int probes,
            @Option(names = "--cases", split = ",", description = "${COMPLETION-CANDIDATES}; all by default.")
                    List<PolicyCase> cases,
            @Option(names = "--folder", defaultValue = "target/policies", description = "Folder for settings.")
                    Path folder)
            throws InterruptedException {
        List<PolicyCase> chosen = cases == null ? List.of(PolicyCase.values()) : cases;
        new PolicyBenchmark(Deployment.named(deployment), service, repetitions, probes, chosen, System.out).run(folder);
        return CommandLine.ExitCode.OK;
    }

    /**
     * Measures how the cost of the control plane grows with members, entries and keys.
     *
     * @param sizes cluster sizes to measure, in members
     * @return the exit code
     */
    @Command(name = "bench-control", description = "Measures the control plane cost of members, entries and keys.")
    int benchControl(
            @Option(
                            names = "--sizes",
                            defaultValue = "50,200,800,2000",
                            split = ",",
                            description = "Numbers of members.")
                    List<Integer> sizes) {
        new ControlCostBenchmark(sizes, System.out).run();
        return CommandLine.ExitCode.OK;
    }

    /**
     * Measures what a start, an idle node and a call cost.
     *
     * @param nodes   number of nodes
     * @param seconds length of each phase, in seconds
     * @param sample  whether the first node prints where its event loop spends its time
     * @param folder  folder for the output of the nodes
     * @return the exit code
     * @throws IOException          if a node cannot be started
     * @throws InterruptedException if a wait is interrupted
     */
    @Command(
            name = "profile",
            description = "Measures the processor time and the wake-ups of a start, an idle node and a call.")
    int profile(
            @Option(names = "--nodes", defaultValue = "2", description = "Number of nodes; 2 by default.") int nodes,
            @Option(names = "--seconds", defaultValue = "10", description = "Length of each phase.") int seconds,
            @Option(names = "--sample", description = "Writes to node-0.err where the first node spends its time.")
                    boolean sample,
            @Option(names = "--folder", defaultValue = "target/profile", description = "Folder for the output.")
                    Path folder)
            throws IOException, InterruptedException {
        new NodeCostBenchmark(nodes, seconds * MILLIS_PER_SECOND, sample, folder, System.out).run();
        return CommandLine.ExitCode.OK;
    }

    /**
     * Sends calls to a service and prints their latencies.
     *
     * @param service  name of the service
     * @param ports    ports of the entries
     * @param rate     mean rate, in calls per second
     * @param seconds  duration of the load, in seconds
     * @param deadline deadline of each call, in milliseconds
     * @return the exit code
     * @throws InterruptedException if a wait is interrupted
     */
    @Command(name = "load", description = "Sends calls at a fixed mean rate and prints latencies.")
    int load(
            @Parameters(paramLabel = "SERVICE", description = "Name of the service.") String service,
            @Option(names = "--entry", required = true, split = ",", description = "Ports of the entries.")
                    List<Integer> ports,
            @Option(names = "--rate", defaultValue = "100", description = "Calls per second.") double rate,
            @Option(names = "--seconds", defaultValue = "10", description = "Length.") int seconds,
            @Option(names = "--deadline", defaultValue = "2000", description = "Deadline in ms.") long deadline)
            throws InterruptedException {
        ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
        Entries entries = new Entries(ClientFactory.ofDefault(), SessionProtocol.H2C);
        ports.forEach(entries::add);
        Tally tally = new Tally();
        timers.scheduleAtFixedRate(
                () -> System.err.printf("\r%d of %d answered", tally.ended(), tally.calls()),
                1,
                1,
                java.util.concurrent.TimeUnit.SECONDS);
        new LoadGenerator(entries, tally, timers, 1)
                .run(List.of(new LoadSpec(service, rate, 0, 0, deadline, 0, seconds * MILLIS_PER_SECOND)));
        timers.shutdownNow();
        System.err.println();
        System.out.printf(
                "calls %d p50 %d us p99 %d us p99.9 %d us codes %s%n",
                tally.calls(),
                tally.latencyMicros(50),
                tally.latencyMicros(99),
                tally.latencyMicros(99.9),
                tally.codes());
        return CommandLine.ExitCode.OK;
    }

    /**
     * Runs a scenario and writes its report.
     *
     * @param scenario  the scenario
     * @param folder    folder of the report
     * @param decisions whether nodes log decisions
     * @return the exit code
     * @throws IOException          if the report cannot be written
     * @throws InterruptedException if a wait is interrupted
     */
    private static int runAndReport(Scenario scenario, Path folder, boolean decisions)
            throws IOException, InterruptedException {
        Files.createDirectories(folder);
        ScenarioResult result = new ScenarioRunner(scenario, folder, decisions, System.out).run();
        result.print(System.out);
        Report.of(result).write(folder);
        System.out.println("  report in " + folder.resolve("report.json"));
        return result.unmetExpectations().isEmpty() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }
}
