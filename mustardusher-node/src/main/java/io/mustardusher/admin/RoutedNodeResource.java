package io.mustardusher.admin;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.QueryParams;
import io.mustardusher.account.Account;
import io.mustardusher.account.AccountName;
import io.mustardusher.account.AccountTable;
import io.mustardusher.call.Problem;
import io.mustardusher.entry.AllowanceState;
import io.mustardusher.evacuation.EvacuationOrders;
import io.mustardusher.frame.Credential;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RouteTable;

/**
 * Serves the metrics of a routed node, and a read-only view of its client accounts, allowances, evacuation orders and
 * backend servers. The view requires the shared credential and contains no keys.
 */
public final class RoutedNodeResource {

    /** Number of accounts whose allowances are listed by default. */
    private static final int DEFAULT_ACCOUNTS = 10;

    /** Maximum number of accounts whose allowances are listed. */
    private static final int MAX_ACCOUNTS = 100;

    private static final String VIEW_PREFIX = "/v1/";

    private final MetricsResource metrics;
    private final Credential credential;
    private final Sources sources;

    /** The resources of the view by path. */
    private final Map<String, View> views;

    /**
     * Creates a resource.
     *
     * @param metrics    metrics of the node
     * @param credential shared secret of the nodes
     * @param sources    supply the state to show
     */
    public RoutedNodeResource(MetricsResource metrics, Credential credential, Sources sources) {
        this.metrics = metrics;
        this.credential = credential;
        this.sources = sources;
        views = Map.of(
                "/v1/accounts", query -> Json.of(accounts()),
                "/v1/allowances", this::allowances,
                "/v1/evacuations",
                        query -> Json.of(EvacuationsView.of(sources.evacuation().get())),
                "/v1/servers", query -> Json.of(sources.servers().get()));
    }

    /**
     * Handles a request of an operator.
     *
     * @param request the request
     * @return the part of the view that the path names, or the metrics for other paths
     */
    public HttpResponse handle(HttpRequest request) {
        String target = request.path();
        if (!target.startsWith(VIEW_PREFIX)) {
            return metrics.page();
        }
        if (!credential.matches(request.headers().get(HttpHeaderNames.AUTHORIZATION))) {
            return Problem.response(ResultCode.UNAUTHORIZED, "send the shared credential as a bearer token");
        }
        int queryStart = target.indexOf('?');
        String path = queryStart < 0 ? target : target.substring(0, queryStart);
        View view = views.get(path);
        if (view == null || request.method() != HttpMethod.GET) {
            return Problem.response(ResultCode.REQUEST_MALFORMED, "no resource " + request.method() + " " + path);
        }
        return view.show(QueryParams.fromQueryString(queryStart < 0 ? "" : target.substring(queryStart + 1)));
    }

    private AccountsView accounts() {
        RouteTable routes = sources.routes().get();
        AccountTable table = routes.accounts();
        List<AccountView> views = table.accounts().stream()
                .map(AccountView::of)
                .sorted(Comparator.comparing(AccountView::account))
                .toList();
        FreshnessView freshness = sources.freshness().get().orElse(null);
        return new AccountsView(routes.version(), table.isEnabled(), table.unreadable(), freshness, views);
    }

    private HttpResponse allowances(QueryParams query) {
        AccountTable table = sources.routes().get().accounts();
        String name = query.get("account");
        if (name != null) {
            List<Account> named = table.find(AccountName.of(name)).map(List::of).orElseGet(List::of);
            return describe(named, 1);
        }
        OptionalInt limit = parseLimit(query.get("limit", Integer.toString(DEFAULT_ACCOUNTS)));
        if (limit.isEmpty()) {
            return Problem.response(ResultCode.REQUEST_MALFORMED, "limit has to be from 1 to " + MAX_ACCOUNTS);
        }
        return describe(table.accounts(), limit.getAsInt());
    }

    private HttpResponse describe(Collection<Account> accounts, int max) {
        return HttpResponse.of(sources.allowances().describe(accounts, max).thenApply(Json::of));
    }

    private static OptionalInt parseLimit(String text) {
        try {
            int limit = Integer.parseInt(text);
            return limit >= 1 && limit <= MAX_ACCOUNTS ? OptionalInt.of(limit) : OptionalInt.empty();
        } catch (NumberFormatException e) {
            return OptionalInt.empty();
        }
    }

    /** A resource of the view. */
    @FunctionalInterface
    private interface View {

        HttpResponse show(QueryParams query);
    }

    /** Describes the allowances of limited accounts. */
    @FunctionalInterface
    public interface Allowances {

        /**
         * Describes the allowances of the accounts with the most calls.
         *
         * @param accounts accounts to choose from
         * @param max      maximum number of accounts
         * @return the allowances
         */
        CompletableFuture<List<AllowanceState>> describe(Collection<Account> accounts, int max);
    }

    /**
     * Suppliers of the state to show.
     *
     * @param routes     the routes in force
     * @param freshness  the freshness lease, or empty if keys of accounts are accepted without one
     * @param allowances the allowances of accounts
     * @param evacuation the evacuation orders in force
     * @param servers    the backend servers known to the node
     */
    public record Sources(
            Supplier<RouteTable> routes,
            Supplier<Optional<FreshnessView>> freshness,
            Allowances allowances,
            Supplier<EvacuationOrders> evacuation,
            Supplier<List<ServerView>> servers) {}

    /**
     * Freshness lease of the node.
     *
     * @param ageMillis   time since the routes in force were known to be the newest, in milliseconds; -1 if they never
     *                    were
     * @param boundMillis time after its removal from the routes from which a key is refused, in milliseconds
     * @param acceptsKeys whether keys of accounts are accepted now
     */
    public record FreshnessView(long ageMillis, long boundMillis, boolean acceptsKeys) {}

    /**
     * Client accounts.
     *
     * @param version    version of the routes in force
     * @param enabled    whether requests to routes that are not public need a key
     * @param unreadable number of accounts that could not be read
     * @param freshness  freshness lease; {@code null} if keys are accepted without one
     * @param accounts   the accounts by name
     */
    private record AccountsView(
            long version, boolean enabled, int unreadable, FreshnessView freshness, List<AccountView> accounts) {}

    /**
     * A client account.
     *
     * @param account       its name
     * @param priority      its priority, 0 is the highest; {@code null} if the priorities of routes apply
     * @param ratePerSecond calls per second that all nodes together serve for it; 0 for no limit
     * @param burst         calls that may be served in addition to the rate after a pause
     */
    private record AccountView(String account, Integer priority, double ratePerSecond, double burst) {

        static AccountView of(Account account) {
            Integer priority =
                    account.priority().isPresent() ? account.priority().getAsInt() : null;
            return new AccountView(account.name().value(), priority, account.ratePerSecond(), account.burst());
        }
    }

    /**
     * Evacuated failure domains.
     *
     * @param generation generation of the table service
     * @param version    version of the table service; 0 before the first order
     * @param domains    the domains by name
     */
    private record EvacuationsView(long generation, long version, List<DomainView> domains) {

        static EvacuationsView of(EvacuationOrders orders) {
            return new EvacuationsView(
                    orders.revision().generation(),
                    orders.revision().version(),
                    orders.domains().stream().map(DomainView::new).toList());
        }
    }

    /**
     * An evacuated failure domain.
     *
     * @param domain its name
     */
    private record DomainView(String domain) {}
}
