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

/** Asks nodes, one after the other until one answers. */
final class NodeApi {

    /** Time allowed for an answer, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 10_000;

    /** Base URLs of the nodes' admin listeners. */
    private final List<String> nodes;

    /** Shared secret. */
    private final String credential;

    /**
     * Creates an interface.
     *
     * @param nodes      base URLs of the nodes' admin listeners
     * @param credential shared secret
     */
    NodeApi(List<String> nodes, String credential) {
        this.nodes = nodes;
        this.credential = credential;
    }

    /**
     * Asks for a resource.
     *
     * @param path path of the resource
     * @return the answer
     */
    Answer get(String path) {
        return send(HttpMethod.GET, path, Map.of(), "");
    }

    /**
     * Sends a request. A change may go to several nodes, for its id makes it take effect once.
     *
     * @param method  HTTP method
     * @param path    path of the resource
     * @param headers further headers
     * @param body    the body
     * @return the answer of the first node that answers
     */
    Answer send(HttpMethod method, String path, Map<String, String> headers, String body) {
        RequestHeadersBuilder builder =
                RequestHeaders.builder(method, path).set("authorization", "Bearer " + credential);
        headers.forEach(builder::set);
        String problem = "no node is named";
        for (String node : nodes) {
            BlockingWebClient client = WebClient.builder(node)
                    .responseTimeoutMillis(TIMEOUT_MILLIS)
                    .build()
                    .blocking();
            try {
                AggregatedHttpResponse response = client.execute(
                        HttpRequest.of(builder.build(), com.linecorp.armeria.common.HttpData.ofUtf8(body)));
                return new Answer(response.status().code(), parse(response.contentUtf8()));
            } catch (UnprocessedRequestException e) {
                problem = node + " is not reachable";
            } catch (RuntimeException e) {
                problem = node + " does not answer: " + e;
            }
        }
        throw new NoNodeException(problem);
    }

    /**
     * Parses an answer.
     *
     * @param text the answer
     * @return JSON, or a string if it is none
     */
    private static JsonNode parse(String text) {
        try {
            return Schema.mapper().readTree(text);
        } catch (JsonProcessingException e) {
            return Schema.mapper().getNodeFactory().textNode(text);
        }
    }

    /**
     * An answer.
     *
     * @param status HTTP status
     * @param body   the body
     */
    record Answer(int status, JsonNode body) {

        /** Status that says the outcome of a change is not known. */
        private static final int GATEWAY_TIMEOUT = 504;

        /** Lowest status of a refusal. */
        private static final int BAD_REQUEST = 400;

        /**
         * Tells whether the request was done.
         *
         * @return {@code true} if it was
         */
        boolean isDone() {
            return status < BAD_REQUEST;
        }

        /**
         * Returns the exit code.
         *
         * @return the code
         */
        int exitStatus() {
            if (isDone()) {
                return ExitStatus.OK;
            }
            return status == GATEWAY_TIMEOUT ? ExitStatus.UNRESOLVED : ExitStatus.REFUSED;
        }
    }

    /** No node answered. */
    static final class NoNodeException extends RuntimeException {

        /**
         * Creates an exception.
         *
         * @param message which node failed last, and how
         */
        NoNodeException(String message) {
            super(message);
        }
    }
}
