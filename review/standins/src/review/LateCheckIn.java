package review;

import java.io.IOException;

/**
 * All processes of the system are killed and start again. Then the only upstream of a service goes down and up twice.
 * The disruption: the first check-in of the boot in the middle arrives late, after the next boot has registered.
 */
final class LateCheckIn extends Case {

    /** Bound of the settings after which requests have to be served again. */
    private static final int RECOVERY_SECONDS = 15;

    private int number;

    public static void main(String[] arguments) {
        run(arguments, new LateCheckIn());
    }

    @Override
    boolean isBroken() throws Exception {
        fleet.addMachines(new String[][] {{"side-1", "baton-rouge", "huvo11a"}, {"side-2", "hattiesburg", "wuno96b"}});
        Manifest manifest = new Manifest()
                .service("huvo11a")
                .service("wuno96b")
                .route("/clip/", "idempotent", "huvo11a", "400ms", "2000ms");
        fleet.store.put("op", "config", manifest.text(7));
        Fleet.Machine machine = fleet.machines.get(0);
        Upstream old = new Upstream(machine, "i-0000aaaa", 17, record);
        new Upstream(fleet.machines.get(1), "i-02d9e6b4", 17, record);
        startNodes();
        awaitServed("/clip/warm", 20);
        double before = servedShare("before the final fault", 5);

        manifest.route("/index/", "idempotent", "wuno96b", "400ms", "2000ms");
        fleet.store.put("op", "config", manifest.text(9));
        record.add("version r9 of the manifest, with a further route, is acknowledged");
        for (Fleet.Machine killed : fleet.machines) {
            fleet.signal(killed, "KILL");
        }
        Thread.sleep(860);
        for (Fleet.Machine killed : fleet.machines) {
            fleet.startNode(killed);
        }
        if (!fleet.awaitReady(fleet.machines, 30)) {
            throw new IllegalStateException("the nodes do not start again");
        }
        long back = System.nanoTime();
        Thread.sleep(3000);

        old.close();
        record.add("upstream i-0000aaaa crashed");
        Thread.sleep(1000);
        Upstream middle = new Upstream(machine, "i-1111bbbb", 17, record, false);
        record.add("upstream i-1111bbbb started; its first check-in is on its way");
        Thread.sleep(1000);
        middle.close();
        record.add("upstream i-1111bbbb crashed");
        Thread.sleep(1000);
        Upstream last = new Upstream(machine, "i-2222cccc", 17, record);
        record.add("upstream i-2222cccc started and checks in");
        Thread.sleep(700);
        if (trouble) {
            boolean acknowledged = middle.beat("ready", 1);
            record.add("the check-in 1 of i-1111bbbb arrives late: %s", acknowledged ? "acknowledged" : "refused");
        }
        long left = RECOVERY_SECONDS * 1000L - (System.nanoTime() - back) / 1_000_000;
        Thread.sleep(Math.max(0, left) + 500);
        record.add("upstream i-2222cccc has checked in %d times", last.lastSequence());
        double after = servedShare("later than the recovery time", 20);
        record.add("served: %.2f before the final fault, %.2f later than %d s after the machines were back", before,
                after, RECOVERY_SECONDS);
        return before >= 0.25 && after < 0.25;
    }

    private double servedShare(String when, int seconds) throws IOException, InterruptedException {
        int served = 0;
        int sent = 0;
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            Fleet.Machine machine = fleet.machines.get(number % 2);
            String id = "clip-" + number++;
            try (Client client = new Client(machine)) {
                Client.Answer answer = client.get("/clip/" + id, id, 1000);
                sent++;
                served += answer.status() == 200 ? 1 : 0;
                record.add("client on %s, %s: %s got %s", machine.name, when, id, answer.describe());
            }
            Thread.sleep(100);
        }
        return (double) served / sent;
    }
}
