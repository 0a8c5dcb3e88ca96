import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** An upstream leaves after a check-in of another writer, without a zone and a version, has named it. */
final class ForeignCheckIn {

    private static final double DRAIN_TIMEOUT_S = 2.0;

    private ForeignCheckIn() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, ForeignCheckIn::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Store store = new Store(rig);
        store.put("op", "config", new Manifest(3, "till").route("/pay/", "non_idempotent", "till", 1_500).text());
        List<Machine> machines = new ArrayList<>();
        List<Upstream> upstreams = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            Machine machine = new Machine(rig, number, List.of("a", "b", "c").get(number - 1), "till", store.address());
            machines.add(machine);
            machine.startNode(true);
            upstreams.add(new Upstream(rig, machine, "i-00000" + number, 9));
        }
        for (Machine machine : machines) {
            rig.await(machine.name + " ready", 20, machine::isReady);
        }
        Thread.sleep(4_000);
        Upstream leaving = upstreams.get(0);
        List<String> answers = new CopyOnWriteArrayList<>();
        for (Machine machine : machines) {
            rig.run("clients of " + machine.name, () -> {
                for (int i = 0; true; i++) {
                    String attempt = machine.name + "-" + i;
                    double sent = rig.seconds();
                    Client.Answer answer = Client.request(machine, "POST", "/pay/x", Manifest.HOST, attempt, 1_500);
                    answers.add(attempt + " sent at " + sent + " -> " + answer);
                    Thread.sleep(40);
                }
            });
        }
        Thread.sleep(3_000);
        rig.record("runs at " + leaving.id + " so far: " + leaving.runs.size());
        if (leaving.runs.isEmpty()) {
            throw new Rig.NotRun("the upstream got no work");
        }
        if (trouble) {
            String foreign = "{\"service\":\"till\",\"address\":\"" + leaving.machine.ip + ":" + leaving.machine.appPort()
                    + "\",\"capacity\":9,\"state\":\"ready\",\"coldRemaining\":\"0ms\",\"sequence\":"
                    + System.currentTimeMillis() / 1_000 + "}";
            boolean taken = leaving.post("/mustardusher/Instances.Heartbeat/" + leaving.id, foreign);
            rig.record("another writer's check-in " + foreign + (taken ? " is confirmed" : " is not confirmed"));
        }
        Thread.sleep(4_000);
        leaving.leaving = true;
        leaving.state = "draining";
        if (!leaving.sendCheckIn()) {
            throw new Rig.NotRun("the leaving was not confirmed");
        }
        double confirmed = rig.seconds();
        rig.record(leaving.id + " is leaving, confirmed");
        Thread.sleep(8_000);
        List<Upstream.Run> late = leaving.runs.stream()
                .filter(run -> run.second() > confirmed + DRAIN_TIMEOUT_S)
                .toList();
        late.forEach(run -> rig.record("late: " + run));
        rig.record("requests sent " + answers.size() + ", run " + upstreams.stream().mapToInt(u -> u.runs.size()).sum()
                + ", at the leaving upstream later than drainTimeout after the confirmation: " + late.size());
        Upstream.recordRuns(rig, upstreams);
        answers.forEach(rig::record);
        return late.isEmpty();
    }
}
