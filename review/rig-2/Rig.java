import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, upstreams and nodes. */
final class Rig {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Work that may fail; a failure ends its thread. */
    interface Task {
        void run() throws Exception;
    }

    /** A case; returns the exit status. */
    interface Case {
        int run(Rig rig) throws Exception;
    }

    final Path root;
    final Path temp;
    final String run;
    final Store store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Node> nodes = new ArrayList<>();
    final List<Upstream> upstreams = new ArrayList<>();

    /** Further bounds of the settings, beginning with a comma. */
    String bounds = "";

    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final int network = 1 + new Random().nextInt(250);

    private Rig(Path folder) throws IOException {
        root = folder.toAbsolutePath().getParent().getParent();
        temp = Files.createTempDirectory("musherd-review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        Matcher command = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!command.find()) {
            throw new IOException("the deploy file has no run command");
        }
        run = command.group(1);
        store = new Store("127.77." + network + ".250");
    }

    /** Runs a case in the folder that the first argument names, and ends the process with its exit status. */
    static void main(String[] arguments, Case body) {
        int status = NOT_RUN;
        Rig rig = null;
        try {
            rig = new Rig(Path.of(arguments[0]));
            Rig started = rig;
            Runtime.getRuntime().addShutdownHook(new Thread(() -> started.nodes.forEach(Node::end)));
            thread("limit", () -> {
                Thread.sleep(115_000);
                started.record("the case took too long");
                started.nodes.forEach(Node::end);
                Runtime.getRuntime().halt(NOT_RUN);
            });
            rig.record("trouble " + (rig.trouble ? "on" : "off"));
            status = body.run(rig);
        } catch (Exception e) {
            e.printStackTrace();
            if (rig != null) {
                rig.record("could not run: " + e);
            }
        }
        if (rig != null) {
            rig.finish(status);
        }
        System.exit(status);
    }

    private void finish(int status) {
        nodes.forEach(Node::end);
        String result = status == HELD ? "the rule held" : status == BROKEN ? "the rule was broken" : "not run";
        record("exit " + status + ": " + result);
        if (System.getenv("KEEP") != null) {
            System.err.println("logs in " + temp);
            return;
        }
        try (Stream<Path> files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void record(String line) {
        String stamped = String.format("%7.3f %s", now() / 1000.0, line);
        record.println(stamped);
        System.out.println(stamped);
    }

    /** Adds a machine: a node that is not started, and its upstream, which checks in from now on. */
    Node addMachine(String service, int slots) throws IOException {
        int number = nodes.size() + 1;
        String ip = "127.77." + network + "." + number;
        String zone = List.of("baton-rouge", "hattiesburg", "mobile-bay").get(number % 3);
        Node node = new Node(this, "sidecar-" + zone + "-" + number, ip, zone, service, freePorts(ip));
        nodes.add(node);
        upstreams.add(new Upstream(
                this, "i-" + number, service, zone, ip, node.applicationPort(), node.control(), slots));
        return node;
    }

    private static int freePorts(String ip) throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 100; attempt++) {
            int base = 20_000 + random.nextInt(300) * 40;
            boolean free = true;
            for (int port : new int[] {base, base + 1, base + 2, base + 4, base + 6, base + 20, base + 21}) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
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

    void startAll() throws IOException {
        for (Node node : nodes) {
            node.start();
        }
    }

    /** Waits until all nodes are ready and know one another. */
    void awaitReady() throws Exception {
        long end = now() + 30_000;
        for (Node node : nodes) {
            while (!node.isReady()) {
                if (now() > end) {
                    throw new IOException(node.id + " is not ready");
                }
                Thread.sleep(50);
            }
        }
        Thread.sleep(4_000);
        record("all nodes are ready");
    }

    /** Writes a line for each request: when and where it was sent, how it was answered, and where it ran. */
    void recordRequests(java.util.Map<String, String> sent, java.util.Map<String, String> answered) {
        java.util.Map<String, String> runs = new java.util.HashMap<>();
        for (Upstream upstream : upstreams) {
            for (Upstream.Arrival arrival : upstream.arrivals) {
                runs.merge(arrival.id(), arrival.upstream() + " at " + arrival.atMillis(), (a, b) -> a + " and " + b);
            }
        }
        new java.util.TreeMap<>(sent).forEach((id, how) -> record.println(id + " sent " + how + ", answered "
                + answered.getOrDefault(id, "-") + ", ran " + runs.getOrDefault(id, "-")));
        record.flush();
    }

    static Thread thread(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // Ends with its connection or its stand-in.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
