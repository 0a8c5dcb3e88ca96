package review;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An upstream answers uploads before it has read them, without a length. The disruption: for five seconds it breaks
 * some of these answers off in the middle, with a reset.
 */
final class BrokenOffAnswer extends Case {

    private static final int UPLOAD_BYTES = 6_000_000;
    private static final double SECONDS = 5;

    /** Share of the answers that may be broken off. */
    private static final double SHARE = 0.05;

    private static final byte[] WHOLE = "0123456789abcdef".repeat(125).getBytes();
    private static final byte[] HALF = "0123456789abcdef".repeat(60).getBytes();

    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private final Map<String, String> ran = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        run(arguments, new BrokenOffAnswer());
    }

    @Override
    boolean isBroken() throws Exception {
        fleet.addMachines(new String[][] {{"side-1", "baton-rouge", "huvo11a"}, {"side-2", "hattiesburg", "wuno96b"}});
        fleet.store.put("op", "config", new Manifest()
                .service("huvo11a")
                .service("wuno96b")
                .route("/clip/", "idempotent", "huvo11a", "400ms", "3000ms")
                .route("/claim/", "non_idempotent", "huvo11a", "400ms", "3000ms")
                .text(7));
        Upstream upstream = new Upstream(fleet.machines.get(0), "i-7f3a91c2", 17, record);
        new Upstream(fleet.machines.get(1), "i-02d9e6b4", 17, record);
        upstream.behaviour = (up, exchange) -> {
            answers.incrementAndGet();
            up.answer(exchange, 200, exchange.head().method().equals("GET") ? WHOLE : "small".getBytes());
        };
        startNodes();
        awaitServed("/clip/warm", 20);
        upstream.behaviour = (Upstream.BeforeBody) this::answerEarly;
        int[] wrong = new int[1];
        Thread reader = Fleet.daemon(() -> readClips());
        long start = System.nanoTime();
        for (int number = 0; seconds(start) < SECONDS; number++) {
            Fleet.Machine machine = fleet.machines.get(number % 2);
            String id = "claim-" + number;
            try (Client client = new Client(machine)) {
                Client.Answer answer = client.send("POST", "/claim/" + number, id, 3000, new byte[UPLOAD_BYTES], false);
                boolean success = answer.status() / 100 == 2;
                boolean whole = java.util.Arrays.equals(answer.body(), WHOLE);
                wrong[0] += success && !whole ? 1 : 0;
                record.add("client on %s: %s got %s; the upstream %s", machine.name, id, answer.describe(),
                        ran.getOrDefault(id, "did not run it"));
            }
            Thread.sleep(100);
        }
        reader.join(5000);
        record.add("%d answers, %d of them broken off, %d successes without the whole body", answers.get(),
                broken.get(), wrong[0]);
        return wrong[0] > 0;
    }

    private void readClips() throws Exception {
        long start = System.nanoTime();
        try (Client client = new Client(fleet.machines.get(1))) {
            for (int number = 0; seconds(start) < SECONDS; number++) {
                Client.Answer answer = client.get("/clip/" + number, "clip-" + number, 2000);
                record.add("client on %s: clip-%d got %s", client.machine.name, number, answer.describe());
                Thread.sleep(10);
            }
        }
    }

    private static double seconds(long startNanos) {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    private void answerEarly(Upstream upstream, Upstream.Exchange exchange) throws IOException, InterruptedException {
        int number = answers.incrementAndGet();
        upstream.noteRun(exchange);
        if (exchange.head().method().equals("GET")) {
            upstream.answer(exchange, 200, WHOLE);
            return;
        }
        Upstream.write(exchange.out(), upstream.answerHead(exchange, 200) + "Connection: close\r\n\r\n");
        exchange.out().write(HALF);
        exchange.out().flush();
        boolean breakOff = trouble && broken.get() + 1 <= SHARE * number;
        if (breakOff) {
            broken.incrementAndGet();
            ran.put(exchange.id(), "broke its answer off with a reset after " + HALF.length + " of " + WHOLE.length
                    + " bytes");
            Thread.sleep(50);
            exchange.socket().setSoLinger(true, 0);
            exchange.socket().close();
            return;
        }
        Http.readBody(exchange.in(), exchange.head());
        exchange.out().write(WHOLE, HALF.length, WHOLE.length - HALF.length);
        exchange.out().flush();
        ran.put(exchange.id(), "answered whole, " + WHOLE.length + " bytes");
        exchange.socket().close();
    }
}
