package io.mustardusher.server;

import java.util.Optional;
import java.util.OptionalLong;

import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.instance.ServerConditions;

/** Conventions for the headers of requests to the backend servers of a deployment and of their responses. */
public interface ServerDialect {

    /**
     * Creates the headers of a request to a backend server.
     *
     * @param call           headers of the call, without those that only nodes set
     * @param instance       identifier of the server instance that the request is meant for, or {@code null}
     * @param remainingNanos time remaining for the response, in nanoseconds
     * @return headers of the request
     */
    RequestHeaders requestHeaders(RequestHeadersBuilder call, String instance, long remainingNanos);

    /**
     * Reads the identifier of a request, which a backend server repeats in each response to it. It names a request of a
     * caller: if that is sent again, the responses to both runs carry the same identifier.
     *
     * @param headers headers of a request or a response
     * @return the identifier, or empty if there is none
     */
    Optional<String> requestId(HttpHeaders headers);

    /**
     * Classifies a response by its headers, provided that it belongs to the request that awaits one.
     *
     * @param response headers of the response
     * @return kind of the response
     */
    ResponseKind classify(ResponseHeaders response);

    /**
     * Reads the signature of the server over a response.
     *
     * @param response headers of a response
     * @return the signature, or empty if there is none
     */
    default Optional<String> signature(ResponseHeaders response) {
        return Optional.empty();
    }

    /**
     * Reads the load of the server.
     *
     * @param response headers of a response
     * @return the load, or empty if the response does not report it
     */
    Optional<ReportedServerLoad> load(ResponseHeaders response);

    /**
     * Reads the conditions under which the server accepts calls.
     *
     * @param response headers of a response to a call
     * @return the conditions; {@link ServerConditions#NONE} if the response states none
     */
    ServerConditions conditions(ResponseHeaders response);

    /**
     * Reads the identifier of the server instance that responded.
     *
     * @param response headers of a response to a health probe
     * @return identifier of the instance, or empty if the response does not contain it
     */
    Optional<String> instance(ResponseHeaders response);

    /**
     * Reads for how long the server is still cold.
     *
     * @param response headers of a response to a health probe
     * @return time in milliseconds; 0 if the server is not cold, empty if the response does not state it legibly
     */
    default OptionalLong coldMillis(ResponseHeaders response) {
        return OptionalLong.empty();
    }

    /** Dialect without headers of its own, for services that do not report their load. */
    enum Plain implements ServerDialect {
        /** The only instance. */
        INSTANCE;

        @Override
        public RequestHeaders requestHeaders(RequestHeadersBuilder call, String instance, long remainingNanos) {
            return call.build();
        }

        @Override
        public Optional<String> requestId(HttpHeaders headers) {
            return Optional.empty();
        }

        @Override
        public ResponseKind classify(ResponseHeaders response) {
            return ResponseKind.RAN;
        }

        @Override
        public Optional<ReportedServerLoad> load(ResponseHeaders response) {
            return Optional.empty();
        }

        @Override
        public ServerConditions conditions(ResponseHeaders response) {
            return ServerConditions.NONE;
        }

        @Override
        public Optional<String> instance(ResponseHeaders response) {
            return Optional.empty();
        }
    }

    /** Kinds of responses. */
    enum ResponseKind {
        /** The server ran the request and this is its response. */
        RAN,

        /** The server states that it did not run the request. */
        NOT_RUN,

        /** The response names another request than the one that awaits it. */
        MISMATCHED,

        /** The response proves nothing about the request. */
        INVALID
    }
}
