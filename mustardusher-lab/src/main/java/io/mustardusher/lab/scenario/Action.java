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

/** Actions that a scenario can perform on a deployment; each constant states its syntax. */
public enum Action {
    /** {@code slow SERVER xN}: the service time of the server becomes N times as long. */
    SLOW(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            double factor = Double.parseDouble(arguments.get(1).substring(1));
            return updateBehaviour(cluster, arguments, behaviour -> behaviour.withSlowFactor(factor));
        }
    },

    /** {@code noise SERVER TIME}: simulates a noisy neighbour that triples the service time in every other period. */
    NOISE(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            return updateBehaviour(
                    cluster,
                    arguments,
                    behaviour -> behaviour.withNoisePhaseMillis(DurationParser.parseMillis(arguments.get(1))));
        }
    },

    /** {@code fail-fast SERVER}: the server answers every call with 503 immediately. */
    FAIL_FAST(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            return updateBehaviour(cluster, arguments, behaviour -> behaviour.withFailFast(true));
        }
    },

    /** {@code shed SERVER N}: the server sheds calls, marked as not run, above N concurrent calls. */
    SHED(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            return updateBehaviour(
                    cluster, arguments, behaviour -> behaviour.withShedThreshold(Integer.parseInt(arguments.get(1))));
        }
    },

    /** {@code restore SERVER}: ends the effects of slow, noise, fail-fast and shed. */
    RESTORE(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            return updateBehaviour(cluster, arguments, behaviour -> behaviour
                    .withSlowFactor(1)
                    .withFailFast(false)
                    .withShedThreshold(0)
                    .withNoisePhaseMillis(0));
        }
    },

    /** {@code drain SERVER}: the server announces that it accepts no new calls. */
    DRAIN(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            cluster.backend(arguments.get(0)).drain();
            return "";
        }
    },

    /** {@code resume SERVER}: the server announces that it accepts calls again. */
    RESUME(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            cluster.backend(arguments.get(0)).resume();
            return "";
        }
    },

    /** {@code crash SERVER}: the server crashes; its node keeps running. */
    CRASH(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            cluster.backend(arguments.get(0)).crash();
            return "";
        }
    },

    /** {@code start SERVER}: restarts a crashed server. */
    START(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            cluster.backend(arguments.get(0)).start();
            return "";
        }
    },

    /** {@code start-all}: restarts all crashed servers. */
    START_ALL(0) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            cluster.nodes().forEach(node -> cluster.backend(node.name()).start());
            return "";
        }
    },

    /** {@code poison SERVICE N}: sends a call that crashes its server N times, through the entries in turn. */
    POISON(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) throws InterruptedException {
            int sends = Integer.parseInt(arguments.get(1));
            List<String> codes = new ArrayList<>();
            for (int i = 0; i < sends; i++) {
                NodeHandle node = cluster.nodes().get(i % cluster.nodes().size());
                RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/poison")
                        .set(CallHeaders.SERVICE, arguments.get(0))
                        .set(BackendServer.REQUEST_ID, POISON_ID)
                        .set(BackendServer.CRASH, "1")
                        .build();
                codes.add(WebClient.of("h2c://127.0.0.1:" + node.ports().caller())
                        .execute(headers)
                        .aggregate()
                        .handle((response, failure) -> failure == null
                                ? response.headers().get(CallHeaders.CODE, "none")
                                : failure.getClass().getSimpleName())
                        .join());
                TimeUnit.MILLISECONDS.sleep(POISON_INTERVAL_MILLIS);
            }
            return "codes " + codes;
        }
    },

    /** {@code stop-node NODE}: shuts down the node and its server gracefully. */
    STOP_NODE(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            entries.remove(cluster.node(arguments.get(0)).ports().caller());
            return "exit " + cluster.stopNode(arguments.get(0));
        }
    },

    /** {@code start-node NODE}: restarts a stopped or killed node and its server. */
    START_NODE(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            cluster.startNode(arguments.get(0));
            entries.add(cluster.node(arguments.get(0)).ports().caller());
            return "";
        }
    },

    /** {@code replace-node NODE}: shuts down the node gracefully, then starts a new process. */
    REPLACE_NODE(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) throws InterruptedException {
            return STOP_NODE.run(cluster, entries, arguments) + START_NODE.run(cluster, entries, arguments);
        }
    },

    /** {@code replace-all TIME}: replaces all nodes, one of each service per round, with a pause of TIME after each. */
    REPLACE_ALL(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) throws InterruptedException {
            long pauseMillis = DurationParser.parseMillis(arguments.get(0));
            List<String> names = new ArrayList<>();
            cluster.nodes().forEach(node -> names.add(node.name()));
            names.sort(Comparator.comparing(name -> name.substring(name.lastIndexOf('-'))));
            int ungraceful = 0;
            for (String name : names) {
                ungraceful += "exit 0".equals(REPLACE_NODE.run(cluster, entries, List.of(name))) ? 0 : 1;
                TimeUnit.MILLISECONDS.sleep(pauseMillis);
            }
            return names.size() + " replaced, " + ungraceful + " not gracefully";
        }
    },

    /** {@code kill-node NODE}: kills the VM, that is, the node and its server, without a shutdown. */
    KILL_NODE(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            entries.removeKilled(cluster.node(arguments.get(0)).ports().caller());
            cluster.killNode(arguments.get(0));
            return "";
        }
    },

    /** {@code pause-node NODE TIME}: suspends the process of the node for TIME. */
    PAUSE_NODE(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) throws InterruptedException {
            entries.remove(cluster.node(arguments.get(0)).ports().caller());
            cluster.node(arguments.get(0)).pause();
            TimeUnit.MILLISECONDS.sleep(DurationParser.parseMillis(arguments.get(1)));
            cluster.node(arguments.get(0)).resume();
            entries.add(cluster.node(arguments.get(0)).ports().caller());
            return "";
        }
    },

    /** {@code platform FAULT}: sets the fault of the table service to none, down, silent, slow or lose-answers. */
    PLATFORM(1) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            String fault = arguments.get(0).toUpperCase(Locale.ROOT).replace('-', '_');
            cluster.platform().setFault(StoreFault.valueOf(fault));
            return "";
        }
    },

    /** {@code change SERVICE PATH=VALUE}: changes the catalogue entry of the service. */
    CHANGE(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) {
            Deployment.ServiceSize service = cluster.deployment().service(arguments.get(0));
            String[] change = arguments.get(1).split("=", 2);
            Cluster.CommandResult result = cluster.putEntry(service.entryWith(change[0], change[1]));
            return "exit " + result.exitCode() + " " + result.output().strip().replace('\n', ' ');
        }
    },

    /** {@code race SERVICE N}: N operators change the entry concurrently, all based on the same revision. */
    RACE(2) {
        @Override
        String run(Cluster cluster, Entries entries, List<String> arguments) throws InterruptedException {
            Deployment.ServiceSize service = cluster.deployment().service(arguments.get(0));
            int operators = Integer.parseInt(arguments.get(1));
            long revision = cluster.revisionOf(arguments.get(0));
            List<Thread> threads = new ArrayList<>();
            AtomicInteger accepted = new AtomicInteger();
            for (int i = 0; i < operators; i++) {
                String deadline = Integer.toString(1000 + i);
                Thread operator = new Thread(() -> {
                    int exit = cluster.putEntry(service.entryWith("deadlineMillis", deadline), revision)
                            .exitCode();
                    accepted.addAndGet(exit == 0 ? 1 : 0);
                });
                threads.add(operator);
                operator.start();
            }
            for (Thread operator : threads) {
                operator.join();
            }
            cluster.recordRace(accepted.get());
            return accepted.get() + " accepted of " + operators;
        }
    };

    /** Request id of the call that crashes its server. */
    static final String POISON_ID = "poison";

    /** Time between two sends of the call that crashes its server, in milliseconds. */
    private static final long POISON_INTERVAL_MILLIS = 300;

    /** Number of arguments. */
    private final int arity;

    /**
     * Creates an action.
     *
     * @param arity number of arguments
     */
    Action(int arity) {
        this.arity = arity;
    }

    /**
     * Changes the behaviour of a server.
     *
     * @param cluster   the deployment
     * @param arguments arguments of the action, starting with the name of the server
     * @param change    function from the present behaviour to the new one
     * @return an empty result
     */
    private static String updateBehaviour(Cluster cluster, List<String> arguments, UnaryOperator<Behaviour> change) {
        BackendServer backend = cluster.backend(arguments.get(0));
        backend.setBehaviour(change.apply(backend.behaviour()));
        return "";
    }

    /**
     * Returns the action with a name.
     *
     * @param name          name as written in scenario files
     * @param argumentCount number of arguments given
     * @return the action
     */
    static Action of(String name, int argumentCount) {
        Action action = valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
        if (action.arity != argumentCount) {
            throw new IllegalArgumentException(name + " takes " + action.arity + " arguments");
        }
        return action;
    }

    /**
     * Performs the action.
     *
     * @param cluster   the deployment
     * @param entries   entries to which callers send
     * @param arguments arguments of the action
     * @return result for the report; empty if there is nothing to report
     * @throws InterruptedException if a wait is interrupted
     */
    abstract String run(Cluster cluster, Entries entries, List<String> arguments) throws InterruptedException;
}
