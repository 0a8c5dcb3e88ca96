package io.mustardusher.gate;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import io.mustardusher.admission.Admission;
import io.mustardusher.admission.Stall;
import io.mustardusher.call.Exchange;
import io.mustardusher.generated.Announcement;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.server.ServerLink;
import io.mustardusher.time.Clock;

/** Makes gates that admit calls for a server which exists in the test only. */
public final class OpenGate {

    /** Service of the server. */
    public static final String SERVICE = "s";

    private static final MetricRegistry METRICS = new MetricRegistry();

    private OpenGate() {}

    /**
     * Makes a gate.
     *
     * @param clock  source of time
     * @param timers runs timers
     * @param slots  slots of the server
     * @param server asked for the answer to each call that reaches the server
     * @return the gate
     */
    public static Gate of(
            Clock clock,
            ScheduledExecutorService timers,
            int slots,
            Supplier<CompletableFuture<AggregatedHttpResponse>> server) {
        CrashDetector crashes = new CrashDetector(0, () -> new InetSocketAddress(0), timers, seen -> {}, () -> {});
        Gate gate = new Gate(
                clock,
                new SuspectTable(clock),
                announced -> new Answering(server),
                timers,
                crashes,
                new Admission(clock),
                new Stall(clock),
                call -> "-",
                METRICS);
        gate.announced(new Announcement()
                .withService(SERVICE)
                .withHost("127.0.0.1")
                .withPort(1L)
                .withSlots((long) slots)
                .withState(Announcement.State.SERVING));
        gate.limits(1, 0);
        return gate;
    }

    private record Answering(Supplier<CompletableFuture<AggregatedHttpResponse>> server) implements ServerLink {

        @Override
        public Exchange send(HttpRequest call, long leftNanos) {
            return Exchange.ofAggregated(server.get(), () -> {});
        }

        @Override
        public CompletableFuture<Void> probe(String path) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void close() {
            // nothing is open
        }
    }
}
