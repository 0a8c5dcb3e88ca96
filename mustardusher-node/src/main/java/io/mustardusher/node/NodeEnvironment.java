package io.mustardusher.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.admission.ColdPolicy;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.call.NodeMemory;
import io.mustardusher.evacuation.EvacuationOrders;
import io.mustardusher.generated.RouteDocument;
import io.mustardusher.route.ColdStart;
import io.mustardusher.route.RouteTable;
import io.mustardusher.server.ServerDialect;
import io.mustardusher.store.TableService;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import io.netty.util.AsciiString;

/**
 * Adapts a node that is configured by routes to the platform it runs on: the platform's store, the operator's
 * configuration, and the protocols of callers and backend servers.
 */
public interface NodeEnvironment {

    /** Health requests that a backend server may receive per second where the platform states no bound. */
    double DEFAULT_PROBES_PER_SECOND = 60;

    /**
     * Opens the platform's table service.
     *
     * @param group   event loops to use
     * @param metrics registry of metrics
     * @return the table service
     */
    TableService openTable(EventLoopGroup group, MetricRegistry metrics);

    /**
     * Returns a time after which no earlier process of this node has run. By default that is now; an earlier time lets
     * the node use its part of the limits of accounts sooner.
     *
     * @param clock source of time
     * @return time in nanoseconds of that clock
     */
    default long processStartNanos(Clock clock) {
        return clock.nanoTime();
    }

    /**
     * Watches the operator's configuration until the process ends.
     *
     * @param listener receives each version that is read
     */
    void watchRoutes(Consumer<RouteDocument> listener);

    /**
     * Watches the operator's evacuation orders until the process ends. Called before {@link #watchRoutes}; by default
     * there are no orders.
     *
     * @param listener receives all orders in force whenever they were read or have changed
     */
    default void watchEvacuation(Consumer<EvacuationOrders> listener) {
        // Platforms without such orders have nothing to report.
    }

    /**
     * Watches the operator's configuration over another connection if the present one may be silent, because a peer had
     * a version before the watch reported it.
     */
    default void renewWatch() {}

    /**
     * Returns which part of the heap is used for what the node holds for callers and servers.
     *
     * @return the part, from 0 to 1
     */
    default double heldHeapShare() {
        return NodeMemory.DEFAULT_HEAP_SHARE;
    }

    /**
     * Returns the number of health requests that a backend server may receive per second.
     *
     * @return the bound, on average over all nodes
     */
    default double probesPerSecond() {
        return DEFAULT_PROBES_PER_SECOND;
    }

    /**
     * Returns the bounds on what a cold server may receive.
     *
     * @return the bounds
     */
    default ColdBounds coldBounds() {
        return ColdBounds.DEFAULT;
    }

    /**
     * Decodes a version of the operator's configuration.
     *
     * @param document the version
     * @return its routes
     */
    RouteTable decodeRoutes(RouteDocument document);

    /**
     * Returns the time within which each node refuses a key of an account after a version without it was confirmed.
     *
     * @return the bound, in nanoseconds, or empty if there is none, which costs no reads and no messages
     */
    default OptionalLong revocationBoundNanos() {
        return OptionalLong.empty();
    }

    /**
     * Reads the newest version of the operator's configuration without waiting for changes, and passes it to the
     * listener of {@link #watchRoutes} if it changed. Only called where there is a bound of revocations.
     *
     * @return completes with the number of the version that was the newest at some time since the call, 0 if there was
     *     none; fails if that is not known
     */
    default CompletableFuture<Long> readNewestVersion() {
        return CompletableFuture.failedFuture(new UnsupportedOperationException("no bound of revocations"));
    }

    /**
     * Returns the protocol of callers.
     *
     * @param routes      the routes in force
     * @param acceptsKeys returns whether keys of accounts may be accepted by a version of the routes
     * @return the protocol
     */
    CallerProtocol callerProtocol(Supplier<RouteTable> routes, LongPredicate acceptsKeys);

    /**
     * Returns the protocol of backend servers.
     *
     * @return the dialect
     */
    ServerDialect serverDialect();

    /**
     * Returns the backend server beside the node.
     *
     * @return its address and service, from the settings
     */
    LocalServer localServer();

    /**
     * Returns the names of headers that calls and answers often carry. Frames between nodes carry an abbreviation in
     * their place.
     *
     * @return the names, in an order that is the same on all nodes
     */
    List<AsciiString> frequentHeaders();

    /**
     * Returns the name of a call for logs.
     *
     * @param call headers of the call
     * @return the name
     */
    String callName(RequestHeaders call);

    /**
     * Bounds on what a cold server may receive, in terms of the rate of calls that it tolerates.
     *
     * @param overage factor of the rate
     * @param slack   number of calls within a second in addition
     */
    record ColdBounds(double overage, double slack) {

        /** Bounds of a deployment that states none. */
        public static final ColdBounds DEFAULT = new ColdBounds(1.5, 8);

        ColdPolicy policyFor(ColdStart start) {
            return start.isPresent()
                    ? new ColdPolicy(
                            start.callsPerSecond(), start.durationNanos(), start.callsPerSecond() * overage + slack)
                    : ColdPolicy.NONE;
        }
    }

    /**
     * The backend server beside a node.
     *
     * @param address its address
     * @param service its service
     */
    record LocalServer(InetSocketAddress address, String service) {}
}
