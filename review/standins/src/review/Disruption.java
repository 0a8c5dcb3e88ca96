package review;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Something that goes wrong at a machine: at its upstream, at its node, or at both. */
enum Disruption {
    /** The upstream resets connections behind runs, in place of their answers. */
    LOSE_ANSWERS {
        @Override
        void run(NestedCalls run, Fleet.Machine machine, Random random) {
            run.process(machine).losesAnswersUntil = System.nanoTime() + 4_000_000_000L;
        }
    },
    /** The upstream works more slowly, and says so. */
    SLOW {
        @Override
        void run(NestedCalls run, Fleet.Machine machine, Random random) throws Exception {
            Upstream upstream = run.upstream(machine);
            upstream.slownessPercent = 400 + random.nextInt(1600);
            Thread.sleep(1500 + random.nextInt(2500));
            upstream.slownessPercent = 100;
        }
    },
    /** The upstream accepts no connections for a moment and resets half of those that it has. */
    BOUNCE {
        @Override
        void run(NestedCalls run, Fleet.Machine machine, Random random) throws Exception {
            Upstream upstream = run.upstream(machine);
            upstream.stopAccepting();
            resetSome(upstream, random, upstream.sockets.size() / 2);
            Thread.sleep(300 + random.nextInt(500));
            upstream.startAccepting();
            upstream.beat();
        }
    },
    /** The upstream resets some connections. */
    RESET {
        @Override
        void run(NestedCalls run, Fleet.Machine machine, Random random) throws Exception {
            resetSome(run.upstream(machine), random, 3);
        }
    },
    /** Another process takes the address of the upstream, while the earlier one ends what it has begun. */
    REPLACE {
        @Override
        void run(NestedCalls run, Fleet.Machine machine, Random random) throws Exception {
            run.replace(machine, false, random.nextInt(800), random.nextInt(800));
        }
    },
    /** The same under the identifier of the earlier process. */
    REPLACE_SAME_ID {
        @Override
        void run(NestedCalls run, Fleet.Machine machine, Random random) throws Exception {
            run.replace(machine, true, random.nextInt(800), random.nextInt(800));
        }
    },
    /** The upstream announces that it leaves, and that it is ready a moment later. */
    DRAIN {
        @Override
        void run(NestedCalls run, Fleet.Machine machine, Random random) throws Exception {
            Upstream upstream = run.upstream(machine);
            upstream.state = "draining";
            upstream.beat();
            Thread.sleep(100 + random.nextInt(400));
            upstream.state = "ready";
            upstream.beat();
        }
    },
    /** The node stops for a time at which the others may take it for failed. */
    FREEZE {
        @Override
        void run(NestedCalls run, Fleet.Machine machine, Random random) throws Exception {
            run.fleet.signal(machine, "STOP");
            Thread.sleep(300 + random.nextInt(3500));
            run.fleet.signal(machine, "CONT");
        }
    },
    /** All nodes of a failure domain stop until the others take them for failed, and they the others. */
    FREEZE_DOMAIN {
        @Override
        void run(NestedCalls run, Fleet.Machine machine, Random random) throws Exception {
            int millis = 2500 + random.nextInt(2000);
            for (Fleet.Machine other : run.domain(machine)) {
                Fleet.daemon(() -> {
                    synchronized (other) {
                        run.fleet.signal(other, "STOP");
                        Thread.sleep(millis);
                        run.fleet.signal(other, "CONT");
                    }
                });
            }
        }
    },
    /** The node is killed and started again. */
    KILL {
        @Override
        void run(NestedCalls run, Fleet.Machine machine, Random random) throws Exception {
            restartNode(run, machine, "KILL");
        }
    },
    /** The node is terminated and started again. */
    TERMINATE {
        @Override
        void run(NestedCalls run, Fleet.Machine machine, Random random) throws Exception {
            restartNode(run, machine, "TERM");
        }
    },
    /** All machines of a failure domain lose their nodes and upstreams and get new ones. */
    RESTART_DOMAIN {
        @Override
        void run(NestedCalls run, Fleet.Machine machine, Random random) throws Exception {
            String signal = random.nextBoolean() ? "KILL" : "TERM";
            int pauseMillis = random.nextInt(1500);
            for (Fleet.Machine other : run.domain(machine)) {
                Fleet.daemon(() -> {
                    synchronized (other) {
                        run.fleet.signal(other, signal);
                        run.replace(other, false, 0, pauseMillis);
                        other.node.waitFor();
                        run.fleet.startNode(other);
                    }
                });
            }
        }
    };

    /** Whether it concerns all machines of a failure domain. */
    boolean ofDomain() {
        return this == RESTART_DOMAIN || this == FREEZE_DOMAIN;
    }

    abstract void run(NestedCalls run, Fleet.Machine machine, Random random) throws Exception;

    private static void restartNode(NestedCalls run, Fleet.Machine machine, String signal) throws Exception {
        run.fleet.signal(machine, signal);
        machine.node.waitFor();
        run.fleet.startNode(machine);
        run.fleet.awaitReady(List.of(machine), 20);
    }

    private static void resetSome(Upstream upstream, Random random, int count) throws IOException {
        List<Socket> open = new ArrayList<>(upstream.sockets);
        Collections.shuffle(open, random);
        for (Socket socket : open.subList(0, Math.min(count, open.size()))) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
