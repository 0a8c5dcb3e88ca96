package io.mustardusher.lab.profile;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.Server;
import io.mustardusher.lab.cluster.NodeProcess;
import io.mustardusher.lab.cluster.Ports;

/**
 * Measures the processor time and the wake-ups of a start, of an idle node and of a call, each apart, with the flags
 * under which nodes run and a class data sharing archive.
 */
public final class NodeCostBenchmark {

    /** Time after the start of a node that counts as part of the start, in milliseconds: members find each other. */
    private static final long SETTLE_MILLIS = 3_000;

    private static final int CALLS_PER_SECOND = 50;
    private static final long ARCHIVE_MILLIS = 2_000;
    private static final long STOP_TIMEOUT_SECONDS = 10;
    private static final double PERCENT = 100;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;
    private static final int MILLIS_PER_SECOND = 1_000;

    private final int nodeCount;
    private final long phaseMillis;
    private final boolean sample;
    private final Path folder;
    private final PrintStream out;
    private final List<Process> processes = new ArrayList<>();
    private final List<Ports> ports = new ArrayList<>();
    private final ClientFactory connections = ClientFactory.builder().build();

    /**
     * Creates a benchmark.
     *
     * @param nodeCount   number of nodes
     * @param phaseMillis length of the idle phase and of the phase with calls, in milliseconds
     * @param sample      whether the first node prints where its event loop spends its time
     * @param folder      folder for the archive and the output of the nodes
     * @param out         receives the results
     */
    public NodeCostBenchmark(int nodeCount, long phaseMillis, boolean sample, Path folder, PrintStream out) {
        this.nodeCount = nodeCount;
        this.phaseMillis = phaseMillis;
        this.sample = sample;
        this.folder = folder;
        this.out = out;
    }

    /**
     * Runs the benchmark and prints its results.
     *
     * @throws IOException          if a process cannot be started
     * @throws InterruptedException if a wait is interrupted
     */
    public void run() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Path archive = folder.resolve("node.jsa").toAbsolutePath();
        Files.deleteIfExists(archive);
        Server server = startServer();
        try {
            startNodes(1, server, List.of("-XX:ArchiveClassesAtExit=" + archive));
            sendCalls(ARCHIVE_MILLIS);
            stopNodes();
            startNodes(nodeCount, server, List.of("-XX:SharedArchiveFile=" + archive));
            measure();
        } finally {
            stopNodes();
            server.stop().join();
            connections.close();
        }
    }

    private void measure() throws InterruptedException {
        Thread.sleep(SETTLE_MILLIS);
        ProcessSample started = total();
        out.printf(
                "nodes %d, resident %.1f MB each%n",
                nodeCount, started.residentBytes() / BYTES_PER_MEGABYTE / nodeCount);
        out.printf("start: %.0f ms of processor time%n", (double) started.processorMillis() / nodeCount);
        Thread.sleep(phaseMillis);
        ProcessSample idle = total().since(started);
        double seconds = (double) phaseMillis / MILLIS_PER_SECOND * nodeCount;
        out.printf(
                "idle: %.2f%% of a core, %.0f wake-ups/s%n",
                idle.processorMillis() / seconds * PERCENT / MILLIS_PER_SECOND, idle.totalWakeUps() / seconds);
        ProcessSample beforeCalls = total();
        int calls = sendCalls(phaseMillis);
        ProcessSample busy = total().since(beforeCalls);
        out.printf(
                "calls: %d answered; %.2f ms of processor time and %.1f wake-ups a call, over those of idle nodes%n",
                calls,
                (double) (busy.processorMillis() - idle.processorMillis()) / calls,
                (double) (busy.totalWakeUps() - idle.totalWakeUps()) / calls);
    }

    private Server startServer() {
        Server server = Server.builder()
                .http(new InetSocketAddress("127.0.0.1", 0))
                .serviceUnder(
                        "/",
                        (context, request) ->
                                HttpResponse.of(request.aggregate().thenApply(whole -> HttpResponse.of(HttpStatus.OK))))
                .build();
        server.start().join();
        return server;
    }

    private void startNodes(int count, Server server, List<String> flags) throws IOException {
        ports.clear();
        for (int i = 0; i < count; i++) {
            ports.add(Ports.findFree());
        }
        for (int i = 0; i < count; i++) {
            List<String> command = new ArrayList<>();
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            command.addAll(NodeProcess.JVM_FLAGS);
            command.addAll(flags);
            if (sample && i == 0) {
                command.add("-D" + ProfiledNode.SAMPLE_PROPERTY + "=true");
            }
            command.addAll(List.of("-cp", System.getProperty("java.class.path"), ProfiledNode.class.getName()));
            command.add(Integer.toString(i));
            command.add(Integer.toString(server.activeLocalPort()));
            ports.forEach(node -> List.of(node.caller(), node.gate(), node.frame(), node.admin())
                    .forEach(port -> command.add(Integer.toString(port))));
            processes.add(new ProcessBuilder(command)
                    .redirectError(folder.resolve("node-" + i + ".err").toFile())
                    .start());
        }
        processes.forEach(NodeCostBenchmark::awaitReady);
    }

    private static void awaitReady(Process process) {
        BufferedReader output = process.inputReader();
        try {
            String line = output.readLine();
            while (line != null && !line.equals(ProfiledNode.READY)) {
                line = output.readLine();
            }
            if (line == null) {
                throw new IllegalStateException("a node ended before it was ready");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        // The rest of the output is read, so that the node never waits for a full pipe.
        Thread reader = new Thread(() -> discard(output), "profile-output");
        reader.setDaemon(true);
        reader.start();
    }

    private static void discard(BufferedReader output) {
        try {
            output.transferTo(Writer.nullWriter());
        } catch (IOException e) {
            // The stream is closed when the node has ended.
        }
    }

    private void stopNodes() throws InterruptedException {
        processes.forEach(Process::destroy);
        for (Process process : processes) {
            if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        }
        processes.clear();
    }

    // Sends calls at a fixed rate to all nodes in turn and returns the number of those that were answered.
    private int sendCalls(long millis) throws InterruptedException {
        List<WebClient> clients = ports.stream()
                .map(node -> WebClient.builder("h1c://127.0.0.1:" + node.caller())
                        .factory(connections)
                        .build())
                .toList();
        AtomicInteger answered = new AtomicInteger();
        List<CompletableFuture<?>> calls = new ArrayList<>();
        long count = millis * CALLS_PER_SECOND * ports.size() / MILLIS_PER_SECOND;
        long gapNanos = TimeUnit.SECONDS.toNanos(1) / (CALLS_PER_SECOND * (long) ports.size());
        long next = System.nanoTime();
        for (int i = 0; i < count; i++) {
            RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/call/" + i)
                    .authority(LoopbackEnvironment.SERVICE)
                    .build();
            calls.add(clients.get(i % clients.size())
                    .execute(HttpRequest.of(headers))
                    .aggregate()
                    .handle((answer, failure) ->
                            failure == null && answer.status().equals(HttpStatus.OK) ? answered.incrementAndGet() : 0));
            next += gapNanos;
            TimeUnit.NANOSECONDS.sleep(next - System.nanoTime());
        }
        CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0])).join();
        return answered.get();
    }

    private ProcessSample total() {
        return processes.stream()
                .map(process -> ProcessSample.of(process.toHandle()))
                .reduce(ProcessSample.NONE, ProcessSample::plus);
    }
}
