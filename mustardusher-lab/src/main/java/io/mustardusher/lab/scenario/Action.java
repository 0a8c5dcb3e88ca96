package io.mustardusher.lab.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.lab.cluster.Cluster;
import io.mustardusher.lab.cluster.Deployment;
import io.mustardusher.lab.cluster.NodeHandle;
import io.mustardusher.lab.load.Entries;
import io.mustardusher.lab.standin.BackendServer;
import io.mustardusher.lab.standin.Behaviour;
import io.mustardusher.lab.standin.StoreFault;

/** What a scenario can do to a deployment. */
public enum Action {
    /** {@code slow SERVER xN}: the server takes N times as long. */
    SLOW(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            double factor = Double.parseDouble(words.get(1).substring(1));
            return behave(cluster, words, behaviour -> behaviour.withSlowFactor(factor));
        }
    },

    /** {@code noise SERVER TIME}: a neighbour triples the service time in every other period. */
    NOISE(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            return behave(cluster, words, behaviour -> behaviour.withNoisePhaseMillis(Duration.millis(words.get(1))));
        }
    },

    /** {@code fail-fast SERVER}: the server answers 503 at once. */
    FAIL_FAST(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            return behave(cluster, words, behaviour -> behaviour.withFailFast(true));
        }
    },

    /** {@code shed SERVER N}: the server sheds, with a mark, above N calls. */
    SHED(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            return behave(cluster, words, behaviour -> behaviour.withShedThreshold(Integer.parseInt(words.get(1))));
        }
    },

    /** {@code restore SERVER}: the server behaves as at first. */
    RESTORE(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            return behave(cluster, words, behaviour -> behaviour
                    .withSlowFactor(1)
                    .withFailFast(false)
                    .withShedThreshold(0)
                    .withNoisePhaseMillis(0));
        }
    },

    /** {@code drain SERVER}: the server announces that it takes no new work. */
    DRAIN(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            cluster.backend(words.get(0)).drain();
            return "";
        }
    },

    /** {@code resume SERVER}: the server announces that it takes work again. */
    RESUME(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            cluster.backend(words.get(0)).resume();
            return "";
        }
    },

    /** {@code crash SERVER}: the server ends at once; its node stays. */
    CRASH(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            cluster.backend(words.get(0)).crash();
            return "";
        }
    },

    /** {@code start SERVER}: a crashed server starts again. */
    START(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            cluster.backend(words.get(0)).start();
            return "";
        }
    },

    /** {@code start-all}: every crashed server starts again. */
    START_ALL(0) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            cluster.nodes().forEach(node -> cluster.backend(node.name()).start());
            return "";
        }
    },

    /** {@code poison SERVICE N}: one call that crashes servers is sent N times, each time through another entry. */
    POISON(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) throws InterruptedException {
            int sends = Integer.parseInt(words.get(1));
            List<String> answers = new ArrayList<>();
            for (int i = 0; i < sends; i++) {
                NodeHandle node = cluster.nodes().get(i % cluster.nodes().size());
                RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/poison")
                        .set(CallHeaders.SERVICE, words.get(0))
                        .set(BackendServer.REQUEST_ID, POISON_ID)
                        .set(BackendServer.CRASH, "1")
                        .build();
                answers.add(WebClient.of("h2c://127.0.0.1:" + node.ports().caller())
                        .execute(headers)
                        .aggregate()
                        .handle((answer, failure) -> failure == null
                                ? answer.headers().get(CallHeaders.CODE, "none")
                                : failure.getClass().getSimpleName())
                        .join());
                TimeUnit.MILLISECONDS.sleep(POISON_PAUSE_MILLIS);
            }
            return "codes " + answers;
        }
    },

    /** {@code stop-node NODE}: graceful shutdown of node and server. */
    STOP_NODE(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            entries.remove(cluster.node(words.get(0)).ports().caller());
            return "exit " + cluster.stopNode(words.get(0));
        }
    },

    /** {@code start-node NODE}: a stopped or killed node starts again with its server. */
    START_NODE(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            cluster.startNode(words.get(0));
            entries.add(cluster.node(words.get(0)).ports().caller());
            return "";
        }
    },

    /** {@code replace-node NODE}: graceful shutdown, then a new process. */
    REPLACE_NODE(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) throws InterruptedException {
            return STOP_NODE.run(cluster, entries, words) + START_NODE.run(cluster, entries, words);
        }
    },

    /** {@code replace-all TIME}: every node in turn, one service after another, with that time between two. */
    REPLACE_ALL(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) throws InterruptedException {
            long pause = Duration.millis(words.get(0));
            List<String> names = new ArrayList<>();
            cluster.nodes().forEach(node -> names.add(node.name()));
            names.sort(Comparator.comparing(name -> name.substring(name.lastIndexOf('-'))));
            int failed = 0;
            for (String name : names) {
                failed += "exit 0".equals(REPLACE_NODE.run(cluster, entries, List.of(name))) ? 0 : 1;
                TimeUnit.MILLISECONDS.sleep(pause);
            }
            return names.size() + " replaced, " + failed + " not gracefully";
        }
    },

    /** {@code kill-node NODE}: the VM vanishes. */
    KILL_NODE(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            entries.killed(cluster.node(words.get(0)).ports().caller());
            cluster.killNode(words.get(0));
            return "";
        }
    },

    /** {@code pause-node NODE TIME}: the node's process is frozen for a while. */
    PAUSE_NODE(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) throws InterruptedException {
            entries.remove(cluster.node(words.get(0)).ports().caller());
            cluster.node(words.get(0)).pause();
            TimeUnit.MILLISECONDS.sleep(Duration.millis(words.get(1)));
            cluster.node(words.get(0)).resume();
            entries.add(cluster.node(words.get(0)).ports().caller());
            return "";
        }
    },

    /** {@code platform FAULT}: the table service is none, down, silent, slow or loses answers. */
    PLATFORM(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            String fault = words.get(0).toUpperCase(Locale.ROOT).replace('-', '_');
            cluster.platform().setFault(StoreFault.valueOf(fault));
            return "";
        }
    },

    /** {@code change SERVICE PATH=VALUE}: an operator changes the entry. */
    CHANGE(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) {
            Deployment.ServiceSize service = cluster.deployment().service(words.get(0));
            String[] change = words.get(1).split("=", 2);
            Cluster.CommandResult result = cluster.putEntry(service.entryWith(change[0], change[1]));
            return "exit " + result.exitCode() + " " + result.output().strip().replace('\n', ' ');
        }
    },

    /** {@code race SERVICE N}: N operators who saw the same revision change the entry at once. */
    RACE(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> words) throws InterruptedException {
            Deployment.ServiceSize service = cluster.deployment().service(words.get(0));
            int operators = Integer.parseInt(words.get(1));
            long seen = cluster.revisionOf(words.get(0));
            List<Thread> threads = new ArrayList<>();
            AtomicInteger winners = new AtomicInteger();
            for (int i = 0; i < operators; i++) {
                String deadline = Integer.toString(1000 + i);
                Thread operator = new Thread(() -> {
                    int exit = cluster.putEntry(service.entryWith("deadlineMillis", deadline), seen)
                            .exitCode();
                    winners.addAndGet(exit == 0 ? 1 : 0);
                });
                threads.add(operator);
                operator.start();
            }
            for (Thread operator : threads) {
                operator.join();
            }
            cluster.recordRace(winners.get());
            return winners.get() + " accepted of " + operators;
        }
    };

    /** Id of the call that crashes servers. */
    static final String POISON_ID = "poison";

    /** Time between two sends of the call that crashes servers, in milliseconds. */
    private static final long POISON_PAUSE_MILLIS = 300;

    /** Number of words behind the name. */
    private final int words;

    /**
     * Creates an action.
     *
     * @param words number of words behind the name
     */
    Action(int words) {
        this.words = words;
    }

    /**
     * Changes the behaviour of a server.
     *
     * @param cluster the deployment
     * @param words   words behind the name, the server's name first
     * @param change  the change
     * @return nothing to report
     */
    private static String behave(Cluster cluster, List<String> words, UnaryOperator<Behaviour> change) {
        BackendServer backend = cluster.backend(words.get(0));
        backend.setBehaviour(change.apply(backend.behaviour()));
        return "";
    }

    /**
     * Finds an action.
     *
     * @param name  name as scenarios write it
     * @param count number of words behind it
     * @return the action
     */
    static Action of(String name, int count) {
        Action action = valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
        if (action.words != count) {
            throw new IllegalArgumentException(name + " takes " + action.words + " words");
        }
        return action;
    }

    /**
     * Acts.
     *
     * @param cluster the deployment
     * @param entries entries that callers know
     * @param words   words behind the name
     * @return what was seen
     * @throws InterruptedException if a wait is interrupted
     */
    abstract String run(Cluster cluster, Entries entries, List<String> words) throws InterruptedException;
}
