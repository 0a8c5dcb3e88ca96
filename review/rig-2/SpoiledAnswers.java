import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** Load on a service of three upstreams, one of which spoils a small part of its answers for some seconds. */
final class SpoiledAnswers {

    private static final String HOST = "files.example";
    private static final int PER_SECOND = 240;
    private static final long CALM_MILLIS = 2_000;
    private static final long SPOILED_MILLIS = 5_000;
    /** Every fiftieth answer is spoiled, a share of 0.02. */
    private static final int SPOILED_EVERY = 50;
    private static final long WORK_MILLIS = 90;
    static final int BODY_BYTES = 300;
    private static final int TIME_LIMIT_MILLIS = 2_500;
    private static final long SEED = 8;

    private SpoiledAnswers() {}

    /** Makes the writes of a spoiled answer. */
    interface Spoiler {
        List<byte[]> spoil(String id, Random random);
    }

    /** Runs the load; returns the exit status of the case. */
    static int run(Rig rig, Spoiler spoiler) throws Exception {
        Node front = rig.addMachine("clipserve", 17);
        rig.addMachine("vault", 17);
        rig.addMachine("vault", 17);
        rig.addMachine("vault", 17);
        Random random = new Random(SEED);
        AtomicInteger answersWhileDue = new AtomicInteger();
        Map<String, String> spoiled = new ConcurrentHashMap<>();
        for (Upstream upstream : rig.upstreams) {
            upstream.work = request -> WORK_MILLIS;
            upstream.content = request -> body(request.header("x-attempt-id"));
        }
        rig.store.put(
                "op",
                "config",
                Manifest.text(
                        3,
                        HOST,
                        List.of(Manifest.rule("r-pull", "idempotent", "/archive/", "vault", 600, 2_500, 2)),
                        List.of("clipserve", "vault")));
        rig.startAll();
        rig.awaitReady();
        long start = rig.now();
        AtomicReference<Upstream> spoiling = new AtomicReference<>();
        for (Upstream upstream : rig.upstreams) {
            upstream.spoiled = request -> {
                long at = rig.now() - start - CALM_MILLIS;
                boolean due = rig.trouble && at > 0 && at < SPOILED_MILLIS;
                if (!due) {
                    return List.of();
                }
                // The upstream that had most of the requests until then.
                spoiling.compareAndSet(null, busiest(rig));
                synchronized (random) {
                    if (upstream != spoiling.get() || answersWhileDue.incrementAndGet() % SPOILED_EVERY != 0) {
                        return List.of();
                    }
                    String id = request.header("x-attempt-id");
                    List<byte[]> writes = spoiler.spoil(id, random);
                    String text = String.join("|", writes.stream().map(String::new).toList());
                    spoiled.put(id, text.replace("\r", "\\r").replace("\n", "\\n"));
                    return writes;
                }
            };
        }
        Map<String, String> sent = new ConcurrentHashMap<>();
        Map<String, String> answered = new ConcurrentHashMap<>();
        Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
        AtomicInteger wrong = new AtomicInteger();
        ExecutorService clients = Executors.newCachedThreadPool();
        int count = (int) (PER_SECOND * (2 * CALM_MILLIS + SPOILED_MILLIS) / 1_000);
        for (int i = 0; i < count; i++) {
            long due = start + i * 1_000L / PER_SECOND;
            Thread.sleep(Math.max(0, due - rig.now()));
            String id = String.format("%016x", i + 1);
            clients.execute(() -> {
                sent.put(id, "at " + rig.now() + " GET /archive/" + id);
                String answer = Client.call(
                        front.outbound(),
                        Http.ascii(Client.head("GET", "/archive/" + id, HOST, id, TIME_LIMIT_MILLIS, "")),
                        TIME_LIMIT_MILLIS + 1_000);
                answered.put(id, answer.substring(0, 4) + "at " + rig.now());
                boolean success = answer.startsWith("200 ");
                if (success && !answer.equals("200 " + new String(body(id)))) {
                    wrong.incrementAndGet();
                    rig.record("wrong answer to " + id + ": " + answer.replace("\r", "\\r").replace("\n", "\\n"));
                    rig.record("    the upstream wrote: " + spoiled.getOrDefault(id, "a sound answer"));
                }
                answers.computeIfAbsent(answer.substring(0, 4), key -> new AtomicInteger()).incrementAndGet();
            });
        }
        Thread.sleep(TIME_LIMIT_MILLIS + 1_000);
        rig.recordRequests(sent, answered);
        int ran = rig.upstreams.stream().mapToInt(upstream -> upstream.arrivals.size()).sum();
        rig.record(count + " requests sent, " + ran + " runs, " + spoiled.size() + " answers spoiled; answers "
                + new TreeMap<>(answers) + ", " + wrong + " successes with a body that is not the upstream's");
        if (ran == 0) {
            return Rig.NOT_RUN;
        }
        return wrong.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static Upstream busiest(Rig rig) {
        return rig.upstreams.stream()
                .max(Comparator.comparingInt(upstream -> upstream.arrivals.size()))
                .orElseThrow();
    }

    /** Body of the answer to a request. */
    static byte[] body(String id) {
        return Http.ascii(("answer to " + id + " ").repeat(BODY_BYTES).substring(0, BODY_BYTES));
    }
}
