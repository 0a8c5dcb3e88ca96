package io.mustardusher.gate;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import io.mustardusher.admission.Admission;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.call.Exchange;
import io.mustardusher.generated.Announcement;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.server.ServerLink;
import io.mustardusher.time.Clock;

/** Creates gates that admit calls for a simulated backend server. */
public final class GateFixture {

    /** Service of the simulated server. */
    public static final String SERVICE = "s";

    /** Header with the identifier of a call. */
    static final String CALL_ID = "x-call-id";

    static final MetricRegistry METRICS = new MetricRegistry();

    private GateFixture() {}

    /**
     * Creates a gate with an announced server that is serving.
     *
     * @param clock  source of time
     * @param timers schedules the removal of queued calls at their deadlines
     * @param slots  slots of the server
     * @param server returns the response to each call that reaches the server
     * @return the gate
     */
    public static Gate of(
            Clock clock,
            ScheduledExecutorService timers,
            int slots,
            Supplier<CompletableFuture<AggregatedHttpResponse>> server) {
        return of(clock, timers, new Admission(clock), null, slots, new SimulatedLink(server));
    }

    /**
     * Creates a gate with an announced server that is serving.
     *
     * @param clock  source of time
     * @param timers schedules the removal of queued calls at their deadlines
     * @param slots  slots of the server
     * @param link   link to the server
     * @return the gate
     */
    public static Gate of(Clock clock, ScheduledExecutorService timers, int slots, ServerLink link) {
        return of(clock, timers, new Admission(clock), null, slots, link);
    }

    /**
     * Creates a gate with an announced server that is serving.
     *
     * @param clock     source of time
     * @param timers    schedules the removal of queued calls at their deadlines
     * @param admission admission control of the gate
     * @param instance  identifier of the server instance, or {@code null}
     * @param slots     slots of the server
     * @param link      link to the server
     * @return the gate
     */
    static Gate of(
            Clock clock,
            ScheduledExecutorService timers,
            Admission admission,
            String instance,
            int slots,
            ServerLink link) {
        CrashDetector crashDetector =
                new CrashDetector(0, () -> new InetSocketAddress(0), timers, suspect -> {}, () -> {});
        Gate gate = new Gate(
                clock,
                new SuspectTable(clock),
                announcement -> link,
                timers,
                crashDetector,
                admission,
                new EventLoopDelay(clock),
                call -> call.get(CALL_ID, "-"),
                METRICS);
        gate.applyAnnouncement(new Announcement()
                .withService(SERVICE)
                .withHost("127.0.0.1")
                .withPort(1L)
                .withInstance(instance)
                .withSlots((long) slots)
                .withState(Announcement.State.SERVING));
        gate.configureLimits(1, 0);
        return gate;
    }

    record SimulatedLink(Supplier<CompletableFuture<AggregatedHttpResponse>> server) implements ServerLink {

        @Override
        public Exchange send(HttpRequest call, long remainingNanos) {
            return Exchange.ofAggregated(server.get(), () -> {});
        }

        @Override
        public CompletableFuture<Void> probe(String path) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void close() {
            // There are no connections.
        }
    }
}
