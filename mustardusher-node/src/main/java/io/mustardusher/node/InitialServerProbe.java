package io.mustardusher.node;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.UnaryOperator;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.generated.Announcement;
import io.mustardusher.server.BufferedServerLink;
import io.mustardusher.server.ReportedServerLoad;
import io.mustardusher.server.ServerDialect;
import io.mustardusher.time.Clock;

/**
 * Probes the backend server beside a starting node until its state is known, so that a node that restarts beside a
 * running server serves before the next announcement.
 */
final class InitialServerProbe {

    /**
     * Interval between two probes, in milliseconds. The first ones may fail because a server that has just started does
     * not listen yet.
     */
    static final long INTERVAL_MILLIS = 100;

    /** Timeout of a probe, in nanoseconds; the next probe is sent then. */
    private static final long TIMEOUT_NANOS = INTERVAL_MILLIS * Clock.NANOS_PER_MILLI;

    private final NodeEnvironment.LocalServer localServer;
    private final ServerDialect dialect;
    private final UnaryOperator<String> healthPaths;
    private final BufferedServerLink link;
    private final ServerTracker tracker;

    /**
     * Creates a probe that has not been sent.
     *
     * @param localServer address and service of the server
     * @param dialect     protocol of the server
     * @param healthPaths returns the health path of a service
     * @param link        connection to the server
     * @param tracker     receives the state of the server
     */
    InitialServerProbe(
            NodeEnvironment.LocalServer localServer,
            ServerDialect dialect,
            UnaryOperator<String> healthPaths,
            BufferedServerLink link,
            ServerTracker tracker) {
        this.localServer = localServer;
        this.dialect = dialect;
        this.healthPaths = healthPaths;
        this.link = link;
        this.tracker = tracker;
    }

    /**
     * Sends one probe unless the state of the server is known.
     *
     * @return whether to probe again
     */
    boolean tick() {
        if (tracker.isKnown()) {
            return false;
        }
        InetSocketAddress address = localServer.address();
        RequestHeaders request = RequestHeaders.builder(HttpMethod.GET, healthPaths.apply(localServer.service()))
                .authority(address.getHostString() + ":" + address.getPort())
                .build();
        link.exchange(AggregatedHttpRequest.of(request), TIMEOUT_NANOS, true)
                .thenAccept(
                        answer -> toAnnouncement(localServer, dialect, answer).ifPresent(tracker::recordProbeResult));
        return true;
    }

    // A server that is draining or failing does not answer 200. An answer without the start or the slots is ignored,
    // and the state is taken from the first announcement.
    static Optional<Announcement> toAnnouncement(
            NodeEnvironment.LocalServer localServer, ServerDialect dialect, AggregatedHttpResponse answer) {
        if (!answer.status().equals(HttpStatus.OK)) {
            return Optional.empty();
        }
        Optional<Integer> slots = dialect.load(answer.headers()).map(ReportedServerLoad::slots);
        return dialect.instance(answer.headers())
                .flatMap(instance -> slots.filter(count -> count > 0).map(count -> new Announcement()
                        .withService(localServer.service())
                        .withHost(localServer.address().getHostString())
                        .withPort(localServer.address().getPort())
                        .withSlots(count)
                        .withConnections(ServerTracker.DEFAULT_CONNECTIONS)
                        .withInstance(instance)
                        .withColdMillis(dialect.coldMillis(answer.headers()).orElse(-1))));
    }
}
