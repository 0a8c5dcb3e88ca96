import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts nodes and stand-ins on loopback addresses, keeps the record, and ends all processes. */
final class Rig {

    /** Exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private final Path root;
    private final Path folder;
    private final Path recordFile;
    private final List<String> lines = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final long startNanos = System.nanoTime();
    private final int subnet;
    private final int basePort;

    interface Task {
        void run() throws Exception;
    }

    /** A case: returns whether the rule held. */
    interface Case {
        boolean run(Rig rig, boolean trouble) throws Exception;
    }

    /** Signals that a case could not judge anything. */
    static final class NotRun extends Exception {

        private static final long serialVersionUID = 1L;

        NotRun(String reason) {
            super(reason);
        }
    }

    private Rig(Path recordFile) throws IOException {
        this.root = Path.of("").toAbsolutePath();
        this.recordFile = recordFile;
        this.folder = Files.createTempDirectory("review");
        long pid = ProcessHandle.current().pid();
        this.subnet = (int) (pid % 250) + 1;
        this.basePort = freeRange("127.9." + subnet + ".1", 20_000 + (int) (pid % 400) * 30);
    }

    static void main(String[] args, Case reviewed) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Rig rig;
        try {
            rig = new Rig(Path.of(args[0]));
        } catch (IOException e) {
            e.printStackTrace();
            System.exit(NOT_RUN);
            return;
        }
        int code = NOT_RUN;
        Thread end = new Thread(rig::endProcesses);
        Runtime.getRuntime().addShutdownHook(end);
        rig.run("time limit", () -> {
            Thread.sleep(112_000);
            rig.record("not finished within the time limit");
            rig.finish(NOT_RUN);
        });
        try {
            code = reviewed.run(rig, trouble) ? HELD : BROKEN;
        } catch (NotRun e) {
            rig.record("not run: " + e.getMessage());
        } catch (Exception | Error e) {
            rig.record("not run: " + e);
            e.printStackTrace();
        }
        rig.finish(code);
    }

    private synchronized void finish(int code) throws IOException {
        record("exit " + code + (code == HELD ? ": the rule held" : code == BROKEN ? ": the rule was broken" : ""));
        synchronized (lines) {
            Files.write(recordFile, lines);
        }
        endProcesses();
        deleteFolder();
        Runtime.getRuntime().halt(code);
    }

    private void deleteFolder() {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            System.err.println("cannot delete " + folder + ": " + e);
        }
    }

    private static int freeRange(String ip, int from) throws IOException {
        for (int base = from; base < 60_000; base += 30) {
            boolean free = true;
            for (int port = base; port < base + 30 && free; port++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(ip, port));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    Path root() {
        return root;
    }

    Path folder() {
        return folder;
    }

    int subnet() {
        return subnet;
    }

    int basePort() {
        return basePort;
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    String runCommand() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        return matcher.group(1);
    }

    void record(String line) {
        String timed = String.format(Locale.ROOT, "%8.3f %s", seconds(), line);
        synchronized (lines) {
            lines.add(timed);
        }
        if (System.getenv("VERBOSE") != null) {
            System.out.println(timed);
        }
    }

    void run(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The other side has closed the connection.
                    } catch (Exception e) {
                        record(name + ": " + e);
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
    }

    void own(Process process) {
        synchronized (processes) {
            processes.add(process);
        }
    }

    void await(String what, double seconds, BooleanSupplier condition) throws NotRun, InterruptedException {
        double end = seconds() + seconds;
        while (!condition.getAsBoolean()) {
            if (seconds() > end) {
                throw new NotRun(what + " did not happen within " + seconds + " s");
            }
            Thread.sleep(50);
        }
    }

    private void endProcesses() {
        synchronized (processes) {
            for (Process process : processes) {
                process.destroyForcibly();
            }
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }
}
