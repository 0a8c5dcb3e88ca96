package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * An upstream deregisters, which its node confirms, and serves on for some seconds before it exits. A check-in that it
 * sent before arrives late. The disruption: between the two, the node is killed and starts again.
 */
final class ForgottenLeave extends Case {

    private static final double DRAIN_SECONDS = 2;
    private static final double TOUCH_SECONDS = 3;

    /** Time for which the upstream serves on after the confirmation. */
    private static final double SERVES_ON_SECONDS = 10;

    /** Clients, the time of their requests' work and their pause: two thirds of what one upstream runs at a time. */
    private static final int READERS = 24;

    private static final long WORK_MILLIS = 100;
    private static final long PAUSE_MILLIS = 100;

    private final List<String> late = new ArrayList<>();
    private volatile long confirmedNanos;
    private volatile long restartedNanos;

    public static void main(String[] arguments) {
        run(arguments, new ForgottenLeave());
    }

    @Override
    boolean isBroken() throws Exception {
        fleet.addMachines(new String[][] {
            {"side-1", "baton-rouge", "huvo11a"}, {"side-2", "hattiesburg", "huvo11a"},
            {"side-3", "mobile-bay", "wuno96b"}
        });
        fleet.store.put("op", "config", new Manifest()
                .service("huvo11a")
                .service("wuno96b")
                .route("/clip/", "idempotent", "huvo11a", "400ms", "2000ms")
                .text(7));
        Fleet.Machine machine = fleet.machines.get(0);
        Upstream leaving = new Upstream(machine, "i-7f3a91c1", 17, record);
        Upstream staying = new Upstream(fleet.machines.get(1), "i-7f3a91c2", 17, record);
        new Upstream(fleet.machines.get(2), "i-02d9e6b4", 17, record);
        leaving.behaviour = (up, exchange) -> {
            up.noteRun(exchange);
            noteArrival(exchange.id());
            Thread.sleep(WORK_MILLIS);
            up.answer(exchange, 200, "done".getBytes());
        };
        staying.behaviour = (up, exchange) -> {
            up.noteRun(exchange);
            Thread.sleep(WORK_MILLIS);
            up.answer(exchange, 200, "done".getBytes());
        };
        startNodes();
        awaitServed("/clip/warm", 20);

        AtomicBoolean ended = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < READERS; number++) {
            int reader = number;
            clients.add(Fleet.daemon(() -> read(fleet.machines.get(1 + reader % 2), reader, ended)));
        }
        Thread.sleep(3000);
        leaving.beating = false;
        Thread.sleep(200);
        long lateNumber = leaving.lastSequence() + 1;
        record.add("i-7f3a91c1 sends the check-in %d, which is held up on its way", lateNumber);
        leaving.leaving = true;
        if (!leaving.deregister()) {
            throw new IllegalStateException("the deregistration is not confirmed");
        }
        confirmedNanos = System.nanoTime();
        Thread.sleep(300);
        if (trouble) {
            fleet.signal(machine, "KILL");
            Thread.sleep(500);
            restartedNanos = System.nanoTime();
            fleet.startNode(machine);
            if (!fleet.awaitReady(List.of(machine), 20)) {
                throw new IllegalStateException("the node does not start again");
            }
        } else {
            Thread.sleep(1500);
        }
        boolean taken = leaving.beat("ready", lateNumber);
        record.add("the check-in %d arrives %.1f s after the confirmation: %s", lateNumber, sinceConfirmation(),
                taken ? "acknowledged" : "not acknowledged");
        Thread.sleep((long) Math.max(0, (SERVES_ON_SECONDS - sinceConfirmation()) * 1000));
        leaving.close();
        record.add("i-7f3a91c1 exits");
        ended.set(true);
        for (Thread client : clients) {
            client.join(5000);
        }
        synchronized (late) {
            record.add("%d requests reached i-7f3a91c1 later than %.0f s after the confirmation, sent on by machines in"
                    + " touch", late.size(), DRAIN_SECONDS);
            return !late.isEmpty();
        }
    }

    private double sinceConfirmation() {
        return (System.nanoTime() - confirmedNanos) / 1e9;
    }

    private void noteArrival(String id) {
        if (confirmedNanos == 0) {
            return;
        }
        boolean inTouch = restartedNanos == 0 || System.nanoTime() - restartedNanos > TOUCH_SECONDS * 1e9;
        double after = sinceConfirmation();
        record.add("%s reaches i-7f3a91c1 %.2f s after the confirmation%s", id, after,
                inTouch ? "" : ", its node isn't in touch");
        if (after > DRAIN_SECONDS && inTouch) {
            synchronized (late) {
                late.add(id);
            }
        }
    }

    private void read(Fleet.Machine machine, int reader, AtomicBoolean ended) throws Exception {
        for (int number = 0; !ended.get(); number++) {
            String id = "clip-" + reader + "-" + number;
            try (Client client = new Client(machine)) {
                Client.Answer answer = client.get("/clip/" + id, id, 1500);
                record.add("client on %s: %s got %s", machine.name, id, answer.describe());
            }
            Thread.sleep(PAUSE_MILLIS);
        }
    }
}
