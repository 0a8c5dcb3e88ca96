package io.mustardusher.lab.cluster;

import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.schema.Schema;

/** A node of a deployment, as a process of its own or within this one. */
public interface NodeHandle {

    /** Time between two looks for readiness, in milliseconds. */
    long READY_POLL_MILLIS = 20;

    /** Time allowed to become ready, in milliseconds. */
    long READY_MILLIS = 30_000;

    /** Time allowed for an answer of the admin listener, in milliseconds. */
    long ADMIN_MILLIS = 2_000;

    /**
     * Returns the name.
     *
     * @return the name
     */
    String name();

    /**
     * Returns the ports.
     *
     * @return the ports
     */
    Ports ports();

    /**
     * Returns the shared secret.
     *
     * @return the secret
     */
    String credential();

    /** Starts the node. */
    void start();

    /**
     * Tells whether the node runs.
     *
     * @return {@code true} if it does
     */
    boolean isAlive();

    /**
     * Stops the node gracefully.
     *
     * @param limitMillis time allowed, in milliseconds
     * @return exit code; negative if the time ended
     */
    int stop(long limitMillis);

    /** Ends the node at once. */
    void kill();

    /** Freezes the node. */
    void pause();

    /** Lets a frozen node go on. */
    void resume();

    /**
     * Returns the resident memory.
     *
     * @return kilobytes; 0 if unknown
     */
    long residentKilobytes();

    /**
     * Returns the processor time used.
     *
     * @return milliseconds; 0 if unknown
     */
    long processorMillis();

    /**
     * Returns the base URL of the admin listener.
     *
     * @return the URL
     */
    default String adminUrl() {
        return "http://127.0.0.1:" + ports().admin();
    }

    /** Waits until the node takes calls. */
    default void awaitReady() {
        WebClient client = WebClient.builder(adminUrl())
                .responseTimeoutMillis(ADMIN_MILLIS)
                .build();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
        while (System.nanoTime() - end < 0 && isAlive()) {
            boolean ready = client.get("/ready")
                    .aggregate()
                    .handle((answer, failure) ->
                            failure == null && answer.status().isSuccess())
                    .join();
            if (ready) {
                return;
            }
            sleep(READY_POLL_MILLIS);
        }
        throw new IllegalStateException("node " + name() + " did not become ready");
    }

    /**
     * Asks the admin listener.
     *
     * @param path the path
     * @return the answer; empty if there is none
     */
    default String admin(String path) {
        RequestHeaders headers = RequestHeaders.of(HttpMethod.GET, path, "authorization", "Bearer " + credential());
        return WebClient.builder(adminUrl())
                .responseTimeoutMillis(ADMIN_MILLIS)
                .build()
                .execute(headers)
                .aggregate()
                .handle((answer, failure) -> failure == null ? answer.contentUtf8() : "")
                .join();
    }

    /**
     * Returns the node's metrics.
     *
     * @return the metrics as JSON; an empty object if there is no answer
     */
    default JsonNode metrics() {
        try {
            return Schema.mapper().readTree(admin("/metrics.json"));
        } catch (JsonProcessingException e) {
            return Schema.mapper().createObjectNode();
        }
    }

    /**
     * Waits.
     *
     * @param millis time in milliseconds
     */
    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
