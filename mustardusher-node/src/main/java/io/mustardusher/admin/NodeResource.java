package io.mustardusher.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.ServerBuilder;
import io.mustardusher.call.Problem;
import io.mustardusher.catalogue.Catalogue;
import io.mustardusher.catalogue.CatalogueEntry;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.entry.ServerDirectory;
import io.mustardusher.generated.Announcement;
import io.mustardusher.gossip.CatalogueReplica;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.ExcludedServers;
import io.mustardusher.routing.ServerLoad;
import io.mustardusher.routing.ServerPool;
import io.mustardusher.schema.Schema;
import io.mustardusher.time.Clock;

/** Health, metrics, members and servers as a node sees them, and the announcements of its backend server. */
public final class NodeResource {

    /** What is known of nodes. */
    private final MemberTable members;

    /** The catalogue in force. */
    private final CatalogueReplica spread;

    /** What is known of servers. */
    private final ServerDirectory directory;

    /** Metrics of the node. */
    private final MetricRegistry metrics;

    /** Whether the node takes calls. */
    private final BooleanSupplier ready;

    /** Told of announcements. */
    private final Consumer<Announcement> announcements;

    private final Clock clock;

    /** Writes metrics as JSON. */
    private final ObjectMapper metricsMapper =
            new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MICROSECONDS, false));

    /**
     * Creates a resource.
     *
     * @param members       what is known of nodes
     * @param spread        the catalogue in force
     * @param directory     what is known of servers
     * @param metrics       metrics of the node
     * @param ready         whether the node takes calls
     * @param announcements told of announcements
     * @param clock         source of time
     */
    public NodeResource(
            MemberTable members,
            CatalogueReplica spread,
            ServerDirectory directory,
            MetricRegistry metrics,
            BooleanSupplier ready,
            Consumer<Announcement> announcements,
            Clock clock) {
        this.members = members;
        this.spread = spread;
        this.directory = directory;
        this.metrics = metrics;
        this.ready = ready;
        this.announcements = announcements;
        this.clock = clock;
    }

    /**
     * Adds the routes.
     *
     * @param server the server
     */
    public void addTo(ServerBuilder server) {
        server.route().get("/health").build((context, request) -> HttpResponse.of("alive\n"));
        server.route().get("/ready").build((context, request) -> readiness());
        server.route().get("/metrics").build(new MetricsResource(metrics));
        server.route().get("/metrics.json").build((context, request) -> metricsJson());
        server.route().get("/v1/nodes").build((context, request) -> Json.of(members.members()));
        server.route().get("/v1/servers").build((context, request) -> servers());
        server.route().get("/v1/explain/{service}").build((context, request) -> explain(context.pathParam("service")));
        server.route().post("/v1/announce").build((context, request) -> announce(request));
    }

    /**
     * Tells whether the node takes calls.
     *
     * @return the answer
     */
    private HttpResponse readiness() {
        Map<String, Object> body = Map.of("ready", ready.getAsBoolean(), "revision", spread.revision());
        HttpStatus status = ready.getAsBoolean() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE;
        return HttpResponse.of(status, MediaType.JSON, Schema.write(body));
    }

    /**
     * Writes the metrics as JSON.
     *
     * @return the answer
     */
    private HttpResponse metricsJson() {
        try {
            return HttpResponse.of(HttpStatus.OK, MediaType.JSON, metricsMapper.writeValueAsString(metrics));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Lists the servers of every service.
     *
     * @return the answer
     */
    private HttpResponse servers() {
        Catalogue present = spread.current();
        List<ServerView> views = new ArrayList<>();
        if (present != null) {
            present.documents().forEach(revised -> views.addAll(views(ServiceName.of(revised.getService()))));
        }
        return Json.of(views);
    }

    /**
     * Tells what this node would choose now and why.
     *
     * @param service name of the service
     * @return the answer
     */
    private HttpResponse explain(String service) {
        Catalogue present = spread.current();
        CatalogueEntry entry = present == null ? null : present.find(ServiceName.of(service));
        if (entry == null) {
            return Problem.response(ResultCode.ENTRY_NOT_FOUND, "no such entry");
        }
        ServerPool pool = directory.pool(entry.service());
        ServerLoad chosen =
                entry.policy().choose(pool, new ExcludedServers(), ThreadLocalRandom.current(), clock.nanoTime());
        return Json.of(Map.of(
                "service",
                service,
                "policy",
                entry.policy().token(),
                "choice",
                chosen == null ? "none" : chosen.node().value(),
                "servers",
                views(entry.service())));
    }

    /**
     * Describes the servers of a service.
     *
     * @param service name of the service
     * @return the servers
     */
    private List<ServerView> views(ServiceName service) {
        ServerPool pool = directory.pool(service);
        List<ServerView> views = new ArrayList<>();
        long now = clock.nanoTime();
        for (int i = 0; i < pool.size(); i++) {
            ServerLoad load = pool.get(i);
            long age = load.reportAgeNanos(now);
            views.add(new ServerView(
                    service.value(),
                    load.node().value(),
                    load.isServing(),
                    load.ejection().isEjected(now),
                    load.ejection().failureRate(now),
                    load.inFlight(),
                    load.estimatedCalls(now),
                    (long) (load.estimatedNanos(now) / Clock.NANOS_PER_MICRO),
                    age == Long.MAX_VALUE ? -1 : age / Clock.NANOS_PER_MICRO));
        }
        return views;
    }

    /**
     * Takes an announcement.
     *
     * @param request the request
     * @return the answer
     */
    private HttpResponse announce(HttpRequest request) {
        return HttpResponse.of(request.aggregate()
                .thenApply(aggregated -> {
                    announcements.accept(Schema.ANNOUNCEMENT.read(aggregated.contentUtf8()));
                    return HttpResponse.of(HttpStatus.NO_CONTENT);
                })
                .exceptionally(Problem::response));
    }

    /**
     * A server as this node sees it.
     *
     * @param service         its service
     * @param node            node beside it
     * @param serving         whether it takes new work
     * @param ejected         whether it is left out for failing
     * @param failureRate     smoothed share of failed calls
     * @param inFlight        calls of this entry at the server
     * @param busy            estimated calls at the server
     * @param estimateMicros  estimated time to an answer, in microseconds
     * @param reportAgeMicros age of the last report, in microseconds; -1 without one
     */
    private record ServerView(
            String service,
            String node,
            boolean serving,
            boolean ejected,
            double failureRate,
            int inFlight,
            double busy,
            long estimateMicros,
            long reportAgeMicros) {}
}
