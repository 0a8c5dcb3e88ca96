package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients upload at a steady rate, and others read over kept connections. The disruption: a node freezes for some
 * seconds and wakes again.
 */
final class FrozenNode extends Case {

    private static final int UPLOAD_BYTES = 6 << 20;
    private static final double UPLOADS_PER_SECOND = 12;
    private static final long WORK_MILLIS = 150;
    private static final double UPLOAD_SECONDS = 0.1;
    private static final int CAPACITY = 17;

    /** Start and length of the freeze, in seconds. */
    private static final double FREEZE_START = 6;

    private static final double FREEZE_SECONDS = 4;

    /** Time after a disruption after which a machine is in touch again. */
    private static final double TOUCH_SECONDS = 3;

    private static final double TRAFFIC_SECONDS = 30;
    private static final int READERS_PER_MACHINE = 2;

    /** Timeout of the routes; clients wait longer. */
    private static final int TIMEOUT_MILLIS = 4000;

    private static final int CLIENT_MILLIS = 8000;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private final long[] start = new long[1];

    /** What a client saw of a request. */
    private record Outcome(String id, boolean upload, double sent, double millis, Client.Answer answer, int ran) {}

    public static void main(String[] arguments) {
        run(arguments, new FrozenNode());
    }

    @Override
    boolean isBroken() throws Exception {
        fleet.addMachines(new String[][] {
            {"side-1", "baton-rouge", "huvo11a"}, {"side-2", "hattiesburg", "wuno96b"},
            {"side-3", "mobile-bay", "wuno96b"}
        });
        fleet.store.put("op", "config", new Manifest()
                .service("huvo11a")
                .service("wuno96b")
                .route("/clip/", "idempotent", "huvo11a", "2000ms", TIMEOUT_MILLIS + "ms")
                .route("/claim/", "non_idempotent", "huvo11a", "2000ms", TIMEOUT_MILLIS + "ms")
                .text(7));
        for (Fleet.Machine machine : fleet.machines) {
            serve(new Upstream(machine, "i-7f3a91c" + machine.name.charAt(5), CAPACITY, record));
        }
        startNodes();
        awaitServed("/clip/warm", 20);
        start[0] = System.nanoTime();
        for (int reader = 0; reader < READERS_PER_MACHINE * fleet.machines.size(); reader++) {
            int number = reader;
            Fleet.daemon(() -> read(fleet.machines.get(number % fleet.machines.size()), number));
        }
        Fleet.daemon(this::freeze);
        upload();
        Thread.sleep(CLIENT_MILLIS + 3500);
        return judge();
    }

    private void freeze() throws Exception {
        Fleet.Machine machine = fleet.machines.get(0);
        if (trouble) {
            Thread.sleep((long) (FREEZE_START * 1000));
            fleet.signal(machine, "STOP");
            Thread.sleep((long) (FREEZE_SECONDS * 1000));
            fleet.signal(machine, "CONT");
        }
    }

    private double now() {
        return (System.nanoTime() - start[0]) / 1e9;
    }

    /** An upstream that runs 17 requests at a time, queues twice as many, and rejects more as not executed. */
    private void serve(Upstream upstream) {
        Semaphore slots = new Semaphore(CAPACITY, true);
        upstream.behaviour = (up, exchange) -> {
            if (up.running.get() > 3 * CAPACITY) {
                up.refuse(exchange);
                return;
            }
            slots.acquire();
            try {
                runs.computeIfAbsent(exchange.id(), id -> new AtomicInteger()).incrementAndGet();
                Thread.sleep(exchange.id().startsWith("claim") ? WORK_MILLIS : 50);
            } finally {
                slots.release();
            }
            up.answer(exchange, 200, "done".getBytes());
        };
    }

    private void upload() throws InterruptedException {
        ExecutorService pool = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        double next = 0;
        for (int number = 0; next < TRAFFIC_SECONDS; number++) {
            next += 1 / UPLOADS_PER_SECOND;
            Thread.sleep((long) Math.max(0, (next - now()) * 1000));
            Fleet.Machine machine = fleet.machines.get(number % fleet.machines.size());
            String id = "claim-" + number;
            pool.execute(() -> {
                try (Client client = new Client(machine)) {
                    client.bytesPerSecond = UPLOAD_BYTES / UPLOAD_SECONDS;
                    send(client, id, true);
                } catch (IOException e) {
                    record.add("%s: %s", id, e);
                }
            });
        }
    }

    private void read(Fleet.Machine machine, int reader) throws Exception {
        for (int number = 0; now() < TRAFFIC_SECONDS; ) {
            try (Client client = new Client(machine)) {
                while (now() < TRAFFIC_SECONDS) {
                    Client.Answer answer = send(client, "clip-" + reader + "-" + number++, false);
                    Thread.sleep(200);
                    if (answer.status() <= 0 || "close".equalsIgnoreCase(answer.head().field("Connection"))) {
                        break;
                    }
                }
            }
        }
    }

    private Client.Answer send(Client client, String id, boolean upload) {
        double sent = now();
        Client.Answer answer = upload
                ? client.send("POST", "/claim/" + id, id, CLIENT_MILLIS, new byte[UPLOAD_BYTES], false)
                : client.get("/clip/" + id, id, CLIENT_MILLIS);
        double millis = (now() - sent) * 1000;
        int ran = runs.containsKey(id) ? runs.get(id).get() : 0;
        record.add("client on %s: %s sent at %.3f got %s after %.0f ms, ran %d times", client.machine.name, id, sent,
                answer.describe(), millis, ran);
        synchronized (outcomes) {
            outcomes.add(new Outcome(id, upload, sent, millis, answer, ran));
        }
        return answer;
    }

    private boolean judge() {
        double inTouch = FREEZE_START + FREEZE_SECONDS + TOUCH_SECONDS;
        int late = 0;
        int unanswered = 0;
        int served = 0;
        int sent = 0;
        synchronized (outcomes) {
            for (Outcome outcome : outcomes) {
                if (outcome.sent < inTouch) {
                    continue;
                }
                sent++;
                served += outcome.answer.status() == 200 ? 1 : 0;
                boolean closed = outcome.answer.status() == 0;
                late += !closed && outcome.millis > TIMEOUT_MILLIS ? 1 : 0;
                unanswered += !closed && outcome.millis > TIMEOUT_MILLIS + 500 ? 1 : 0;
            }
        }
        record.add("requests sent later than %.0f s after the freeze: %d of %d served", TOUCH_SECONDS, served, sent);
        record.add("%d of them had no answer at the timeout of their route, %d none half a second later", late,
                unanswered);
        return 2 * unanswered > late;
    }
}
