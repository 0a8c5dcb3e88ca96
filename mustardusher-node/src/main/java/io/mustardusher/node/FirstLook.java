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

/** Asks the server beside the node for itself until it is known. */
final class FirstLook {

    /** Time between two questions, in milliseconds; a server that has just started may not listen yet. */
    static final long EVERY_MILLIS = 100;

    /** Time allowed for an answer, in nanoseconds: the next question comes then. */
    private static final long ANSWER_NANOS = EVERY_MILLIS * Clock.NANOS_PER_MILLI;

    private final Surroundings.Neighbour neighbour;
    private final ServerDialect dialect;
    private final UnaryOperator<String> healthPaths;
    private final BufferedServerLink link;
    private final ServerWatch server;

    /**
     * Creates a look that has not begun.
     *
     * @param neighbour   where the server is
     * @param dialect     what its answers say
     * @param healthPaths path at which servers of a service tell their health
     * @param link        way to the server
     * @param server      told what the server answers
     */
    FirstLook(
            Surroundings.Neighbour neighbour,
            ServerDialect dialect,
            UnaryOperator<String> healthPaths,
            BufferedServerLink link,
            ServerWatch server) {
        this.neighbour = neighbour;
        this.dialect = dialect;
        this.healthPaths = healthPaths;
        this.link = link;
        this.server = server;
    }

    /** Asks once, unless the server is known. */
    void tick() {
        if (server.isKnown()) {
            return;
        }
        InetSocketAddress address = neighbour.address();
        RequestHeaders question = RequestHeaders.builder(HttpMethod.GET, healthPaths.apply(neighbour.service()))
                .authority(address.getHostString() + ":" + address.getPort())
                .build();
        link.exchange(AggregatedHttpRequest.of(question), ANSWER_NANOS, true)
                .thenAccept(answer -> describe(neighbour, dialect, answer).ifPresent(server::found));
    }

    // A server that is leaving or failing does not answer 200, and one without figures is left to announce itself.
    static Optional<Announcement> describe(
            Surroundings.Neighbour neighbour, ServerDialect dialect, AggregatedHttpResponse answer) {
        if (!answer.status().equals(HttpStatus.OK)) {
            return Optional.empty();
        }
        Optional<Integer> slots = dialect.load(answer.headers()).map(ReportedServerLoad::slots);
        return dialect.instance(answer.headers())
                .flatMap(instance -> slots.filter(count -> count > 0).map(count -> new Announcement()
                        .withService(neighbour.service())
                        .withHost(neighbour.address().getHostString())
                        .withPort(neighbour.address().getPort())
                        .withSlots(count)
                        .withConnections(ServerWatch.UNSTATED_CONNECTIONS)
                        .withInstance(instance)));
    }
}
