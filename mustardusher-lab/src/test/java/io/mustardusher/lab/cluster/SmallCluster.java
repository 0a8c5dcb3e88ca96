package io.mustardusher.lab.cluster;

import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.claim.IdempotencyKey;
import io.mustardusher.lab.standin.BackendServer;
import io.mustardusher.node.Node;
import io.mustardusher.time.Clock;

/** Runs three embedded nodes of one service over real sockets and sends calls and changes to them. */
final class SmallCluster implements AutoCloseable {

    private static final long AWAIT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    final Cluster cluster = new Cluster(Deployment.named("trio"), Path.of("target/trio"), Hosting.EMBEDDED, false);
    private final Random random = new Random(3);

    void start() {
        cluster.start(1);
        for (int i = 0; i < cluster.nodes().size(); i++) {
            int node = i;
            await(() -> post(node, "settle", key(), "settle").status().isSuccess());
        }
    }

    NodeHandle handle(int node) {
        return cluster.nodes().get(node);
    }

    Node node(int node) {
        return ((EmbeddedNode) handle(node)).node();
    }

    BackendServer backend(int node) {
        return cluster.backend(handle(node).name());
    }

    int executions(String id) {
        return cluster.executions().countByRequest(id);
    }

    AggregatedHttpResponse get(int node, String id, int bytes) {
        return send(node, headers(HttpMethod.GET, id).setInt(BackendServer.ANSWER_BYTES, bytes), "");
    }

    AggregatedHttpResponse post(int node, String id, String key, String body) {
        return send(node, headers(HttpMethod.POST, id).set(CallHeaders.IDEMPOTENCY_KEY, key), body);
    }

    AggregatedHttpResponse send(int node, RequestHeadersBuilder headers, String body) {
        return WebClient.builder("h2c://127.0.0.1:" + handle(node).ports().caller())
                .responseTimeoutMillis(30_000)
                .maxResponseLength(0)
                .build()
                .execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body)))
                .aggregate()
                .join();
    }

    AggregatedHttpResponse put(int node, String entry, long ifRevision) {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.PUT, "/v1/catalogue/ledger")
                .set("authorization", "Bearer " + handle(node).credential())
                .set("idempotency-key", "change-" + random.nextInt(1_000_000_000))
                .set("if-match", Long.toString(ifRevision))
                .build();
        return WebClient.of(handle(node).adminUrl())
                .execute(headers, HttpData.ofUtf8(entry))
                .aggregate()
                .join();
    }

    String key() {
        return IdempotencyKey.generate(Clock.ForSystem.INSTANCE, random).value();
    }

    static RequestHeadersBuilder headers(HttpMethod method, String id) {
        return RequestHeaders.builder(method, "/x")
                .set(CallHeaders.SERVICE, "ledger")
                .set(BackendServer.REQUEST_ID, id);
    }

    static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new AssertionError(
                        "condition not met within " + TimeUnit.NANOSECONDS.toSeconds(AWAIT_TIMEOUT_NANOS) + " s");
            }
            try {
                TimeUnit.MILLISECONDS.sleep(20);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    @Override
    public void close() {
        cluster.close();
    }
}
