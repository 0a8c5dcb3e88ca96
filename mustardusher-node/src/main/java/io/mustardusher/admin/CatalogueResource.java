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

/** Lets operators read and change the catalogue. */
public final class CatalogueResource {

    /** Allowed characters and length of a change id. */
    private static final Pattern CHANGE_ID_PATTERN = Pattern.compile("[A-Za-z0-9._-]{8,64}");

    /** Allowed characters and length of an author's name. */
    private static final Pattern AUTHOR_PATTERN = Pattern.compile("[\\w.@ -]{1,64}");

    /** Maximum number of changes in a response. */
    private static final int MAX_HISTORY_SIZE = 200;

    /** The catalogue in the table service. */
    private final CatalogueStore store;

    /** The catalogue in force at this node. */
    private final CatalogueReplica replica;

    /** The nodes known to this node. */
    private final MemberTable members;

    /**
     * Creates a resource.
     *
     * @param store   the catalogue in the table service
     * @param replica the catalogue in force at this node
     * @param members the nodes known to this node
     */
    public CatalogueResource(CatalogueStore store, CatalogueReplica replica, MemberTable members) {
        this.store = store;
        this.replica = replica;
        this.members = members;
    }

    /**
     * Adds the resources to a server.
     *
     * @param server builder of the server
     */
    public void addTo(ServerBuilder server) {
        server.route().get("/v1/catalogue").build((context, request) -> listEntries());
        server.route()
                .get("/v1/catalogue/{service}")
                .build((context, request) -> getEntry(context.pathParam("service")));
        server.route().put("/v1/catalogue/{service}").build(this::handleChange);
        server.route().delete("/v1/catalogue/{service}").build(this::handleChange);
        server.route()
                .get("/v1/changes/{change}")
                .build((context, request) -> resolveChange(context.pathParam("change")));
        server.route().get("/v1/history").build((context, request) -> listHistory(context));
        server.route().get("/v1/spread").build((context, request) -> nodesByRevision());
    }

    /**
     * Lists the entries in force at this node.
     *
     * @return the response
     */
    private HttpResponse listEntries() {
        Catalogue current = Optional.ofNullable(replica.current()).orElse(Catalogue.EMPTY);
        List<RevisedEntry> entries = current.documents().stream()
                .filter(revised -> revised.getEntry() != null)
                .sorted((a, b) -> a.getService().compareTo(b.getService()))
                .toList();
        return Json.of(Map.of("revision", current.revision(), "entries", entries));
    }

    /**
     * Returns an entry in force at this node.
     *
     * @param service name of the service
     * @return the response
     */
    private HttpResponse getEntry(String service) {
        Catalogue current = Optional.ofNullable(replica.current()).orElse(Catalogue.EMPTY);
        return current.document(ServiceName.of(service))
                .filter(revised -> revised.getEntry() != null)
                .map(Json::of)
                .orElseGet(() -> Problem.response(ResultCode.ENTRY_NOT_FOUND, "no such entry"));
    }

    /**
     * Handles a request to write or remove an entry.
     *
     * @param context context of the request
     * @param request the request
     * @return the response
     */
    private HttpResponse handleChange(ServiceRequestContext context, HttpRequest request) {
        String service = context.pathParam("service");
        return HttpResponse.of(request.aggregate()
                .thenCompose(aggregated -> commit(parseChange(service, aggregated)))
                .exceptionally(Problem::response));
    }

    /**
     * Commits a change to the table service. If it is accepted, this node then fetches and applies it.
     *
     * @param change the change
     * @return the response
     */
    private CompletableFuture<HttpResponse> commit(ChangeRequest change) {
        return store.apply(change).handle((record, failure) -> {
            if (failure != null) {
                logRejection(change, failure);
                return Problem.response(failure);
            }
            NodeLog.LOG.changeAccepted(record.getChange(), record.getService(), record.getRevision());
            store.since(replica.revision()).thenAccept(delta -> replica.apply(delta, "operator"));
            return Json.of(record);
        });
    }

    /**
     * Parses a request to write or remove an entry.
     *
     * @param service name of the service
     * @param request the request
     * @return the change
     */
    private static ChangeRequest parseChange(String service, AggregatedHttpRequest request) {
        String change = header(request, "idempotency-key", CHANGE_ID_PATTERN, "");
        String author = header(request, "from", AUTHOR_PATTERN, "unnamed");
        String expectedRevision = header(request, "if-match", Pattern.compile("\"?\\d{1,18}\"?"), "0");
        long revision = Long.parseLong(expectedRevision.replace("\"", ""));
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
     * Returns the value of a header, or throws a {@link MustardusherException} if it is malformed.
     *
     * @param request      the request
     * @param name         name of the header
     * @param pattern      pattern that the value must match
     * @param defaultValue value if the header is absent
     * @return the value
     */
    private static String header(AggregatedHttpRequest request, String name, Pattern pattern, String defaultValue) {
        String value = request.headers().get(name, defaultValue);
        if (!pattern.matcher(value).matches()) {
            throw new MustardusherException(ResultCode.HEADER_MALFORMED, "header " + name);
        }
        return value;
    }

    /**
     * Determines whether a change was accepted. If it was not, its id is made void, so that it cannot be accepted
     * later.
     *
     * @param change id of the change
     * @return the response, with the record of the change if it was accepted
     */
    private HttpResponse resolveChange(String change) {
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
     * Lists the accepted changes above the revision in the query parameter {@code since}.
     *
     * @param context context of the request
     * @return the response
     */
    private HttpResponse listHistory(ServiceRequestContext context) {
        long since =
                Long.parseLong(Optional.ofNullable(context.queryParam("since")).orElse("0"));
        return HttpResponse.of(store.history(since, MAX_HISTORY_SIZE)
                .handle((List<ChangeRecord> changes, Throwable failure) ->
                        failure == null ? Json.of(changes) : Problem.response(failure)));
    }

    /**
     * Counts the nodes of each failure domain by the catalogue revision in force at them.
     *
     * @return the response
     */
    private HttpResponse nodesByRevision() {
        Map<MemberRecord, CompletableFuture<Long>> revisions = new java.util.IdentityHashMap<>();
        for (MemberRecord member : members.members()) {
            if (MemberState.of(member).isActive()) {
                boolean self = member.getId().equals(members.self().getId());
                revisions.put(
                        member,
                        self
                                ? CompletableFuture.completedFuture(replica.revision())
                                : replica.queryRevision(member).exceptionally(failure -> -1L));
            }
        }
        return HttpResponse.of(CompletableFuture.allOf(revisions.values().toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> {
                    Map<String, Map<String, Integer>> domains = new TreeMap<>();
                    revisions.forEach((member, revision) -> {
                        String key = revision.join() < 0 ? "no answer" : Long.toString(revision.join());
                        domains.computeIfAbsent(member.getRegion() + "/" + member.getDomain(), name -> new TreeMap<>())
                                .merge(key, 1, Integer::sum);
                    });
                    return Json.of(Map.of("revision", replica.revision(), "nodesByRevision", domains));
                }));
    }

    /**
     * Logs a rejected change.
     *
     * @param change  the change
     * @param failure cause of the rejection
     */
    private static void logRejection(ChangeRequest change, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        int number = cause instanceof MustardusherException coded ? coded.code().number() : 0;
        NodeLog.LOG.changeRefused(change.change(), change.service(), number, String.valueOf(cause.getMessage()));
    }
}
