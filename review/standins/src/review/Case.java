package review;

import java.nio.file.Path;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
abstract class Case {

    Fleet fleet;
    Record record;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** Returns whether the rule was broken. */
    abstract boolean isBroken() throws Exception;

    static void run(String[] arguments, Case chosen) {
        int exit = 2;
        try {
            Fleet fleet = new Fleet(Path.of(arguments[0]), Path.of(arguments[1]));
            chosen.fleet = fleet;
            chosen.record = fleet.record;
            fleet.record.add("%s the disruption", chosen.trouble ? "with" : "without");
            exit = chosen.isBroken() ? 1 : 0;
            fleet.record.add("exit status %d", exit);
            fleet.close();
        } catch (Exception e) {
            if (chosen.record != null) {
                chosen.record.add("the case could not run: %s", e);
            }
            System.err.println(e);
        }
        System.exit(exit);
    }

    /** Starts all nodes and waits until they serve. */
    void startNodes() throws Exception {
        for (Fleet.Machine machine : fleet.machines) {
            fleet.startNode(machine);
        }
        if (!fleet.awaitReady(fleet.machines, 30)) {
            throw new IllegalStateException("the nodes are not ready");
        }
        Thread.sleep(3000);
    }

    /** Waits until a path is served from every machine, at most for some seconds. */
    void awaitServed(String path, int seconds) throws Exception {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        int number = 0;
        for (Fleet.Machine machine : fleet.machines) {
            for (int served = 0; served < 3; ) {
                try (Client client = new Client(machine)) {
                    Client.Answer answer = client.get(path, "warm-" + number++, 2000);
                    served = answer.status() == 200 ? served + 1 : 0;
                }
                if (System.nanoTime() > end) {
                    throw new IllegalStateException("the nodes do not serve");
                }
                Thread.sleep(50);
            }
        }
    }
}
