package io.mustardusher.lab.cluster;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.util.EventLoopGroups;
import io.mustardusher.ctl.MusherCtl;
import io.mustardusher.lab.standin.BackendServer;
import io.mustardusher.lab.standin.Behaviour;
import io.mustardusher.lab.standin.ExecutionLog;
import io.mustardusher.lab.standin.PlatformServer;
import picocli.CommandLine;

/**
 * Runs a whole deployment on this machine: the simulated platform, the nodes and the simulated backend servers. Offers
 * the operations that scenarios and tests carry out on it.
 */
public final class Cluster implements AutoCloseable {

    /** Shared secret of all nodes, backend servers and operators. */
    private static final String CREDENTIAL = "laboratory-secret-0001";

    /** Number of event loops that all backend servers share. */
    private static final int BACKEND_EVENT_LOOPS = 3;

    /** Maximum duration of a graceful stop of a node. */
    private static final long STOP_TIMEOUT_MILLIS = 20_000;

    /** Delay between two checks whether a node has discovered all servers. */
    private static final long POLL_INTERVAL_MILLIS = 50;

    /** Maximum time until all nodes have discovered all servers. */
    private static final long DISCOVERY_TIMEOUT_MILLIS = 30_000;

    private final Deployment deployment;

    /** Folder that receives the settings and log files of the nodes. */
    private final Path folder;

    private final Hosting hosting;

    private final boolean logDecisions;

    private final PlatformServer platform = new PlatformServer(0);

    private final ExecutionLog executions = new ExecutionLog();

    /** Runs announcements and crashes of the backend servers. */
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "lab-timers");
        thread.setDaemon(true);
        return thread;
    });

    private final BackendServer.SharedResources shared = new BackendServer.SharedResources(
            executions, EventLoopGroups.newEventLoopGroup(BACKEND_EVENT_LOOPS, "lab-backend", true), timers);

    /** Nodes by name. */
    private final Map<String, NodeHandle> nodes = new LinkedHashMap<>();

    /** Backend servers by name. */
    private final Map<String, BackendServer> backends = new LinkedHashMap<>();

    /** Number of races between operators so far. */
    private final AtomicInteger races = new AtomicInteger();

    /** Number of operators whose write succeeded, over all races. */
    private final AtomicInteger raceWinners = new AtomicInteger();

    /** Base URL of the platform server; {@code null} before the start. */
    private String platformUrl;

    /**
     * Creates a cluster without starting it.
     *
     * @param deployment   deployment to run
     * @param folder       folder that receives the settings and log files of the nodes
     * @param hosting      whether nodes run in processes of their own
     * @param logDecisions whether nodes log their routing and admission decisions
     */
    public Cluster(Deployment deployment, Path folder, Hosting hosting, boolean logDecisions) {
        this.deployment = deployment;
        this.folder = folder;
        this.hosting = hosting;
        this.logDecisions = logDecisions;
    }

    /**
     * Starts the platform, the nodes and the backend servers, writes the catalogue, and waits until every node has
     * discovered every server.
     *
     * @param seed seed of the backend servers' service times
     */
    public void start(long seed) {
        start(seed, NodeHandle::start);
    }

    /**
     * Starts the cluster like {@link #start(long)}, with nodes that write a class data sharing archive when they exit.
     * Requires {@link Hosting#PROCESSES}.
     *
     * @param seed seed of the backend servers' service times
     */
    public void startWithArchiveAtExit(long seed) {
        start(seed, node -> ((NodeProcess) node).startWithArchiveAtExit());
    }

    /**
     * Starts the cluster with the given way to start a node.
     *
     * @param seed    seed of the backend servers' service times
     * @param starter action that starts a node
     */
    private void start(long seed, Consumer<NodeHandle> starter) {
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        platformUrl = platform.start();
        try {
            Files.createDirectories(folder);
            for (Deployment.Upstream upstream : deployment.upstreams()) {
                addUpstream(upstream, seed + nodes.size());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        nodes.values().forEach(starter);
        nodes.values().forEach(NodeHandle::awaitReady);
        backends.values().forEach(BackendServer::start);
        deployment.services().forEach(service -> putEntry(service.entry()));
        awaitServersDiscovered();
    }

    /**
     * Returns the deployment that this cluster runs.
     *
     * @return the deployment
     */
    public Deployment deployment() {
        return deployment;
    }

    /**
     * Returns the simulated platform.
     *
     * @return platform server of this cluster
     */
    public PlatformServer platform() {
        return platform;
    }

    /**
     * Returns the log that all backend servers record their executions in.
     *
     * @return log of executions
     */
    public ExecutionLog executions() {
        return executions;
    }

    /**
     * Returns the node of an upstream.
     *
     * @param name name of the upstream
     * @return the node, started or not
     */
    public NodeHandle node(String name) {
        NodeHandle node = nodes.get(name);
        if (node == null) {
            throw new IllegalArgumentException("no node named " + name);
        }
        return node;
    }

    /**
     * Returns the backend server of an upstream.
     *
     * @param name name of the upstream
     * @return the backend server, started or not
     */
    public BackendServer backend(String name) {
        BackendServer backend = backends.get(name);
        if (backend == null) {
            throw new IllegalArgumentException("no backend server named " + name);
        }
        return backend;
    }

    /**
     * Returns all nodes in the order of the deployment's upstreams.
     *
     * @return copy of the list of nodes
     */
    public List<NodeHandle> nodes() {
        return new ArrayList<>(nodes.values());
    }

    /**
     * Writes an entry of the catalogue with {@code musherctl}.
     *
     * @param entry entry to write
     * @return exit code and output of the command
     */
    public CommandResult putEntry(JsonNode entry) {
        return runPut(entry);
    }

    /**
     * Writes an entry of the catalogue with {@code musherctl}, on condition that its stored revision is the given one.
     *
     * @param entry      entry to write
     * @param ifRevision expected revision of the stored entry
     * @return exit code and output of the command
     */
    public CommandResult putEntry(JsonNode entry, long ifRevision) {
        return runPut(entry, "--if-revision", Long.toString(ifRevision));
    }

    /**
     * Returns the revision of an entry that the first node currently applies.
     *
     * @param service name of the service
     * @return revision of the entry
     */
    public long revisionOf(String service) {
        String text = nodes().get(0).queryAdmin("/v1/catalogue/" + service);
        return Long.parseLong(text.replaceAll(".*\"revision\":(\\d+).*", "$1"));
    }

    /**
     * Records a race between operators that write the same revision of an entry.
     *
     * @param winners number of operators whose write succeeded; correct is one
     */
    public void recordRace(int winners) {
        races.incrementAndGet();
        raceWinners.addAndGet(winners);
    }

    /**
     * Returns how many more operators won races than there were races.
     *
     * @return number of winners minus number of races; a race without a winner counts as -1
     */
    public int surplusWinners() {
        return raceWinners.get() - races.get();
    }

    /**
     * Runs {@code musherctl catalogue put}.
     *
     * @param entry   entry to write
     * @param options further options of the command
     * @return exit code and output of the command
     */
    private CommandResult runPut(JsonNode entry, String... options) {
        try {
            Path file = Files.createTempFile(folder, "entry", ".json");
            Files.writeString(file, entry.toString());
            List<String> arguments =
                    new ArrayList<>(List.of("catalogue", "put", file.toString(), "--author", "laboratory"));
            arguments.addAll(List.of(options));
            CommandResult result = ctl(arguments.toArray(new String[0]));
            Files.delete(file);
            return result;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Runs {@code musherctl} within this process, with the addresses of all nodes and their credential.
     *
     * @param arguments arguments of the command
     * @return exit code and output of the command
     */
    public CommandResult ctl(String... arguments) {
        List<String> line = new ArrayList<>(List.of(arguments));
        line.add("--node");
        line.add(String.join(
                ",", nodes.values().stream().map(NodeHandle::adminUrl).toList()));
        line.add("--credential");
        line.add(CREDENTIAL);
        StringWriter output = new StringWriter();
        CommandLine command = MusherCtl.commandLine();
        command.setOut(new PrintWriter(output, true));
        command.setErr(new PrintWriter(output, true));
        int exitCode = command.execute(line.toArray(new String[0]));
        return new CommandResult(exitCode, output.toString());
    }

    /**
     * Stops a node gracefully, then its backend server.
     *
     * @param name name of the upstream
     * @return exit code of the node; negative if it exceeded the time allowed for a graceful stop
     */
    public int stopNode(String name) {
        int exitCode = node(name).stop(STOP_TIMEOUT_MILLIS);
        backend(name).close();
        return exitCode;
    }

    /**
     * Simulates the replacement of a VM: stops the node gracefully, then starts node and backend server anew.
     *
     * @param name name of the upstream
     * @return exit code of the stopped node; negative if it exceeded the time allowed for a graceful stop
     */
    public int replaceNode(String name) {
        int exitCode = stopNode(name);
        startNode(name);
        return exitCode;
    }

    /**
     * Starts a node that was stopped or killed, waits until it is ready, and starts its backend server.
     *
     * @param name name of the upstream
     */
    public void startNode(String name) {
        node(name).start();
        node(name).awaitReady();
        backend(name).start();
    }

    /**
     * Simulates the loss of a VM: kills the node and its backend server.
     *
     * @param name name of the upstream
     */
    public void killNode(String name) {
        node(name).kill();
        backend(name).close();
    }

    @Override
    public void close() {
        nodes.values().forEach(NodeHandle::kill);
        backends.values().forEach(BackendServer::close);
        platform.close();
        timers.shutdownNow();
        shared.eventLoops().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Writes the settings of a node, and creates the node and its backend server without starting them.
     *
     * @param upstream upstream to create
     * @param seed     seed of the backend server's service times
     * @throws IOException if the settings cannot be written
     */
    private void addUpstream(Deployment.Upstream upstream, long seed) throws IOException {
        Ports ports = Ports.findFree();
        Path settings = folder.resolve(upstream.name() + ".jsonc");
        Files.writeString(
                settings,
                NodeProcess.createSettings(upstream, deployment, ports, platformUrl, CREDENTIAL, logDecisions)
                        .toPrettyString());
        Path log = folder.resolve(upstream.name() + ".log");
        NodeHandle node = hosting.createNode(upstream.name(), ports, settings, log, CREDENTIAL);
        nodes.put(upstream.name(), node);
        backends.put(
                upstream.name(),
                new BackendServer(
                        upstream.name(),
                        upstream.service().name(),
                        upstream.service().slots(),
                        ports.backend(),
                        node.adminUrl(),
                        CREDENTIAL,
                        Behaviour.of(upstream.service().serviceMillis()),
                        seed,
                        shared));
    }

    /** Waits until every node reports every backend server as serving. */
    private void awaitServersDiscovered() {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DISCOVERY_TIMEOUT_MILLIS);
        for (NodeHandle node : nodes.values()) {
            while (countServingServers(node) < nodes.size()) {
                if (System.nanoTime() - deadlineNanos > 0) {
                    throw new IllegalStateException("node " + node.name() + " reports only " + countServingServers(node)
                            + " backend servers as serving");
                }
                sleepPollInterval();
            }
        }
    }

    /**
     * Returns how many backend servers a node reports as serving.
     *
     * @param node node to query
     * @return number of servers; 0 if the node doesn't answer
     */
    private static int countServingServers(NodeHandle node) {
        return node.queryAdmin("/v1/servers").split("\"serving\":true", -1).length - 1;
    }

    private static void sleepPollInterval() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Result of a {@code musherctl} command.
     *
     * @param exitCode exit code of the command
     * @param output   standard output and error output, in the order they were printed
     */
    public record CommandResult(int exitCode, String output) {}
}
