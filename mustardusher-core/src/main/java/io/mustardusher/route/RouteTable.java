package io.mustardusher.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Immutable table of the routes of one version of the configuration. A new version replaces the whole table. */
public final class RouteTable {

    /** Table without routes, with a version below those of all configurations. */
    public static final RouteTable EMPTY = new RouteTable(0, Map.of(), RequestLimits.DEFAULT, Map.of());

    private static final String DEFAULT_HEALTH_PATH = "/health";

    private final long version;
    private final Map<String, Map<String, Route>> hosts;
    private final RequestLimits limits;
    private final Map<String, String> healthPaths;

    private RouteTable(
            long version,
            Map<String, Map<String, Route>> hosts,
            RequestLimits limits,
            Map<String, String> healthPaths) {
        this.healthPaths = healthPaths;
        this.version = version;
        this.hosts = hosts;
        this.limits = limits;
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
     * Finds the route with the longest matching prefix.
     *
     * @param authority host, with or without a port
     * @param path      path, with or without a query
     * @return the route, or empty if none matches
     */
    public Optional<Route> find(String authority, String path) {
        Map<String, Route> prefixes = hosts.get(host(authority));
        if (prefixes == null) {
            return Optional.empty();
        }
        int query = path.indexOf('?');
        int end = (query < 0 ? path.length() : query) - 1;
        for (int slash = path.lastIndexOf('/', end); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = prefixes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            if (slash == 0) {
                break;
            }
        }
        return Optional.empty();
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
     * Returns all routes.
     *
     * @return the routes, in no particular order
     */
    public Collection<Route> routes() {
        return hosts.values().stream()
                .flatMap(prefixes -> prefixes.values().stream())
                .toList();
    }

    private static String host(String authority) {
        if (authority == null) {
            return "";
        }
        int colon = authority.indexOf(':');
        return (colon < 0 ? authority : authority.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    /** Builder of a {@link RouteTable}. */
    public static final class Builder {

        private final long version;
        private final Map<String, Map<String, Route>> hosts = new HashMap<>();
        private final Map<String, String> healthPaths = new HashMap<>();
        private RequestLimits limits = RequestLimits.DEFAULT;

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
            hosts.computeIfAbsent(host(host), name -> new HashMap<>()).put(route.prefix(), route);
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
         * Builds the table.
         *
         * @return the table
         */
        public RouteTable build() {
            Map<String, Map<String, Route>> copy = new HashMap<>();
            hosts.forEach((host, prefixes) -> copy.put(host, Map.copyOf(prefixes)));
            return new RouteTable(version, Map.copyOf(copy), limits, Map.copyOf(healthPaths));
        }
    }
}
