package io.mustardusher.lab.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mustardusher.schema.Schema;

/** Runs a node in a process of its own. */
public final class NodeProcess implements NodeHandle {

    /**
     * JVM flags of a node: those of {@code bin/musherd}, but limited to the C1 compiler, because many nodes share the
     * processors of one machine.
     */
    public static final List<String> JVM_FLAGS = List.of(
            "-XX:+ExitOnOutOfMemoryError",
            "-Xmx64m",
            "-Xss512k",
            "-XX:+UseSerialGC",
            "-XX:-UsePerfData",
            "-XX:MaxDirectMemorySize=48m",
            "-XX:ReservedCodeCacheSize=48m",
            "-XX:TieredStopAtLevel=1",
            "-Dio.netty.allocator.numDirectArenas=2",
            "-Dio.netty.allocator.numHeapArenas=1",
            "-Dcom.linecorp.armeria.transportType=epoll",
            "-Dlogback.statusListenerClass=ch.qos.logback.core.status.NopStatusListener",
            "-Dorg.jboss.logging.provider=slf4j");

    /** System property that sets the class path of nodes; the default is the class path of this process. */
    private static final String CLASS_PATH_PROPERTY = "mustardusher.node.classPath";

    /** System property that names the class data sharing archive which nodes load, or write when they exit. */
    private static final String ARCHIVE_PROPERTY = "mustardusher.node.archive";

    /** System property that contains additional JVM flags of nodes, separated by white space. */
    private static final String FLAGS_PROPERTY = "mustardusher.node.flags";

    private final String name;

    private final Ports ports;

    private final Path settings;

    /** File that standard output and error output are appended to. */
    private final Path log;

    private final String credential;

    /** The latest process of the node, running or not; {@code null} before the first start. */
    private Process process;

    /**
     * Creates a node without starting it.
     *
     * @param name       name of the node
     * @param ports      ports of its listeners
     * @param settings   file that contains its settings
     * @param log        file that its output is appended to
     * @param credential shared secret
     */
    NodeProcess(String name, Ports ports, Path settings, Path log, String credential) {
        this.name = name;
        this.ports = ports;
        this.settings = settings;
        this.log = log;
        this.credential = credential;
    }

    /**
     * Creates the settings of a node.
     *
     * @param upstream     upstream that the node belongs to
     * @param deployment   deployment that contains the upstream
     * @param ports        ports of the node's listeners
     * @param platformUrl  base URL of the platform
     * @param credential   shared secret
     * @param logDecisions whether the node logs its routing and admission decisions
     * @return settings as JSON
     */
    static ObjectNode createSettings(
            Deployment.Upstream upstream,
            Deployment deployment,
            Ports ports,
            String platformUrl,
            String credential,
            boolean logDecisions) {
        ObjectNode settings = Schema.mapper().createObjectNode();
        settings.put("id", upstream.name());
        settings.put("region", deployment.region());
        settings.put("failureDomain", upstream.domain());
        settings.put("host", "127.0.0.1");
        settings.put("credential", credential);
        settings.withObjectProperty("ports")
                .put("caller", ports.caller())
                .put("gate", ports.gate())
                .put("frame", ports.frame())
                .put("admin", ports.admin());
        settings.withObjectProperty("platform").put("url", platformUrl);
        settings.withObjectProperty("regionDistancesMicros").put("sameRegion", deployment.oneWayMicros());
        settings.withObjectProperty("log").put("decisions", logDecisions);
        return settings;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public Ports ports() {
        return ports;
    }

    @Override
    public String credential() {
        return credential;
    }

    @Override
    public boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void start() {
        String archive = System.getProperty(ARCHIVE_PROPERTY, "");
        boolean archiveExists = !archive.isEmpty() && Files.exists(Path.of(archive));
        start(archiveExists ? List.of("-XX:SharedArchiveFile=" + archive) : List.of());
    }

    /** Starts the process with the flag that makes it write a class data sharing archive when it exits. */
    void startWithArchiveAtExit() {
        start(List.of("-XX:ArchiveClassesAtExit=" + System.getProperty(ARCHIVE_PROPERTY)));
    }

    /**
     * Starts the process.
     *
     * @param flags JVM flags beside those of all nodes
     */
    private synchronized void start(List<String> flags) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        command.addAll(flags);
        command.addAll(List.of(System.getProperty(FLAGS_PROPERTY, "").split("\\s+")));
        command.removeIf(String::isEmpty);
        command.add("-cp");
        command.add(System.getProperty(CLASS_PATH_PROPERTY, System.getProperty("java.class.path")));
        command.add("io.mustardusher.node.Musherd");
        command.add("--config");
        command.add(settings.toString());
        try {
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public int stop(long timeoutMillis) {
        Process running = process;
        if (running == null || !running.isAlive()) {
            return 0;
        }
        running.destroy();
        try {
            if (running.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)) {
                return running.exitValue();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        kill();
        return -1;
    }

    @Override
    public void kill() {
        Process running = process;
        if (running != null) {
            running.destroyForcibly();
        }
    }

    @Override
    public void pause() {
        signal("-STOP");
    }

    @Override
    public void resume() {
        signal("-CONT");
    }

    @Override
    public long residentKilobytes() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("\\D", ""));
                }
            }
        } catch (IOException e) {
            // The process has exited and its status file is gone.
        }
        return 0;
    }

    @Override
    public long processorMillis() {
        return process.info()
                .totalCpuDuration()
                .map(java.time.Duration::toMillis)
                .orElse(0L);
    }

    /**
     * Sends a signal to the process.
     *
     * @param signal option of the {@code kill} command, such as {@code -STOP}
     */
    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
