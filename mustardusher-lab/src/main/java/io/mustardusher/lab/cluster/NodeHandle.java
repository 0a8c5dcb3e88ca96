package io.mustardusher.lab.cluster;

import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.schema.Schema;

/** Controls and queries a node of a cluster, whether it runs in a process of its own or within this one. */
public interface NodeHandle {

    /** Delay between two checks whether a node is ready. */
    long READY_POLL_INTERVAL_MILLIS = 20;

    /** Maximum time until a started node is ready. */
    long READY_TIMEOUT_MILLIS = 30_000;

    /** Response timeout of requests to the admin listener. */
    long ADMIN_TIMEOUT_MILLIS = 2_000;

    /**
     * Returns the name of the node.
     *
     * @return name of the node
     */
    String name();

    /**
     * Returns the ports of the node and its backend server.
     *
     * @return ports on the loopback address
     */
    Ports ports();

    /**
     * Returns the shared secret that authorizes requests to the node.
     *
     * @return shared secret
     */
    String credential();

    /** Starts the node; it may become ready only later. */
    void start();

    /**
     * Returns whether the node is running.
     *
     * @return {@code true} if it is running, ready or not
     */
    boolean isAlive();

    /**
     * Stops the node gracefully.
     *
     * @param timeoutMillis time allowed, in milliseconds
     * @return exit code; 0 if the node wasn't running, negative if it exceeded the time allowed and was killed
     */
    int stop(long timeoutMillis);

    /** Stops the node without waiting for its calls, where its hosting allows that. */
    void kill();

    /** Suspends the node: it executes nothing, but its connections stay open. */
    void pause();

    /** Resumes a suspended node. */
    void resume();

    /**
     * Returns the resident set size of the node's process.
     *
     * @return resident memory, in kilobytes; 0 if unknown
     */
    long residentKilobytes();

    /**
     * Returns the processor time that the node's process has used.
     *
     * @return processor time, in milliseconds; 0 if unknown
     */
    long processorMillis();

    /**
     * Returns the base URL of the admin listener.
     *
     * @return base URL without a path
     */
    default String adminUrl() {
        return "http://127.0.0.1:" + ports().admin();
    }

    /** Waits until the node reports that it is ready to accept calls. */
    default void awaitReady() {
        WebClient client = WebClient.builder(adminUrl())
                .responseTimeoutMillis(ADMIN_TIMEOUT_MILLIS)
                .build();
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
        while (System.nanoTime() - deadlineNanos < 0 && isAlive()) {
            boolean ready = client.get("/ready")
                    .aggregate()
                    .handle((response, failure) ->
                            failure == null && response.status().isSuccess())
                    .join();
            if (ready) {
                return;
            }
            sleep(READY_POLL_INTERVAL_MILLIS);
        }
        throw new IllegalStateException(
                "node " + name() + " exited or did not become ready within " + READY_TIMEOUT_MILLIS + " ms");
    }

    /**
     * Sends an authorized GET request to the admin listener.
     *
     * @param path path of the request
     * @return body of the response; empty if there is no response
     */
    default String queryAdmin(String path) {
        RequestHeaders headers = RequestHeaders.of(HttpMethod.GET, path, "authorization", "Bearer " + credential());
        return WebClient.builder(adminUrl())
                .responseTimeoutMillis(ADMIN_TIMEOUT_MILLIS)
                .build()
                .execute(headers)
                .aggregate()
                .handle((response, failure) -> failure == null ? response.contentUtf8() : "")
                .join();
    }

    /**
     * Returns the current metrics of the node.
     *
     * @return metrics as JSON; without properties if there is no valid response
     */
    default JsonNode metrics() {
        try {
            return Schema.mapper().readTree(queryAdmin("/metrics.json"));
        } catch (JsonProcessingException e) {
            return Schema.mapper().createObjectNode();
        }
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
