package review;

import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Clients send bodies of 100 kB, with a length or, as the disruption, in chunks. The paths have escapes. */
final class RewrittenPath extends Case {

    private static final int BODY_BYTES = 100_000;

    private static final String[] PATHS = {
        "/clip/%41bend", "/clip/n%7Eacht", "/clip/caf%c3%a9", "/clip/a%2fb", "/clip/day?station=%c3%a4", "/clip/plain"
    };

    private final Map<String, Queue<String>> ran = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        run(arguments, new RewrittenPath());
    }

    @Override
    boolean isBroken() throws Exception {
        fleet.addMachines(new String[][] {{"side-1", "baton-rouge", "huvo11a"}, {"side-2", "hattiesburg", "wuno96b"}});
        fleet.store.put("op", "config", new Manifest()
                .service("huvo11a")
                .service("wuno96b")
                .route("/clip/", "idempotent", "huvo11a", "800ms", "3000ms")
                .text(7));
        Upstream upstream = new Upstream(fleet.machines.get(0), "i-7f3a91c2", 17, record);
        new Upstream(fleet.machines.get(1), "i-02d9e6b4", 17, record);
        upstream.behaviour = (up, exchange) -> {
            String line = exchange.head().method() + " " + exchange.head().path();
            ran.computeIfAbsent(exchange.id(), id -> new ConcurrentLinkedQueue<>()).add(line);
            up.answer(exchange, 200, "done".getBytes());
        };
        startNodes();
        awaitServed("/clip/warm", 20);
        int wrong = 0;
        for (int number = 0; number < 4 * PATHS.length; number++) {
            Fleet.Machine machine = fleet.machines.get(1);
            String path = PATHS[number % PATHS.length];
            String id = "upload-" + number;
            try (Client client = new Client(machine)) {
                Client.Answer answer = client.send("POST", path, id, 3000, new byte[BODY_BYTES], trouble);
                Queue<String> lines = ran.getOrDefault(id, new ConcurrentLinkedQueue<>());
                boolean changed = lines.stream().anyMatch(line -> !line.equals("POST " + path));
                wrong += changed ? 1 : 0;
                record.add("client on %s: %s sent POST %s, got %s; the upstream ran %s%s", machine.name, id, path,
                        answer.describe(), lines, changed ? ", another path" : "");
            }
            Thread.sleep(150);
        }
        record.add("%d requests ran with another path than the client's", wrong);
        return wrong > 0;
    }
}
