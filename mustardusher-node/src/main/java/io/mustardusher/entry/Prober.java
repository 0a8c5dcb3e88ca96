package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Supplier;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.mustardusher.budget.TokenBucket;
import io.mustardusher.catalogue.Catalogue;
import io.mustardusher.catalogue.CatalogueEntry;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.gate.Gate;
import io.mustardusher.generated.ProbeAnswer;
import io.mustardusher.generated.ProbeQuestion;
import io.mustardusher.routing.LoadReport;
import io.mustardusher.routing.ServerLoad;
import io.mustardusher.routing.ServerPool;
import io.mustardusher.time.Clock;

/**
 * Asks gates for their load within the catalogue's budget. It is driven by time, not by calls, so that a surge cannot
 * raise it; the gate holds the same budget against all entries together.
 */
public final class Prober {

    /** Age below which a report is not renewed, in nanoseconds. */
    private static final long FRESH_NANOS = 20 * Clock.NANOS_PER_MILLI;

    /** Time for which a service counts as called, in nanoseconds. */
    private static final long CALLED_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Time allowed for an answer, in milliseconds. */
    private static final long ASK_MILLIS = 100;

    /** Servers that are called. */
    private final Directory directory;

    /** Gate of this node. */
    private final Gate gate;

    /** The catalogue in force. */
    private final Supplier<Catalogue> catalogue;

    /** Address for frames of a server's node. */
    private final Function<ServerLoad, Optional<InetSocketAddress>> address;

    /** Asks other nodes. */
    private final Peers peers;

    private final Clock clock;

    /** Budgets and last calls by service. */
    private final Map<ServiceName, Called> called = new ConcurrentHashMap<>();

    /** Budget of the gate. */
    private final TokenBucket answers;

    /** Probes sent. */
    private final Meter sent;

    /**
     * Creates a prober.
     *
     * @param directory servers that are called
     * @param gate      gate of this node
     * @param catalogue the catalogue in force
     * @param address   address for frames of a server's node
     * @param peers     asks other nodes
     * @param clock     source of time
     * @param metrics   registry of metrics
     */
    public Prober(
            Directory directory,
            Gate gate,
            Supplier<Catalogue> catalogue,
            Function<ServerLoad, Optional<InetSocketAddress>> address,
            Peers peers,
            Clock clock,
            MetricRegistry metrics) {
        this.directory = directory;
        this.gate = gate;
        this.catalogue = catalogue;
        this.address = address;
        this.peers = peers;
        this.clock = clock;
        this.answers = new TokenBucket(clock, 0, 0);
        this.sent = metrics.meter("entry.probes");
    }

    /**
     * Notes that a service is called.
     *
     * @param entry its entry
     */
    public void called(CatalogueEntry entry) {
        called.computeIfAbsent(entry.service(), name -> new Called(clock)).lastNanos = clock.nanoTime();
    }

    /** Sends the probes that are due; called several times a second. */
    public void tick() {
        Catalogue present = catalogue.get();
        if (present == null) {
            return;
        }
        long now = clock.nanoTime();
        called.forEach((service, state) -> {
            CatalogueEntry entry = present.find(service);
            if (entry != null && now - state.lastNanos < CALLED_NANOS) {
                state.budget.resize(entry.probesPerSecond(), burst(entry.probesPerSecond()));
                probe(service, state, now);
            }
        });
    }

    /**
     * Answers a probe within the gate's budget.
     *
     * @param question the probe
     * @return the answer
     */
    public CompletableFuture<ProbeAnswer> answer(ProbeQuestion question) {
        Catalogue present = catalogue.get();
        CatalogueEntry entry = present == null ? null : present.find(ServiceName.of(question.getService()));
        int rate = entry == null ? 0 : entry.probesPerSecond();
        answers.resize(rate, burst(rate));
        boolean answered = answers.tryTake();
        String load = answered ? gate.load().toHeader() : "";
        return CompletableFuture.completedFuture(
                new ProbeAnswer().withAnswered(answered).withLoad(load));
    }

    /**
     * Sends one probe to the server of a service whose report is oldest, if the budget allows.
     *
     * @param service name of the service
     * @param state   budget of the service
     * @param now     present time, in nanoseconds
     */
    private void probe(ServiceName service, Called state, long now) {
        ServerLoad stalest = stalest(directory.pool(service), now);
        if (stalest == null) {
            return;
        }
        Optional<InetSocketAddress> target = address.apply(stalest);
        if (target.isEmpty() || !state.budget.tryTake()) {
            return;
        }
        sent.mark();
        ProbeQuestion question = new ProbeQuestion().withService(service.value());
        CompletableFuture<ProbeAnswer> answer = peers.ask(target.get(), FrameKind.PROBE, question, ASK_MILLIS);
        answer.thenAccept(
                reply -> LoadReport.parse(reply.getLoad()).ifPresent(load -> stalest.update(load, clock.nanoTime())));
    }

    /**
     * Finds the server whose report is oldest.
     *
     * @param pool the servers
     * @param now  present time, in nanoseconds
     * @return the server, or {@code null} if all reports are fresh
     */
    private static ServerLoad stalest(ServerPool pool, long now) {
        ServerLoad stalest = null;
        long oldest = FRESH_NANOS;
        for (int i = 0; i < pool.size(); i++) {
            long age = pool.get(i).reportAgeNanos(now);
            if (pool.get(i).isServing() && age > oldest) {
                oldest = age;
                stalest = pool.get(i);
            }
        }
        return stalest;
    }

    /**
     * Returns the probes allowed at once: those of a twentieth of a second.
     *
     * @param perSecond probes a second
     * @return probes allowed at once
     */
    private static double burst(int perSecond) {
        return perSecond == 0 ? 0 : Math.max(1, perSecond / 20.0);
    }

    /** A service that is called. */
    private static final class Called {

        /** Budget of probes. */
        private final TokenBucket budget;

        /** Time of the last call, in nanoseconds. */
        private volatile long lastNanos;

        /**
         * Creates a service.
         *
         * @param clock source of time
         */
        Called(Clock clock) {
            this.budget = new TokenBucket(clock, 1, 1);
        }
    }
}
