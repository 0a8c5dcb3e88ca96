package io.mustardusher.admin;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.regex.Pattern;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.mustardusher.call.Problem;
import io.mustardusher.catalogue.Catalogue;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.generated.ChangeRecord;
import io.mustardusher.generated.EntryDocument;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.RevisedEntry;
import io.mustardusher.gossip.CatalogueReplica;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.schema.Schema;
import io.mustardusher.store.CatalogueStore;
import io.mustardusher.store.ChangeRequest;

/** The catalogue as operators read and change it. */
public final class CatalogueResource {

    /** Form of a change's id. */
    private static final Pattern CHANGE_ID = Pattern.compile("[A-Za-z0-9._-]{8,64}");

    /** Form of an author's name. */
    private static final Pattern AUTHOR = Pattern.compile("[\\w.@ -]{1,64}");

    /** Most changes listed. */
    private static final int HISTORY_LIMIT = 200;

    /** The catalogue in the table service. */
    private final CatalogueStore store;

    /** The catalogue in force. */
    private final CatalogueReplica spread;

    /** What is known of nodes. */
    private final MemberTable members;

    /**
     * Creates a resource.
     *
     * @param store   the catalogue in the table service
     * @param spread  the catalogue in force
     * @param members what is known of nodes
     */
    public CatalogueResource(CatalogueStore store, CatalogueReplica spread, MemberTable members) {
        this.store = store;
        this.spread = spread;
        this.members = members;
    }

    /**
     * Adds the routes.
     *
     * @param server the server
     */
    public void addTo(ServerBuilder server) {
        server.route().get("/v1/catalogue").build((context, request) -> list());
        server.route().get("/v1/catalogue/{service}").build((context, request) -> get(context.pathParam("service")));
        server.route().put("/v1/catalogue/{service}").build(this::change);
        server.route().delete("/v1/catalogue/{service}").build(this::change);
        server.route().get("/v1/changes/{change}").build((context, request) -> settle(context.pathParam("change")));
        server.route().get("/v1/history").build((context, request) -> history(context));
        server.route().get("/v1/spread").build((context, request) -> inForce());
    }

    /**
     * Lists the entries in force.
     *
     * @return the answer
     */
    private HttpResponse list() {
        Catalogue present = Optional.ofNullable(spread.current()).orElse(Catalogue.EMPTY);
        List<RevisedEntry> entries = present.documents().stream()
                .filter(revised -> revised.getEntry() != null)
                .sorted((a, b) -> a.getService().compareTo(b.getService()))
                .toList();
        return Json.of(Map.of("revision", present.revision(), "entries", entries));
    }

    /**
     * Returns an entry in force.
     *
     * @param service name of the service
     * @return the answer
     */
    private HttpResponse get(String service) {
        Catalogue present = Optional.ofNullable(spread.current()).orElse(Catalogue.EMPTY);
        return present.document(ServiceName.of(service))
                .filter(revised -> revised.getEntry() != null)
                .map(Json::of)
                .orElseGet(() -> Problem.response(ResultCode.ENTRY_NOT_FOUND, "no such entry"));
    }

    /**
     * Changes or removes an entry.
     *
     * @param context context of the request
     * @param request the request
     * @return the answer
     */
    private HttpResponse change(ServiceRequestContext context, HttpRequest request) {
        String service = context.pathParam("service");
        return HttpResponse.of(request.aggregate()
                .thenCompose(aggregated -> change(read(service, aggregated)))
                .exceptionally(Problem::response));
    }

    /**
     * Makes a change.
     *
     * @param change the change
     * @return the answer
     */
    private CompletableFuture<HttpResponse> change(ChangeRequest change) {
        return store.apply(change).handle((record, failure) -> {
            if (failure != null) {
                logRefusal(change, failure);
                return Problem.response(failure);
            }
            NodeLog.LOG.changeAccepted(record.getChange(), record.getService(), record.getRevision());
            store.since(spread.revision()).thenAccept(delta -> spread.apply(delta, "operator"));
            return Json.of(record);
        });
    }

    /**
     * Reads a change.
     *
     * @param service name of the service
     * @param request the request
     * @return the change
     */
    private static ChangeRequest read(String service, AggregatedHttpRequest request) {
        String change = header(request, "idempotency-key", CHANGE_ID, "");
        String author = header(request, "from", AUTHOR, "unnamed");
        String match = header(request, "if-match", Pattern.compile("\"?\\d{1,18}\"?"), "0");
        long revision = Long.parseLong(match.replace("\"", ""));
        if (request.method() == HttpMethod.DELETE) {
            return new ChangeRequest(change, service, author, revision, Optional.empty());
        }
        EntryDocument entry = Schema.ENTRY.read(request.contentUtf8());
        if (!entry.getService().equals(service)) {
            throw new MustardusherException(ResultCode.ENTRY_INVALID, "the entry names another service");
        }
        return new ChangeRequest(change, service, author, revision, Optional.of(entry));
    }

    /**
     * Reads a header.
     *
     * @param request  the request
     * @param name     name of the header
     * @param form     form of its value
     * @param fallback value if it is absent
     * @return the value
     */
    private static String header(AggregatedHttpRequest request, String name, Pattern form, String fallback) {
        String value = request.headers().get(name, fallback);
        if (!form.matcher(value).matches()) {
            throw new MustardusherException(ResultCode.HEADER_MALFORMED, "header " + name);
        }
        return value;
    }

    /**
     * Settles the fate of a change.
     *
     * @param change its id
     * @return the answer
     */
    private HttpResponse settle(String change) {
        return HttpResponse.of(store.resolveChange(change).handle((record, failure) -> {
            if (failure != null) {
                return Problem.response(failure);
            }
            return record.map(Json::of)
                    .orElseGet(() -> Problem.response(
                            ResultCode.CHANGE_NOT_FOUND, "not accepted, and never will be under this id"));
        }));
    }

    /**
     * Lists changes.
     *
     * @param context context of the request
     * @return the answer
     */
    private HttpResponse history(ServiceRequestContext context) {
        long since =
                Long.parseLong(Optional.ofNullable(context.queryParam("since")).orElse("0"));
        return HttpResponse.of(store.history(since, HISTORY_LIMIT)
                .handle((List<ChangeRecord> changes, Throwable failure) ->
                        failure == null ? Json.of(changes) : Problem.response(failure)));
    }

    /**
     * Counts, for each failure domain, the nodes by the revision in force at them.
     *
     * @return the answer
     */
    private HttpResponse inForce() {
        Map<MemberRecord, CompletableFuture<Long>> asked = new java.util.IdentityHashMap<>();
        for (MemberRecord member : members.members()) {
            if (MemberState.of(member).isActive()) {
                boolean self = member.getId().equals(members.self().getId());
                asked.put(
                        member,
                        self
                                ? CompletableFuture.completedFuture(spread.revision())
                                : spread.queryRevision(member).exceptionally(failure -> -1L));
            }
        }
        return HttpResponse.of(CompletableFuture.allOf(asked.values().toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> {
                    Map<String, Map<String, Integer>> domains = new TreeMap<>();
                    asked.forEach((member, revision) -> {
                        String key = revision.join() < 0 ? "no answer" : Long.toString(revision.join());
                        domains.computeIfAbsent(member.getRegion() + "/" + member.getDomain(), name -> new TreeMap<>())
                                .merge(key, 1, Integer::sum);
                    });
                    return Json.of(Map.of("revision", spread.revision(), "nodesByRevision", domains));
                }));
    }

    /**
     * Logs a refused change.
     *
     * @param change  the change
     * @param failure why
     */
    private static void logRefusal(ChangeRequest change, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        int number = cause instanceof MustardusherException coded ? coded.code().number() : 0;
        NodeLog.LOG.changeRefused(change.change(), change.service(), number, String.valueOf(cause.getMessage()));
    }
}
