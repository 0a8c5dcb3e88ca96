package io.mustardusher.server;

import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.SessionProtocol;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.ServerRequest;
import io.mustardusher.generated.Announcement;

/** Sends calls from a gate to one instance of its backend server. */
public interface ServerLink {

    /**
     * Sends a call.
     *
     * @param call           the call, with the headers that nodes set
     * @param remainingNanos time until the response must start, in nanoseconds
     * @return exchange of the call and its response
     */
    Exchange send(HttpRequest call, long remainingNanos);

    /**
     * Probes the server for its load. A load in the response is reported in the same way as that of other responses.
     *
     * @param path health path of the server
     * @return future that completes normally with the response, or after a short timeout without one
     */
    CompletableFuture<Void> probe(String path);

    /**
     * Probes the server and waits longer for its response, which calls may need before they are dispatched.
     *
     * @param path         health path of the server
     * @param timeoutNanos time for which to wait for the response, in nanoseconds
     * @return future that completes normally with the response, or after the timeout without one
     */
    default CompletableFuture<Void> probe(String path, long timeoutNanos) {
        return probe(path);
    }

    /**
     * Rejects calls that have not been sent to the server, unless they end before the node does. Links that send calls
     * without waiting for their bodies have nothing to reject.
     *
     * @param endNanos time at which the node ends, in nanoseconds of its clock
     */
    default void stop(long endNanos) {}

    /**
     * Returns whether the headers of answers hold a report of their run, see {@link CallHeaders#RUN}, that this link
     * has set. Other links pass on what the server sends under that name.
     *
     * @return {@code true} if they do
     */
    default boolean reportsRuns() {
        return false;
    }

    /** Closes this link. Exchanges in flight continue, and their connections are not reused. */
    void close();

    /** Opens links to announced backend servers. */
    @FunctionalInterface
    interface Factory {

        /**
         * Opens a link.
         *
         * @param announcement announcement of the backend server
         * @return link to the server
         */
        ServerLink open(Announcement announcement);
    }

    /**
     * Streams requests and responses through an HTTP client.
     *
     * @param client client with the address of the backend server
     */
    record ForStreams(WebClient client) implements ServerLink {

        /**
         * Returns a factory of links that share the connections of a client factory.
         *
         * @param clientFactory client factory that holds the connections to backend servers
         * @return factory of streaming links
         */
        public static Factory factory(ClientFactory clientFactory) {
            return announcement -> {
                Endpoint endpoint = Endpoint.of(announcement.getHost(), (int) announcement.getPort());
                return new ForStreams(WebClient.builder(SessionProtocol.H1C, endpoint)
                        .factory(clientFactory)
                        .build());
            };
        }

        @Override
        public Exchange send(HttpRequest call, long remainingNanos) {
            return Exchange.send(
                    client, call.withHeaders(ServerRequest.headers(call.headers(), remainingNanos)), remainingNanos);
        }

        @Override
        public CompletableFuture<Void> probe(String path) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void close() {
            // The connections are owned by the client factory, which other links share.
        }
    }
}
