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

/** A node as a process of its own. */
public final class NodeProcess implements NodeHandle {

    /**
     * Flags of the virtual machine: those of {@code bin/musherd}, but with the first compiler only, because a
     * deployment of many nodes shares this machine.
     */
    public static final List<String> JVM_FLAGS = List.of(
            "-Xmx64m",
            "-Xss512k",
            "-XX:+UseSerialGC",
            "-XX:MaxDirectMemorySize=48m",
            "-XX:ReservedCodeCacheSize=48m",
            "-XX:TieredStopAtLevel=1",
            "-Dio.netty.allocator.numDirectArenas=2",
            "-Dio.netty.allocator.numHeapArenas=1",
            "-Dcom.linecorp.armeria.transportType=epoll",
            "-Dlogback.statusListenerClass=ch.qos.logback.core.status.NopStatusListener",
            "-Dorg.jboss.logging.provider=slf4j");

    /** System property with the class path of nodes. */
    private static final String CLASS_PATH_PROPERTY = "mustardusher.node.classPath";

    /** System property with the archive of loaded classes that nodes start from. */
    private static final String ARCHIVE_PROPERTY = "mustardusher.node.archive";

    /** System property with further flags of the nodes' virtual machines. */
    private static final String FLAGS_PROPERTY = "mustardusher.node.flags";

    /** Name of the node. */
    private final String name;

    private final Ports ports;

    /** Its settings file. */
    private final Path settings;

    /** Its log file. */
    private final Path log;

    /** Shared secret. */
    private final String credential;

    /** The process; {@code null} before the start. */
    private Process process;

    /**
     * Creates a node that is not started.
     *
     * @param name       name of the node
     * @param ports      its ports
     * @param settings   its settings file
     * @param log        its log file
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
     * Writes the settings of a node.
     *
     * @param upstream    the upstream beside which it runs
     * @param deployment  the deployment
     * @param ports       its ports
     * @param platformUrl base URL of the platform
     * @param credential  shared secret
     * @param decisions   whether decisions are logged
     * @return the settings
     */
    static ObjectNode settings(
            Deployment.Upstream upstream,
            Deployment deployment,
            Ports ports,
            String platformUrl,
            String credential,
            boolean decisions) {
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
        settings.withObjectProperty("log").put("decisions", decisions);
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
        boolean present = !archive.isEmpty() && Files.exists(Path.of(archive));
        start(present ? List.of("-XX:SharedArchiveFile=" + archive) : List.of());
    }

    /** Starts the process so that it writes the archive of loaded classes when it ends. */
    void startForArchive() {
        start(List.of("-XX:ArchiveClassesAtExit=" + System.getProperty(ARCHIVE_PROPERTY)));
    }

    /**
     * Starts the process.
     *
     * @param flags further flags of the virtual machine
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
    public int stop(long limitMillis) {
        Process running = process;
        if (running == null || !running.isAlive()) {
            return 0;
        }
        running.destroy();
        try {
            if (running.waitFor(limitMillis, TimeUnit.MILLISECONDS)) {
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
            // the process has ended
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
     * @param signal the signal
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
