package io.mustardusher.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.mustardusher.account.AccountTable;

/** Immutable table of the routes of one version of the configuration. A new version replaces the whole table. */
public final class RouteTable {

    /** Table without routes, with a version below those of all configurations. */
    public static final RouteTable EMPTY = builder(0).build();

    private static final String DEFAULT_HEALTH_PATH = "/health";

    private final long version;
    private final Map<String, Host> hosts;
    private final RouteMatch otherHosts;
    private final int unreadable;
    private final RequestLimits limits;
    private final Map<String, String> healthPaths;
    private final AccountTable accounts;
    private final Map<String, ColdStart> coldStarts;

    private RouteTable(Builder builder) {
        version = builder.version;
        hosts = builder.buildHosts();
        otherHosts = builder.otherHosts;
        unreadable = builder.unreadable;
        limits = builder.limits;
        healthPaths = Map.copyOf(builder.healthPaths);
        accounts = builder.accounts;
        coldStarts = Map.copyOf(builder.coldStarts);
    }

    /**
     * Creates a builder of a table.
     *
     * @param version version of the configuration, above 0
     * @return the builder
     */
    public static Builder builder(long version) {
        return new Builder(version);
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version, or 0 for the empty table
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits on requests.
     *
     * @return the limits
     */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Returns the client accounts of the same version.
     *
     * @return the accounts
     */
    public AccountTable accounts() {
        return accounts;
    }

    /**
     * Finds the route with the longest matching prefix.
     *
     * @param authority host, with or without a port
     * @param path      path, with or without a query
     * @return the route; {@link RouteMatch.Unmatched#UNREADABLE} if that route, or a part of the configuration that may
     *     contain it, could not be read
     */
    public RouteMatch find(String authority, String path) {
        Host host = hosts.get(host(authority));
        if (host == null) {
            return otherHosts;
        }
        int query = path.indexOf('?');
        int end = (query < 0 ? path.length() : query) - 1;
        for (int slash = path.lastIndexOf('/', end); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            RouteMatch match = host.prefixes.get(path.substring(0, slash + 1));
            if (match != null) {
                return match;
            }
            if (slash == 0) {
                break;
            }
        }
        return host.otherPaths;
    }

    /**
     * Returns the path of the health check of a service's backend servers.
     *
     * @param service name of the service
     * @return the path, or the default path if none is configured
     */
    public String healthPath(String service) {
        return healthPaths.getOrDefault(service, DEFAULT_HEALTH_PATH);
    }

    /**
     * Returns what is stated of the servers of a service that have just started.
     *
     * @param service name of the service
     * @return the statement; {@link ColdStart#NONE} if there is none
     */
    public ColdStart coldStart(String service) {
        return coldStarts.getOrDefault(service, ColdStart.NONE);
    }

    /**
     * Returns all routes.
     *
     * @return the routes, in no particular order
     */
    public Collection<Route> routes() {
        return hosts.values().stream()
                .flatMap(host -> host.prefixes.values().stream())
                .filter(RouteMatch.Found.class::isInstance)
                .map(RouteMatch::orElseThrow)
                .toList();
    }

    /**
     * Returns the number of parts of the configuration that could not be read.
     *
     * @return number of unreadable rules and listeners
     */
    public int unreadable() {
        return unreadable;
    }

    private static String host(String authority) {
        if (authority == null) {
            return "";
        }
        int end = authority.startsWith("[") ? authority.indexOf(']') + 1 : authority.indexOf(':');
        if (end <= 0) {
            end = authority.length();
        }
        // The dot of the root domain does not make a name another one.
        if (authority.startsWith(".", end - 1)) {
            end--;
        }
        return authority.substring(0, end).toLowerCase(Locale.ROOT);
    }

    /**
     * The routes of a host.
     *
     * @param prefixes   result for each prefix
     * @param otherPaths result for paths without any of the prefixes
     */
    private record Host(Map<String, RouteMatch> prefixes, RouteMatch otherPaths) {}

    /** Builder of a {@link RouteTable}. */
    public static final class Builder {

        private final long version;
        private final Map<String, Map<String, RouteMatch>> hosts = new HashMap<>();
        private final Set<String> incompleteHosts = new HashSet<>();
        private final Map<String, String> healthPaths = new HashMap<>();
        private final Map<String, ColdStart> coldStarts = new HashMap<>();
        private RouteMatch otherHosts = RouteMatch.Unmatched.ABSENT;
        private int unreadable;
        private RequestLimits limits = RequestLimits.DEFAULT;
        private AccountTable accounts = AccountTable.DISABLED;

        private Builder(long version) {
            this.version = version;
        }

        /**
         * Adds a route.
         *
         * @param host  host of the requests
         * @param route the route
         * @return this builder
         */
        public Builder add(String host, Route route) {
            prefixes(host).put(route.prefix(), new RouteMatch.Found(route));
            return this;
        }

        /**
         * Adds a route that could not be read. It does not replace a readable route with the same prefix. If the prefix
         * is malformed, the route may be that of any path of the host that has no other route.
         *
         * @param host   host of the requests
         * @param prefix prefix of the paths, as far as it could be read; may be empty
         * @return this builder
         */
        public Builder addUnreadable(String host, String prefix) {
            unreadable++;
            Map<String, RouteMatch> prefixes = prefixes(host);
            if (!Route.isPrefix(prefix)) {
                incompleteHosts.add(host(host));
            }
            if (!prefix.isEmpty()) {
                prefixes.putIfAbsent(enclose(prefix), RouteMatch.Unmatched.UNREADABLE);
            }
            return this;
        }

        /**
         * Adds a part of the configuration that may contain a route for any path of a host.
         *
         * @param host host of the requests
         * @return this builder
         */
        public Builder addUnreadable(String host) {
            unreadable++;
            prefixes(host);
            incompleteHosts.add(host(host));
            return this;
        }

        /**
         * Adds a part of the configuration that may contain a route for any request.
         *
         * @return this builder
         */
        public Builder addUnreadable() {
            unreadable++;
            otherHosts = RouteMatch.Unmatched.UNREADABLE;
            return this;
        }

        /**
         * Sets the limits on requests.
         *
         * @param value the limits
         * @return this builder
         */
        public Builder limits(RequestLimits value) {
            limits = value;
            return this;
        }

        /**
         * Sets the client accounts.
         *
         * @param value the accounts
         * @return this builder
         */
        public Builder accounts(AccountTable value) {
            accounts = value;
            return this;
        }

        /**
         * Sets the path of the health check of a service's backend servers.
         *
         * @param service name of the service
         * @param path    the path
         * @return this builder
         */
        public Builder healthPath(String service, String path) {
            healthPaths.put(service, path);
            return this;
        }

        /**
         * Sets what is stated of the servers of a service that have just started.
         *
         * @param service name of the service
         * @param start   the statement
         * @return this builder
         */
        public Builder coldStart(String service, ColdStart start) {
            coldStarts.put(service, start);
            return this;
        }

        /**
         * Builds the table.
         *
         * @return the table
         */
        public RouteTable build() {
            return new RouteTable(this);
        }

        private static String enclose(String prefix) {
            return (prefix.startsWith("/") ? "" : "/") + prefix + (prefix.endsWith("/") ? "" : "/");
        }

        private Map<String, RouteMatch> prefixes(String host) {
            return hosts.computeIfAbsent(host(host), name -> new HashMap<>());
        }

        private Map<String, Host> buildHosts() {
            Map<String, Host> copy = new HashMap<>();
            hosts.forEach((host, prefixes) -> copy.put(
                    host,
                    new Host(
                            Map.copyOf(prefixes),
                            incompleteHosts.contains(host) ? RouteMatch.Unmatched.UNREADABLE : otherHosts)));
            return Map.copyOf(copy);
        }
    }
}
