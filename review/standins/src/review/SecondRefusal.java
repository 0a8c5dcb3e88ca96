package review;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two upstreams reject a part of the requests without running them. The disruption: one of them sends a second answer
 * to a few of its requests, late, where the next response on the connection is expected.
 */
final class SecondRefusal extends Case {

    /** Share of the requests that are rejected, and of the answers that are sent twice. */
    private static final double SHED_SHARE = 0.4;

    private static final double EXTRA_SHARE = 0.03;

    /** Length of the time with second answers, in seconds. */
    private static final double SECONDS = 5;

    private static final int CLIENTS = 12;

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<Object, Deque<Runnable>> held = new ConcurrentHashMap<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger extras = new AtomicInteger();
    private final Random random = new Random(17);
    private volatile long startNanos;

    public static void main(String[] arguments) {
        run(arguments, new SecondRefusal());
    }

    @Override
    boolean isBroken() throws Exception {
        fleet.addMachines(new String[][] {
            {"side-1", "baton-rouge", "wuno96b"}, {"side-2", "hattiesburg", "wuno96b"},
            {"side-3", "mobile-bay", "huvo11a"}
        });
        fleet.store.put("op", "config", new Manifest()
                .service("huvo11a")
                .service("wuno96b")
                .route("/claim/", "non_idempotent", "wuno96b", "400ms", "1500ms")
                .text(7));
        for (int i = 0; i < 2; i++) {
            serve(new Upstream(fleet.machines.get(i), "i-7f3a91c" + i, 17, record), i == 0);
        }
        new Upstream(fleet.machines.get(2), "i-02d9e6b4", 17, record);
        startNodes();
        awaitServed("/claim/warm", 20);
        Map<String, Client.Answer> outcomes = new ConcurrentHashMap<>();
        startNanos = System.nanoTime();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Fleet.daemon(() -> claim(number, outcomes)));
        }
        for (Thread client : clients) {
            client.join(15_000);
        }
        Thread.sleep(2000);
        int twice = 0;
        int refused = 0;
        for (Map.Entry<String, Client.Answer> outcome : outcomes.entrySet()) {
            int ran = runs.getOrDefault(outcome.getKey(), 0);
            boolean promise = List.of(408, 421, 429, 503).contains(outcome.getValue().status());
            twice += ran > 1 ? 1 : 0;
            refused += promise && ran > 0 ? 1 : 0;
            if (ran > 1 || promise && ran > 0) {
                record.add("%s got %s and ran %d times", outcome.getKey(), outcome.getValue().describe(), ran);
            }
        }
        record.add("%d requests, %d answers of the faulty upstream, %d of them sent twice", outcomes.size(), answers.get(),
                extras.get());
        record.add("%d requests ran twice, %d were told that they have not run though they have", twice, refused);
        return refused > 0 || twice > 0;
    }

    private void claim(int client, Map<String, Client.Answer> outcomes) throws Exception {
        Fleet.Machine machine = fleet.machines.get(client % fleet.machines.size());
        for (int number = 0; (System.nanoTime() - startNanos) / 1e9 < SECONDS; number++) {
            try (Client connection = new Client(machine)) {
                String id = "claim-" + client + "-" + number;
                outcomes.put(id, connection.send("POST", "/claim/" + id, id, 1500, new byte[4000], false));
            } catch (IOException e) {
                record.add("client %d: %s", client, e);
            }
            Thread.sleep(20);
        }
    }

    private void serve(Upstream upstream, boolean sendsTwice) {
        upstream.behaviour = (up, exchange) -> {
            boolean started = startNanos != 0;
            boolean shed = false;
            boolean extra = false;
            synchronized (random) {
                shed = started && random.nextDouble() < SHED_SHARE;
                int count = started && sendsTwice ? answers.incrementAndGet() : 0;
                extra = trouble && sendsTwice && shed && extras.get() + 1 <= EXTRA_SHARE * count;
                if (extra) {
                    extras.incrementAndGet();
                }
            }
            Object connection = exchange.socket();
            Deque<Runnable> late = held.computeIfAbsent(connection, key -> new ArrayDeque<>());
            if (shed) {
                String refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                Upstream.write(exchange.out(), refusal);
                if (extra) {
                    record.add("%s rejects %s; a second answer follows late", up.id, exchange.id());
                    late.add(() -> writeLate(exchange, refusal));
                }
                return;
            }
            runs.merge(exchange.id(), 1, Integer::sum);
            if (!late.isEmpty()) {
                record.add("%s runs %s; the second answer to an earlier request arrives now", up.id, exchange.id());
                late.poll().run();
            }
            Thread.sleep(started ? 60 : 5);
            up.answer(exchange, 200, "done".getBytes());
        };
    }

    private static void writeLate(Upstream.Exchange exchange, String refusal) {
        try {
            Upstream.write(exchange.out(), refusal);
        } catch (IOException e) {
            // The node has closed the connection.
        }
    }
}
