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

/**
 * Serves the health, metrics, members and servers known to a node, and receives announcements of its backend server.
 */
public final class NodeResource {

    /** The nodes known to this node. */
    private final MemberTable members;

    /** The catalogue in force at this node. */
    private final CatalogueReplica replica;

    /** The servers known to this node. */
    private final ServerDirectory directory;

    /** Metrics of the node. */
    private final MetricRegistry metrics;

    /** Returns whether the node accepts calls. */
    private final BooleanSupplier ready;

    /** Receives the announcements of the backend server. */
    private final Consumer<Announcement> announcementHandler;

    private final Clock clock;

    /** Serializes metrics as JSON. */
    private final ObjectMapper metricsMapper =
            new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MICROSECONDS, false));

    /**
     * Creates a resource.
     *
     * @param members             the nodes known to this node
     * @param replica             the catalogue in force at this node
     * @param directory           the servers known to this node
     * @param metrics             metrics of the node
     * @param ready               returns whether the node accepts calls
     * @param announcementHandler receives the announcements of the backend server
     * @param clock               source of time
     */
    public NodeResource(
            MemberTable members,
            CatalogueReplica replica,
            ServerDirectory directory,
            MetricRegistry metrics,
            BooleanSupplier ready,
            Consumer<Announcement> announcementHandler,
            Clock clock) {
        this.members = members;
        this.replica = replica;
        this.directory = directory;
        this.metrics = metrics;
        this.ready = ready;
        this.announcementHandler = announcementHandler;
        this.clock = clock;
    }

    /**
     * Adds the resources to a server.
     *
     * @param server builder of the server
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
     * Returns whether the node accepts calls, and its catalogue revision.
     *
     * @return the response; its status is 503 if the node does not accept calls
     */
    private HttpResponse readiness() {
        Map<String, Object> body = Map.of("ready", ready.getAsBoolean(), "revision", replica.revision());
        HttpStatus status = ready.getAsBoolean() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE;
        return HttpResponse.of(status, MediaType.JSON, Schema.write(body));
    }

    /**
     * Returns the metrics as JSON.
     *
     * @return the response
     */
    private HttpResponse metricsJson() {
        try {
            return HttpResponse.of(HttpStatus.OK, MediaType.JSON, metricsMapper.writeValueAsString(metrics));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Lists the servers of all services.
     *
     * @return the response
     */
    private HttpResponse servers() {
        Catalogue current = replica.current();
        List<ServerView> views = new ArrayList<>();
        if (current != null) {
            current.documents().forEach(revised -> views.addAll(views(ServiceName.of(revised.getService()))));
        }
        return Json.of(views);
    }

    /**
     * Explains which server this node would choose now for a call to a service.
     *
     * @param service name of the service
     * @return the response, with the chosen server and the state of all servers of the service
     */
    private HttpResponse explain(String service) {
        Catalogue current = replica.current();
        CatalogueEntry entry = current == null ? null : current.find(ServiceName.of(service));
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
     * Returns views of the servers of a service.
     *
     * @param service name of the service
     * @return a view of each server
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
     * Receives an announcement of the backend server.
     *
     * @param request the request
     * @return the response
     */
    private HttpResponse announce(HttpRequest request) {
        return HttpResponse.of(request.aggregate()
                .thenApply(aggregated -> {
                    announcementHandler.accept(Schema.ANNOUNCEMENT.read(aggregated.contentUtf8()));
                    return HttpResponse.of(HttpStatus.NO_CONTENT);
                })
                .exceptionally(Problem::response));
    }

    /**
     * State of a server as known to this node.
     *
     * @param service         name of its service
     * @param node            id of the node beside the server
     * @param serving         whether it accepts new calls
     * @param ejected         whether it is ejected as an outlier
     * @param failureRate     smoothed proportion of failed calls, from 0 to 1
     * @param inFlight        number of calls of this entry in flight at the server
     * @param busy            estimated number of calls at the server
     * @param estimateMicros  estimated time to an answer, in microseconds
     * @param reportAgeMicros age of the last load report, in microseconds; -1 if there is none
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
