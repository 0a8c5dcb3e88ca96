package io.mustardusher.lab.profile;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import io.mustardusher.generated.Announcement;
import io.mustardusher.generated.DistanceSettings;
import io.mustardusher.generated.LogSettings;
import io.mustardusher.generated.NodeSettings;
import io.mustardusher.generated.PortSettings;
import io.mustardusher.instance.InstanceState;
import io.mustardusher.log.LogOutput;
import io.mustardusher.node.NodeLauncher;
import io.mustardusher.node.RoutedNode;
import io.mustardusher.node.ServerTracker;
import io.mustardusher.time.Clock;

/** Program of a node in a {@link NodeCostBenchmark}. Prints {@value #READY} when it listens. */
public final class ProfiledNode {

    /** Line that is printed when the node listens. */
    static final String READY = "ready";

    /** System property that makes the program sample its event loop and print where it spends its time at its end. */
    static final String SAMPLE_PROPERTY = "mustardusher.profile.sample";

    private static final String HOST = "127.0.0.1";
    private static final long SLOTS = 200;
    private static final long GOSSIP_INTERVAL_MILLIS = 250;
    private static final long RETRY_WINDOW_NANOS = 10_000 * Clock.NANOS_PER_MILLI;
    private static final int PORTS_OF_NODE = 4;

    private ProfiledNode() {}

    /**
     * Runs a node until the process is terminated.
     *
     * @param arguments index of the node, port of the backend server, and the caller, gate, frame and admin ports of
     *     all nodes
     * @throws InterruptedException if the thread is interrupted while the node runs
     */
    public static void main(String[] arguments) throws InterruptedException {
        int index = Integer.parseInt(arguments[0]);
        InetSocketAddress server = new InetSocketAddress(HOST, Integer.parseInt(arguments[1]));
        List<Integer> ports = new ArrayList<>();
        for (int i = 2; i < arguments.length; i++) {
            ports.add(Integer.parseInt(arguments[i]));
        }
        List<Integer> own = ports.subList(index * PORTS_OF_NODE, (index + 1) * PORTS_OF_NODE);
        LogSettings log = new LogSettings().withFormat(LogSettings.Format.JSON);
        LogOutput.configure(log);
        RoutedNode node = new RoutedNode(
                settings(index, own, log),
                new RoutedNode.RetryBounds(RETRY_WINDOW_NANOS, 0, 0),
                new LoopbackEnvironment(server, framePorts(ports)));
        StackSampler sampler = new StackSampler("mushd-epoll");
        System.exit(NodeLauncher.run(
                () -> {
                    node.start();
                    announce(node, server);
                    System.out.println(READY);
                    if (Boolean.getBoolean(SAMPLE_PROPERTY)) {
                        sampler.start();
                    }
                },
                () -> {
                    sampler.print(System.err);
                    node.close();
                    return 0;
                }));
    }

    private static List<Integer> framePorts(List<Integer> ports) {
        List<Integer> framePorts = new ArrayList<>();
        for (int i = 2; i < ports.size(); i += PORTS_OF_NODE) {
            framePorts.add(ports.get(i));
        }
        return framePorts;
    }

    private static NodeSettings settings(int index, List<Integer> ports, LogSettings log) {
        return new NodeSettings()
                .withId("node-" + index)
                .withHost(HOST)
                .withRegion("region")
                .withFailureDomain("domain")
                .withPorts(new PortSettings()
                        .withCaller(ports.get(0))
                        .withGate(ports.get(1))
                        .withFrame(ports.get(2))
                        .withAdmin(ports.get(3)))
                .withSeeds(List.of())
                .withCredential("profile")
                .withRegionDistancesMicros(new DistanceSettings())
                .withGossipIntervalMillis(GOSSIP_INTERVAL_MILLIS)
                .withStopGraceMillis(1_000)
                .withWarmUpMillis(0)
                .withLog(log);
    }

    private static void announce(RoutedNode node, InetSocketAddress server) {
        node.serverTracker()
                .recordAnnouncement(
                        new InstanceState("i-1", 1, 1, InstanceState.Phase.SERVING),
                        new Announcement()
                                .withService(LoopbackEnvironment.SERVICE)
                                .withHost(server.getHostString())
                                .withPort(server.getPort())
                                .withSlots(SLOTS)
                                .withConnections(ServerTracker.DEFAULT_CONNECTIONS)
                                .withInstance("i-1"));
    }
}
