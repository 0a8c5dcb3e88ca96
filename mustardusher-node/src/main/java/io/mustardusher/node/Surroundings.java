package io.mustardusher.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.generated.RouteDocument;
import io.mustardusher.route.RouteTable;
import io.mustardusher.server.ServerDialect;
import io.mustardusher.store.TableService;
import io.netty.channel.EventLoopGroup;
import io.netty.util.AsciiString;

/** What a platform brings to a node that is driven by routes: its store and its ways to speak. */
public interface Surroundings {

    /**
     * Opens the platform's store.
     *
     * @param group event loops to use
     * @return the store
     */
    TableService table(EventLoopGroup group);

    /**
     * Follows the operator's configuration until the process ends.
     *
     * @param versions told of each version that the store shows
     */
    void watchRoutes(Consumer<RouteDocument> versions);

    /**
     * Reads a version of the operator's configuration.
     *
     * @param document the version
     * @return its routes
     */
    RouteTable decode(RouteDocument document);

    /**
     * Returns how callers state calls.
     *
     * @param routes the routes in force
     * @return the dialect
     */
    CallerProtocol callers(Supplier<RouteTable> routes);

    /**
     * Returns how backend servers are spoken to.
     *
     * @return the dialect
     */
    ServerDialect servers();

    /**
     * Returns where the server beside the node is.
     *
     * @return its place, as settings tell
     */
    Neighbour neighbour();

    /**
     * Returns the names of headers that calls and answers often carry, to be shortened between nodes.
     *
     * @return the names, in an order that is the same on all nodes
     */
    List<AsciiString> frequentHeaders();

    /**
     * Finds the name of a call in its headers, for logs.
     *
     * @param call the headers
     * @return the name
     */
    String callName(RequestHeaders call);

    /**
     * The place of the server beside a node.
     *
     * @param address its address
     * @param service its service
     */
    record Neighbour(InetSocketAddress address, String service) {}
}
