package io.mustardusher.ctl;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.client.BlockingWebClient;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import io.mustardusher.schema.Schema;

/** Client of the nodes' admin API. Tries the configured nodes in order until one answers. */
final class AdminClient {

    /** Time to wait for the response of one node, in milliseconds. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 10_000;

    /** Base URLs of the admin listeners, in the order in which they are tried. */
    private final List<String> nodes;

    /** Shared secret sent as bearer token. */
    private final String credential;

    /**
     * Creates a client.
     *
     * @param nodes      base URLs of the admin listeners, in the order in which they are tried
     * @param credential shared secret sent as bearer token
     */
    AdminClient(List<String> nodes, String credential) {
        this.nodes = nodes;
        this.credential = credential;
    }

    /**
     * Fetches a resource.
     *
     * @param path path of the resource
     * @return response of the first node that answers
     */
    Response get(String path) {
        return send(HttpMethod.GET, path, Map.of(), "");
    }

    /**
     * Sends a request. Sending a change to several nodes is safe because its id makes it take effect only once.
     *
     * @param method  HTTP method
     * @param path    path of the resource
     * @param headers headers in addition to the authorization
     * @param body    body of the request; empty for none
     * @return response of the first node that answers
     */
    Response send(HttpMethod method, String path, Map<String, String> headers, String body) {
        RequestHeadersBuilder builder =
                RequestHeaders.builder(method, path).set("authorization", "Bearer " + credential);
        headers.forEach(builder::set);
        String failure = "no node is configured";
        for (String node : nodes) {
            BlockingWebClient client = WebClient.builder(node)
                    .responseTimeoutMillis(RESPONSE_TIMEOUT_MILLIS)
                    .build()
                    .blocking();
            try {
                AggregatedHttpResponse response = client.execute(
                        HttpRequest.of(builder.build(), com.linecorp.armeria.common.HttpData.ofUtf8(body)));
                return new Response(response.status().code(), parse(response.contentUtf8()));
            } catch (UnprocessedRequestException e) {
                failure = node + " is unreachable";
            } catch (RuntimeException e) {
                failure = node + " did not answer: " + e;
            }
        }
        throw new NoNodeAvailableException(failure);
    }

    /**
     * Parses the body of a response.
     *
     * @param text body of the response
     * @return the parsed JSON, or a JSON string holding the text if it is not valid JSON
     */
    private static JsonNode parse(String text) {
        try {
            return Schema.mapper().readTree(text);
        } catch (JsonProcessingException e) {
            return Schema.mapper().getNodeFactory().textNode(text);
        }
    }

    /**
     * Response of a node.
     *
     * @param status HTTP status
     * @param body   JSON body
     */
    record Response(int status, JsonNode body) {

        /** Status of a node that cannot determine the outcome of a change. */
        private static final int GATEWAY_TIMEOUT = 504;

        /** Lowest status of an error response. */
        private static final int BAD_REQUEST = 400;

        /**
         * Returns whether the request succeeded.
         *
         * @return {@code true} if the status is below 400
         */
        boolean isSuccess() {
            return status < BAD_REQUEST;
        }

        /**
         * Returns the exit code that corresponds to the HTTP status.
         *
         * @return the exit code, one of {@link ExitStatus}
         */
        int exitStatus() {
            if (isSuccess()) {
                return ExitStatus.OK;
            }
            return status == GATEWAY_TIMEOUT ? ExitStatus.UNRESOLVED : ExitStatus.REFUSED;
        }
    }

    /** Thrown if none of the configured nodes answered. */
    static final class NoNodeAvailableException extends RuntimeException {

        /**
         * Creates an exception.
         *
         * @param message the node that was tried last and its failure
         */
        NoNodeAvailableException(String message) {
            super(message);
        }
    }
}
