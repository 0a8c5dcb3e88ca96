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

/** A running deployment. */
public final class Cluster implements AutoCloseable {

    /** Shared secret of the nodes. */
    private static final String CREDENTIAL = "laboratory-secret-0001";

    /** Event loops of the stand-ins. */
    private static final int EVENT_LOOPS = 3;

    /** Time allowed for a graceful stop, in milliseconds. */
    private static final long STOP_MILLIS = 20_000;

    /** Time between two looks at the nodes, in milliseconds. */
    private static final long POLL_MILLIS = 50;

    /** Time allowed for all nodes to see all servers, in milliseconds. */
    private static final long SETTLE_MILLIS = 30_000;

    private final Deployment deployment;

    /** Folder for settings and logs. */
    private final Path folder;

    /** Where the nodes run. */
    private final Hosting hosting;

    /** Whether nodes log decisions. */
    private final boolean decisions;

    /** The platform's stand-in. */
    private final PlatformServer platform = new PlatformServer(0);

    /** Executions of the backend servers. */
    private final ExecutionLog executions = new ExecutionLog();

    /** Runs timers of the stand-ins. */
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "lab-timers");
        thread.setDaemon(true);
        return thread;
    });

    /** What the backend servers share. */
    private final BackendServer.SharedResources shared = new BackendServer.SharedResources(
            executions, EventLoopGroups.newEventLoopGroup(EVENT_LOOPS, "lab-backend", true), timers);

    /** Nodes by name. */
    private final Map<String, NodeHandle> nodes = new LinkedHashMap<>();

    /** Backend servers by name. */
    private final Map<String, BackendServer> backends = new LinkedHashMap<>();

    /** Races of operators. */
    private final AtomicInteger races = new AtomicInteger();

    /** Operators that won races. */
    private final AtomicInteger raceWinners = new AtomicInteger();

    /** Base URL of the platform. */
    private String platformUrl;

    /**
     * Creates a deployment that is not started.
     *
     * @param deployment the deployment
     * @param folder     folder for settings and logs
     * @param hosting    where the nodes run
     * @param decisions  whether nodes log decisions
     */
    public Cluster(Deployment deployment, Path folder, Hosting hosting, boolean decisions) {
        this.deployment = deployment;
        this.folder = folder;
        this.hosting = hosting;
        this.decisions = decisions;
    }

    /**
     * Starts the platform, the nodes and the backend servers, and loads the catalogue.
     *
     * @param seed seed of service times
     */
    public void start(long seed) {
        start(seed, NodeHandle::start);
    }

    /**
     * Starts everything so that the nodes write the archive of loaded classes when they end.
     *
     * @param seed seed of service times
     */
    public void startForArchive(long seed) {
        start(seed, node -> ((NodeProcess) node).startForArchive());
    }

    /**
     * Starts the platform, the nodes and the backend servers, and loads the catalogue.
     *
     * @param seed    seed of service times
     * @param starter starts a node
     */
    private void start(long seed, Consumer<NodeHandle> starter) {
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        platformUrl = platform.start();
        try {
            Files.createDirectories(folder);
            for (Deployment.Upstream upstream : deployment.upstreams()) {
                prepare(upstream, seed + nodes.size());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        nodes.values().forEach(starter);
        nodes.values().forEach(NodeHandle::awaitReady);
        backends.values().forEach(BackendServer::start);
        deployment.services().forEach(service -> put(service.entry()));
        awaitSettled();
    }

    /**
     * Returns the deployment.
     *
     * @return the deployment
     */
    public Deployment deployment() {
        return deployment;
    }

    /**
     * Returns the platform's stand-in.
     *
     * @return the stand-in
     */
    public PlatformServer platform() {
        return platform;
    }

    /**
     * Returns the executions of the backend servers.
     *
     * @return the log
     */
    public ExecutionLog executions() {
        return executions;
    }

    /**
     * Finds a node.
     *
     * @param name its name
     * @return the node
     */
    public NodeHandle node(String name) {
        NodeHandle node = nodes.get(name);
        if (node == null) {
            throw new IllegalArgumentException("no node " + name);
        }
        return node;
    }

    /**
     * Finds a backend server.
     *
     * @param name its name
     * @return the server
     */
    public BackendServer backend(String name) {
        BackendServer backend = backends.get(name);
        if (backend == null) {
            throw new IllegalArgumentException("no backend server " + name);
        }
        return backend;
    }

    /**
     * Returns the nodes.
     *
     * @return the nodes
     */
    public List<NodeHandle> nodes() {
        return new ArrayList<>(nodes.values());
    }

    /**
     * Writes an entry with {@code musherctl}.
     *
     * @param entry the entry
     * @return what the command printed
     */
    public CommandResult put(JsonNode entry) {
        return putWith(entry);
    }

    /**
     * Writes an entry with {@code musherctl} if it has a revision.
     *
     * @param entry      the entry
     * @param ifRevision the revision
     * @return what the command printed
     */
    public CommandResult put(JsonNode entry, long ifRevision) {
        return putWith(entry, "--if-revision", Long.toString(ifRevision));
    }

    /**
     * Returns the revision of an entry as one node has it in force.
     *
     * @param service name of the service
     * @return the revision
     */
    public long revisionOf(String service) {
        String text = nodes().get(0).admin("/v1/catalogue/" + service);
        return Long.parseLong(text.replaceAll(".*\"revision\":(\\d+).*", "$1"));
    }

    /**
     * Notes how many operators won a race.
     *
     * @param winners the number
     */
    public void countRace(int winners) {
        races.incrementAndGet();
        raceWinners.addAndGet(winners);
    }

    /**
     * Returns the operators that won races beyond one in each.
     *
     * @return the number, negative if a race had no winner
     */
    public int surplusWinners() {
        return raceWinners.get() - races.get();
    }

    /**
     * Writes an entry with {@code musherctl}.
     *
     * @param entry   the entry
     * @param options further options
     * @return what the command printed
     */
    private CommandResult putWith(JsonNode entry, String... options) {
        try {
            Path file = Files.createTempFile(folder, "entry", ".json");
            Files.writeString(file, entry.toString());
            List<String> line = new ArrayList<>(List.of("catalogue", "put", file.toString(), "--author", "laboratory"));
            line.addAll(List.of(options));
            CommandResult result = ctl(line.toArray(new String[0]));
            Files.delete(file);
            return result;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Runs {@code musherctl} against the nodes.
     *
     * @param arguments its arguments
     * @return what it printed
     */
    public CommandResult ctl(String... arguments) {
        List<String> line = new ArrayList<>(List.of(arguments));
        line.add("--node");
        line.add(String.join(
                ",", nodes.values().stream().map(NodeHandle::adminUrl).toList()));
        line.add("--credential");
        line.add(CREDENTIAL);
        StringWriter out = new StringWriter();
        CommandLine command = MusherCtl.commandLine();
        command.setOut(new PrintWriter(out, true));
        command.setErr(new PrintWriter(out, true));
        int exit = command.execute(line.toArray(new String[0]));
        return new CommandResult(exit, out.toString());
    }

    /**
     * Stops a node gracefully, after its backend server.
     *
     * @param name its name
     * @return exit code of the node
     */
    public int stopNode(String name) {
        int exit = node(name).stop(STOP_MILLIS);
        backend(name).close();
        return exit;
    }

    /**
     * Replaces the VM of a node: a graceful stop, then a new process with a new backend server.
     *
     * @param name its name
     * @return exit code of the stopped node
     */
    public int replaceNode(String name) {
        int exit = stopNode(name);
        startNode(name);
        return exit;
    }

    /**
     * Starts a node that was stopped or killed, with its backend server.
     *
     * @param name its name
     */
    public void startNode(String name) {
        node(name).start();
        node(name).awaitReady();
        backend(name).start();
    }

    /**
     * Ends a VM at once: node and backend server.
     *
     * @param name its name
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
     * Writes the settings of a node and creates its backend server.
     *
     * @param upstream the upstream
     * @param seed     seed of service times
     * @throws IOException if the settings cannot be written
     */
    private void prepare(Deployment.Upstream upstream, long seed) throws IOException {
        Ports ports = Ports.free();
        Path settings = folder.resolve(upstream.name() + ".jsonc");
        Files.writeString(
                settings,
                NodeProcess.settings(upstream, deployment, ports, platformUrl, CREDENTIAL, decisions)
                        .toPrettyString());
        Path log = folder.resolve(upstream.name() + ".log");
        NodeHandle node = hosting.host(upstream.name(), ports, settings, log, CREDENTIAL);
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

    /** Waits until every node sees every server serving. */
    private void awaitSettled() {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_MILLIS);
        for (NodeHandle node : nodes.values()) {
            while (servingAt(node) < nodes.size()) {
                if (System.nanoTime() - end > 0) {
                    throw new IllegalStateException("node " + node.name() + " sees " + servingAt(node) + " servers");
                }
                pause();
            }
        }
    }

    /**
     * Counts the servers that a node sees serving.
     *
     * @param node the node
     * @return the number
     */
    private static int servingAt(NodeHandle node) {
        return node.admin("/v1/servers").split("\"serving\":true", -1).length - 1;
    }

    /** Waits a little. */
    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * What a command printed.
     *
     * @param exit exit code
     * @param text output and errors
     */
    public record CommandResult(int exit, String text) {}
}
