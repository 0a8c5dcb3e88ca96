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
import io.mustardusher.lab.bench.AddedLatency;
import io.mustardusher.lab.bench.ControlBench;
import io.mustardusher.lab.bench.PolicyBench;
import io.mustardusher.lab.bench.PolicyCase;
import io.mustardusher.lab.cluster.Cluster;
import io.mustardusher.lab.cluster.Deployment;
import io.mustardusher.lab.cluster.Hosting;
import io.mustardusher.lab.load.Entries;
import io.mustardusher.lab.load.LoadGenerator;
import io.mustardusher.lab.load.LoadSpec;
import io.mustardusher.lab.load.Tally;
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

/** Command line of the laboratory. */
@Command(
        name = "musher-lab",
        version = "musher-lab 0.1.0",
        mixinStandardHelpOptions = true,
        description = "Stand-ins, load, scenarios and benchmarks; everything stays on the loopback address.",
        subcommands = CommandLine.HelpCommand.class,
        footerHeading = "%nExamples:%n",
        footer = {
            "  musher-lab demo --deployment graz --seconds 20",
            "  musher-lab scenario scenarios/fail-fast.mush --report target/fail-fast",
            "  musher-lab platform --port 7500",
            "  musher-lab load clipserve --entry 7400 --rate 200 --seconds 10"
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:done, and every expectation holds", "1:an expectation does not hold", "2:usage"})
public final class MusherLab {

    /** Milliseconds in a second. */
    private static final long MILLIS = 1_000;

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.exit(new CommandLine(new MusherLab()).execute(arguments));
    }

    /**
     * Runs the demonstration.
     *
     * @param deployment name of the deployment
     * @param seconds    length of the load
     * @param report     folder of the report
     * @return the exit code
     * @throws IOException          if the report cannot be written
     * @throws InterruptedException if a wait is interrupted
     */
    @Command(name = "demo", description = "Starts a whole deployment, sends load, and breaks a few things.")
    int demo(
            @Option(names = "--deployment", defaultValue = "gulf-skies", description = "gulf-skies or graz.")
                    String deployment,
            @Option(names = "--seconds", defaultValue = "20", description = "Length of the load; 20 by default.")
                    int seconds,
            @Option(names = "--report", defaultValue = "target/demo", description = "Folder of the report.")
                    Path report)
            throws IOException, InterruptedException {
        String text;
        try (var stream = MusherLab.class.getResourceAsStream("/demo/" + deployment + ".mush")) {
            if (stream == null) {
                System.err.println("musher-lab: no deployment " + deployment);
                return CommandLine.ExitCode.USAGE;
            }
            text = new String(stream.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        }
        return run(Scenario.parse(text).withMillis(seconds * MILLIS), report, true);
    }

    /**
     * Runs a scenario.
     *
     * @param file      file of the scenario
     * @param report    folder of the report
     * @param decisions whether nodes log decisions
     * @return the exit code
     * @throws IOException          if a file cannot be read or written
     * @throws InterruptedException if a wait is interrupted
     */
    @Command(name = "scenario", description = "Runs a scenario with real node processes.")
    int scenario(
            @Parameters(paramLabel = "FILE", description = "File of the scenario.") Path file,
            @Option(names = "--report", defaultValue = "target/scenario", description = "Folder of the report.")
                    Path report,
            @Option(names = "--decisions", description = "Nodes log their decisions.") boolean decisions)
            throws IOException, InterruptedException {
        return run(Scenario.read(file), report, decisions);
    }

    /**
     * Writes the archive of loaded classes from which nodes start.
     *
     * @param folder folder for settings and logs
     * @return the exit code
     * @throws InterruptedException if a wait is interrupted
     */
    @Command(name = "archive", description = "Runs a node with some calls so that it leaves its class archive.")
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
                    .run(List.of(new LoadSpec("archive", 50, 0.5, 100, MILLIS, 0, MILLIS)));
            cluster.nodes().forEach(node -> cluster.stopNode(node.name()));
        } finally {
            cluster.close();
        }
        return CommandLine.ExitCode.OK;
    }

    /**
     * Runs the platform's stand-in.
     *
     * @param port its port
     * @return the exit code
     * @throws InterruptedException if the wait is interrupted
     */
    @Command(
            name = "platform",
            description =
                    "Runs the platform's stand-in; GET /fault/down, /fault/slow, /fault/none and so on set a fault.")
    int platform(@Option(names = "--port", defaultValue = "7500", description = "Port; 7500 by default.") int port)
            throws InterruptedException {
        System.out.println("platform at " + new PlatformServer(port).start());
        new CountDownLatch(1).await();
        return CommandLine.ExitCode.OK;
    }

    /**
     * Runs a backend server's stand-in.
     *
     * @param service    its service
     * @param port       its port
     * @param slots      its slots
     * @param millis     mean service time, in milliseconds
     * @param node       admin listener of the node beside it
     * @param credential shared secret of the node
     * @return the exit code
     * @throws InterruptedException if the wait is interrupted
     */
    @Command(name = "backend", description = "Runs a backend server's stand-in.")
    int backend(
            @Parameters(paramLabel = "SERVICE", description = "Its service.") String service,
            @Option(names = "--port", defaultValue = "7600", description = "Its port; 7600 by default.") int port,
            @Option(names = "--slots", defaultValue = "17", description = "Its slots.") int slots,
            @Option(names = "--service-millis", defaultValue = "8", description = "Mean service time.") double millis,
            @Option(names = "--node", defaultValue = "http://127.0.0.1:7403", description = "Admin listener.")
                    String node,
            @Option(names = "--credential", required = true, description = "Shared secret.") String credential)
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
     * Measures the latency that entry and gate add.
     *
     * @param rates     calls a second
     * @param folder    folder for settings and logs
     * @param decisions whether nodes log decisions
     * @return the exit code
     * @throws InterruptedException if a wait is interrupted
     */
    @Command(name = "bench-latency", description = "Measures what entry and gate add to a call, side by side.")
    int benchLatency(
            @Option(names = "--rates", defaultValue = "500,2000,10000", split = ",", description = "Calls a second.")
                    List<Integer> rates,
            @Option(names = "--folder", defaultValue = "target/bench", description = "Folder for settings and logs.")
                    Path folder,
            @Option(names = "--decisions", description = "Nodes log their decisions.") boolean decisions)
            throws InterruptedException {
        new AddedLatency(rates, folder, decisions, System.out).run();
        return CommandLine.ExitCode.OK;
    }

    /**
     * Compares the routing policies.
     *
     * @param deployment  name of the deployment
     * @param service     the service that is called
     * @param repetitions repetitions
     * @param probes      probes a second of each entry
     * @param cases       cases to run
     * @param folder      folder for settings
     * @return the exit code
     * @throws InterruptedException if a wait is interrupted
     */
    @Command(name = "bench-policies", description = "Compares the routing policies, case by case.")
    int benchPolicies(
            @Option(names = "--deployment", defaultValue = "gulf-skies", description = "gulf-skies or graz.")
                    String deployment,
            @Option(names = "--service", defaultValue = "clipserve", description = "Service that is called.")
                    String service,
            @Option(names = "--repetitions", defaultValue = "3", description = "Repetitions.") int repetitions,
            @Option(names = "--probes", defaultValue = "4", description = "Probes a second of each entry.") int probes,
            @Option(names = "--cases", split = ",", description = "${COMPLETION-CANDIDATES}; all by default.")
                    List<PolicyCase> cases,
            @Option(names = "--folder", defaultValue = "target/policies", description = "Folder for settings.")
                    Path folder)
            throws InterruptedException {
        List<PolicyCase> chosen = cases == null ? List.of(PolicyCase.values()) : cases;
        new PolicyBench(Deployment.named(deployment), service, repetitions, probes, chosen, System.out).run(folder);
        return CommandLine.ExitCode.OK;
    }

    /**
     * Measures the slopes of control.
     *
     * @param sizes numbers of members
     * @return the exit code
     */
    @Command(name = "bench-control", description = "Measures what members, entries and keys cost.")
    int benchControl(
            @Option(
                            names = "--sizes",
                            defaultValue = "50,200,800,2000",
                            split = ",",
                            description = "Numbers of members.")
                    List<Integer> sizes) {
        new ControlBench(sizes, System.out).run();
        return CommandLine.ExitCode.OK;
    }

    /**
     * Sends load.
     *
     * @param service  the service
     * @param ports    ports of entries
     * @param rate     calls a second
     * @param seconds  length
     * @param deadline deadline, in milliseconds
     * @return the exit code
     * @throws InterruptedException if a wait is interrupted
     */
    @Command(name = "load", description = "Sends calls at a fixed mean rate and prints latencies.")
    int load(
            @Parameters(paramLabel = "SERVICE", description = "The service.") String service,
            @Option(names = "--entry", required = true, split = ",", description = "Ports of entries.")
                    List<Integer> ports,
            @Option(names = "--rate", defaultValue = "100", description = "Calls a second.") double rate,
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
                .run(List.of(new LoadSpec(service, rate, 0, 0, deadline, 0, seconds * MILLIS)));
        timers.shutdownNow();
        System.err.println();
        System.out.printf(
                "calls %d p50 %d us p99 %d us p99.9 %d us codes %s%n",
                tally.calls(), tally.micros(50), tally.micros(99), tally.micros(99.9), tally.codes());
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
    private static int run(Scenario scenario, Path folder, boolean decisions) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        ScenarioResult result = new ScenarioRunner(scenario, folder, decisions, System.out).run();
        result.print(System.out);
        Report.of(result).write(folder);
        System.out.println("  report in " + folder.resolve("report.json"));
        return result.broken().isEmpty() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }
}
