import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** The store loses the answers that tell the nodes of a change of the manifest. */
final class LostChange {

    private static final double TOUCH_S = 3.0;

    private static final double CONFIG_S = 2.0;

    /** Length of the disruption, from the change on. */
    private static final double LOSS_S = 1.0;

    /** Changes before, as in the storms of the site files: one each third of a second for 4 s. */
    private static final int CHANGES = 12;

    private static final int GAP_MILLIS = 330;

    private static final double WATCHED_S = 25.0;

    private static final int TIMEOUT_MILLIS = 1_500;

    private LostChange() {}

    private record Sent(String attempt, double second) {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, LostChange::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Store store = new Store(rig);
        store.put("op", "config", manifest(3, "alpha"));
        List<Machine> machines = new ArrayList<>();
        List<Upstream> upstreams = new ArrayList<>();
        for (int number = 1; number <= 4; number++) {
            String service = number <= 2 ? "alpha" : "beta";
            Machine machine = new Machine(rig, number, List.of("a", "b", "c", "a").get(number - 1), service, store.address());
            machines.add(machine);
            machine.startNode(true);
            upstreams.add(new Upstream(rig, machine, "i-00000" + number, 9));
        }
        for (Machine machine : machines) {
            rig.await(machine.name + " ready", 20, machine::isReady);
        }
        Thread.sleep(4_000);
        List<Sent> sent = new CopyOnWriteArrayList<>();
        List<String> answers = new CopyOnWriteArrayList<>();
        for (Machine machine : machines) {
            rig.run("clients of " + machine.name, () -> {
                for (int i = 0; true; i++) {
                    String attempt = machine.name + "-" + i;
                    double second = rig.seconds();
                    sent.add(new Sent(attempt, second));
                    Client.Answer answer =
                            Client.request(machine, "GET", "/price/x", Manifest.HOST, attempt, TIMEOUT_MILLIS);
                    answers.add(String.format("%s sent at %.3f -> %s", attempt, second, answer));
                    Thread.sleep(50);
                }
            });
        }
        Thread.sleep(2_000);
        AtomicLong lost = new AtomicLong();
        long answersBefore = store.answers();
        for (int change = 0; change < CHANGES; change++) {
            store.put("op", "config", manifest(5 + change, "alpha"));
            Thread.sleep(GAP_MILLIS);
        }
        rig.record("r5 to r" + (4 + CHANGES) + " are confirmed; they change nothing on /price/");
        double began = rig.seconds();
        if (trouble) {
            store.loses = (path, answer) -> path.contains("rows-feed")
                    && answer.contains("\"key\":\"config\"")
                    && rig.seconds() < began + LOSS_S
                    && lost.incrementAndGet() > 0;
        }
        store.put("op", "config", manifest(40, "beta"));
        double confirmed = rig.seconds();
        rig.record("r40 is confirmed; it moves /price/ from alpha to beta");
        Thread.sleep((long) (LOSS_S * 1_000));
        rig.record("answers of the store since the first change: " + (store.answers() - answersBefore) + ", lost: " + lost.get());
        Thread.sleep((long) (WATCHED_S * 1_000));
        if (trouble && lost.get() == 0) {
            throw new Rig.NotRun("no answer was lost");
        }
        double due = confirmed + Math.max(CONFIG_S, LOSS_S + TOUCH_S);
        Set<String> byOld = new HashSet<>();
        upstreams.stream().filter(upstream -> upstream.machine.service.equals("alpha"))
                .forEach(upstream -> upstream.runs.forEach(run -> byOld.add(run.attempt())));
        List<Sent> judged = sent.stream().filter(request -> request.second() > due).toList();
        List<Sent> stale = judged.stream().filter(request -> byOld.contains(request.attempt())).toList();
        rig.record(String.format("sent later than %.1f s after the confirmation: %d; of these run by the old service: %d",
                due - confirmed, judged.size(), stale.size()));
        if (!stale.isEmpty()) {
            rig.record(String.format("the last of them was sent %.1f s after the confirmation",
                    stale.get(stale.size() - 1).second() - confirmed));
        }
        Upstream.recordRuns(rig, upstreams);
        answers.forEach(rig::record);
        return stale.isEmpty();
    }

    private static String manifest(int version, String service) {
        return new Manifest(version, "alpha", "beta").route("/price/", "idempotent", service, TIMEOUT_MILLIS).text();
    }
}
