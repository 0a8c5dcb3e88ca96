package io.mustardusher.server;

import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.SessionProtocol;
import io.mustardusher.call.Exchange;
import io.mustardusher.call.ServerRequest;
import io.mustardusher.generated.Announcement;

/** Way from a gate to one start of its backend server. */
public interface ServerLink {

    /**
     * Sends a call.
     *
     * @param call      the call, with the headers that nodes set
     * @param leftNanos time until the answer must begin, in nanoseconds
     * @return the exchange
     */
    Exchange send(HttpRequest call, long leftNanos);

    /**
     * Asks the server for its load; what it says goes where answers' readings go.
     *
     * @param path path at which the server tells its health
     * @return completes with the answer, or soon without one
     */
    CompletableFuture<Void> probe(String path);

    /** Lets the exchanges in flight end, and keeps no connection after them. */
    void close();

    /** Opens links. */
    @FunctionalInterface
    interface Factory {

        /**
         * Opens a link.
         *
         * @param announced what the backend server announced
         * @return the link
         */
        ServerLink open(Announcement announced);
    }

    /**
     * Streams requests and answers through an HTTP client.
     *
     * @param client the client
     */
    record ForStreams(WebClient client) implements ServerLink {

        /**
         * Returns a factory of links that share the connections of a client factory.
         *
         * @param connections connections to backend servers
         * @return the factory
         */
        public static Factory factory(ClientFactory connections) {
            return announced -> {
                Endpoint endpoint = Endpoint.of(announced.getHost(), (int) announced.getPort());
                return new ForStreams(WebClient.builder(SessionProtocol.H1C, endpoint)
                        .factory(connections)
                        .build());
            };
        }

        @Override
        public Exchange send(HttpRequest call, long leftNanos) {
            return Exchange.send(client, call.withHeaders(ServerRequest.headers(call.headers(), leftNanos)), leftNanos);
        }

        @Override
        public CompletableFuture<Void> probe(String path) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void close() {
            // the connections belong to the client factory
        }
    }
}
