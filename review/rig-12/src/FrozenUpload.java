import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** A node freezes while its clients upload long bodies of requests that must not be repeated. */
final class FrozenUpload {

    private static final int BODY_BYTES = 4 << 20;

    private static final int PIECE_BYTES = 64 << 10;

    /** Pause between two pieces: an upload takes about 0.7 s. */
    private static final int PIECE_MILLIS = 10;

    private static final int CLIENTS = 2;

    private static final int TIMEOUT_MILLIS = 1_500;

    private static final int CLIENT_LIMIT_MILLIS = 5_000;

    private static final int FREEZES = 5;

    /** Shorter than the freezes of the site files, which last 4 s. */
    private static final int FREEZE_MILLIS = 2_500;

    private FrozenUpload() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, FrozenUpload::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Store store = new Store(rig);
        store.put("op", "config", new Manifest(3, "front", "till")
                .route("/pay/", "non_idempotent", "till", TIMEOUT_MILLIS)
                .route("/front/", "idempotent", "front", TIMEOUT_MILLIS)
                .text());
        List<Machine> machines = new ArrayList<>();
        List<Upstream> upstreams = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            String service = number == 1 ? "front" : "till";
            Machine machine = new Machine(rig, number, List.of("a", "b", "c").get(number - 1), service, store.address());
            machines.add(machine);
            machine.startNode(true);
            upstreams.add(new Upstream(rig, machine, "i-00000" + number, 9));
        }
        for (Machine machine : machines) {
            rig.await(machine.name + " ready", 20, machine::isReady);
        }
        Thread.sleep(4_000);
        Machine entry = machines.get(0);
        Map<String, Integer> statuses = new ConcurrentHashMap<>();
        for (int client = 0; client < CLIENTS; client++) {
            String name = "client-" + client;
            Thread.sleep(350);
            rig.run(name, () -> {
                for (int i = 0; true; i++) {
                    String attempt = name + "-" + i;
                    int status = upload(rig, entry, attempt);
                    statuses.put(attempt, status);
                    Thread.sleep(100);
                }
            });
        }
        Thread.sleep(3_000);
        rig.await("a served upload", 5, () -> statuses.containsValue(200));
        for (int freeze = 0; freeze < FREEZES; freeze++) {
            // Each at another moment of the uploads.
            Thread.sleep(4_000 + 130L * freeze);
            if (trouble) {
                entry.signal("STOP");
                Thread.sleep(FREEZE_MILLIS);
                entry.signal("CONT");
            }
        }
        Thread.sleep(4_000);
        Set<String> ran = upstreams.stream()
                .flatMap(upstream -> upstream.runs.stream())
                .map(Upstream.Run::attempt)
                .collect(Collectors.toSet());
        Upstream.recordRuns(rig, upstreams);
        Map<Integer, Integer> counts = new TreeMap<>();
        statuses.values().forEach(status -> counts.merge(status, 1, Integer::sum));
        rig.record("answers by status (0: none): " + counts + ", requests run: " + ran.size());
        List<String> broken = statuses.entrySet().stream()
                .filter(answer -> Set.of(408, 421, 429, 503).contains(answer.getValue()) && ran.contains(answer.getKey()))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        broken.forEach(attempt -> rig.record(
                attempt + " was answered " + statuses.get(attempt) + " (not run) and has run"));
        if (counts.getOrDefault(200, 0) < 10) {
            throw new Rig.NotRun("fewer than ten requests were served");
        }
        return broken.isEmpty();
    }

    private static int upload(Rig rig, Machine entry, String attempt) {
        int[] status = {0};
        String note = "";
        double sent = rig.seconds();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, entry.outboundPort()), 1_000);
            socket.setSoTimeout(CLIENT_LIMIT_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write(("POST /pay/" + attempt + " HTTP/1.1\r\nHost: " + Manifest.HOST + "\r\nX-Attempt-Id: " + attempt
                            + "\r\nX-Timeout-Ms: " + CLIENT_LIMIT_MILLIS + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            Thread writer = new Thread(() -> {
                try {
                    for (int at = 0; at < BODY_BYTES; at += PIECE_BYTES) {
                        out.write(new byte[PIECE_BYTES]);
                        Thread.sleep(PIECE_MILLIS);
                    }
                } catch (IOException | InterruptedException e) {
                    // The node has answered before the end of the body.
                }
            });
            writer.setDaemon(true);
            writer.start();
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
            status[0] = answer == null ? 0 : answer.status();
            note = answer == null ? "closed" : answer.header("retry-after").isEmpty() ? "" : "Retry-After " + answer.header("retry-after");
        } catch (IOException e) {
            note = String.valueOf(e);
        }
        rig.record(String.format("%s sent at %.3f -> %d %s", attempt, sent, status[0], note));
        return status[0];
    }
}
