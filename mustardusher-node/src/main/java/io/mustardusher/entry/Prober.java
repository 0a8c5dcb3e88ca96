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
 * Probes gates for their load within the budget that the catalogue sets. Probes are driven by time rather than by
 * calls, so a surge of calls cannot raise their rate. Each gate enforces the same budget over the probes of all
 * entries.
 */
public final class Prober {

    /** Age up to which a load report counts as fresh and its server is not probed, in nanoseconds. */
    private static final long FRESH_REPORT_NANOS = 20 * Clock.NANOS_PER_MILLI;

    /** Time after its last call for which the servers of a service are probed, in nanoseconds. */
    private static final long ACTIVE_SERVICE_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Timeout of a probe, in milliseconds. */
    private static final long PROBE_TIMEOUT_MILLIS = 100;

    /** Servers to probe. */
    private final ServerDirectory directory;

    /** The gate of this node. */
    private final Gate gate;

    /** The catalogue in force; supplies {@code null} before the first one has arrived. */
    private final Supplier<Catalogue> catalogue;

    /** Frame address of a server's node. */
    private final Function<ServerLoad, Optional<InetSocketAddress>> address;

    /** Client of other nodes. */
    private final Peers peers;

    private final Clock clock;

    /** Budgets and times of the last call by service. */
    private final Map<ServiceName, ServiceProbes> services = new ConcurrentHashMap<>();

    /** Budget of the probes that the gate of this node answers. */
    private final TokenBucket answerBudget;

    /** Probes sent. */
    private final Meter probes;

    /**
     * Creates a prober.
     *
     * @param directory servers to probe
     * @param gate      the gate of this node
     * @param catalogue the catalogue in force; supplies {@code null} before the first one has arrived
     * @param address   frame address of a server's node
     * @param peers     client of other nodes
     * @param clock     source of time
     * @param metrics   registry of metrics
     */
    public Prober(
            ServerDirectory directory,
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
        this.answerBudget = new TokenBucket(clock, 0, 0);
        this.probes = metrics.meter("entry.probes");
    }

    /**
     * Records a call to a service, whose servers are then probed.
     *
     * @param entry catalogue entry of the service
     */
    public void recordCall(CatalogueEntry entry) {
        services.computeIfAbsent(entry.service(), name -> new ServiceProbes(clock)).lastCallNanos = clock.nanoTime();
    }

    /** Sends the probes that are due. Runs several times per second. */
    public void tick() {
        Catalogue current = catalogue.get();
        if (current == null) {
            return;
        }
        long now = clock.nanoTime();
        services.forEach((service, state) -> {
            CatalogueEntry entry = current.find(service);
            if (entry != null && now - state.lastCallNanos < ACTIVE_SERVICE_NANOS) {
                state.budget.resize(entry.probesPerSecond(), burst(entry.probesPerSecond()));
                probe(service, state, now);
            }
        });
    }

    /**
     * Answers a probe with the load of this node's gate, or without a load if the gate's budget is spent.
     *
     * @param request the probe
     * @return the answer
     */
    public CompletableFuture<ProbeAnswer> answer(ProbeQuestion request) {
        Catalogue current = catalogue.get();
        CatalogueEntry entry = current == null ? null : current.find(ServiceName.of(request.getService()));
        int rate = entry == null ? 0 : entry.probesPerSecond();
        answerBudget.resize(rate, burst(rate));
        boolean answered = answerBudget.tryTake();
        String load = answered ? gate.load().toHeader() : "";
        return CompletableFuture.completedFuture(
                new ProbeAnswer().withAnswered(answered).withLoad(load));
    }

    /**
     * Probes the server of a service whose load report is oldest, if the budget allows.
     *
     * @param service name of the service
     * @param state   probe budget of the service
     * @param now     current time, in nanoseconds
     */
    private void probe(ServiceName service, ServiceProbes state, long now) {
        ServerLoad stalest = findStalest(directory.pool(service), now);
        if (stalest == null) {
            return;
        }
        Optional<InetSocketAddress> target = address.apply(stalest);
        if (target.isEmpty() || !state.budget.tryTake()) {
            return;
        }
        probes.mark();
        ProbeQuestion request = new ProbeQuestion().withService(service.value());
        CompletableFuture<ProbeAnswer> answer =
                peers.request(target.get(), FrameKind.PROBE, request, PROBE_TIMEOUT_MILLIS);
        answer.thenAccept(
                reply -> LoadReport.parse(reply.getLoad()).ifPresent(load -> stalest.update(load, clock.nanoTime())));
    }

    /**
     * Returns the serving server whose load report is oldest.
     *
     * @param pool servers of a service
     * @param now  current time, in nanoseconds
     * @return the server, or {@code null} if every report is fresh
     */
    private static ServerLoad findStalest(ServerPool pool, long now) {
        ServerLoad stalest = null;
        long oldest = FRESH_REPORT_NANOS;
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
     * Returns the burst size of a probe rate: the probes of 50 ms, but at least one.
     *
     * @param perSecond probes per second
     * @return number of probes that may be sent at once; 0 if the rate is 0
     */
    private static double burst(int perSecond) {
        return perSecond == 0 ? 0 : Math.max(1, perSecond / 20.0);
    }

    /** Probe budget of a service and the time of its last call. */
    private static final class ServiceProbes {

        private final TokenBucket budget;

        /** Time of the last call, in nanoseconds of the clock. */
        private volatile long lastCallNanos;

        ServiceProbes(Clock clock) {
            this.budget = new TokenBucket(clock, 1, 1);
        }
    }
}
