package io.mustardusher.lab.standin;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.mustardusher.schema.Schema;
import io.mustardusher.store.HttpTableService;
import io.mustardusher.store.Row;
import io.mustardusher.store.TableService;
import io.mustardusher.store.Transaction;

/** Simulates the platform: serves a transactional table and an object store over HTTP and injects faults into both. */
public final class PlatformServer implements AutoCloseable {

    /** Delay of every response under {@link StoreFault#SLOW}. */
    public static final long SLOW_RESPONSE_DELAY_MILLIS = 700;

    private final TableService.InMemory table = new TableService.InMemory();

    /** Contents of the object store by name. */
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

    private final Server server;

    private volatile StoreFault fault = StoreFault.NONE;

    /**
     * Creates a platform server without starting it.
     *
     * @param port port to listen on, on the loopback address; 0 for any free port
     */
    public PlatformServer(int port) {
        server = Server.builder()
                .http(new InetSocketAddress("127.0.0.1", port))
                .requestTimeoutMillis(0)
                .gracefulShutdownTimeout(Duration.ZERO, Duration.ZERO)
                .service(HttpTableService.ROW_PATH, this::readRow)
                .service(HttpTableService.SCAN_PATH, this::scanRows)
                .service(HttpTableService.COMMIT_PATH, this::commitTransaction)
                .service("/v1/object/{name}", this::accessObject)
                .service("/fault/{fault}", this::handleSetFault)
                .service("/statistics", (context, request) -> HttpResponse.of(statistics()))
                .build();
    }

    /**
     * Starts listening.
     *
     * @return base URL of the server
     */
    public String start() {
        server.start().join();
        return "http://127.0.0.1:" + server.activeLocalPort();
    }

    /**
     * Sets the fault that is injected into all operations from now on.
     *
     * @param value fault to inject; {@link StoreFault#NONE} to inject none
     */
    public void setFault(StoreFault value) {
        fault = value;
    }

    /**
     * Returns the table behind the server, which faults don't affect.
     *
     * @return the table of this server
     */
    public TableService.InMemory table() {
        return table;
    }

    @Override
    public void close() {
        server.stop();
    }

    /**
     * Handles the read of a row.
     *
     * @param context context of the request
     * @param request HTTP request
     * @return the HTTP response
     */
    private HttpResponse readRow(ServiceRequestContext context, HttpRequest request) {
        return applyFault(() -> {
            Optional<Row> row = table.read(context.queryParam("key")).join();
            return row.map(found -> jsonResponse(HttpStatus.OK, found))
                    .orElseGet(() -> HttpResponse.of(HttpStatus.NOT_FOUND));
        });
    }

    /**
     * Handles a scan of rows by key prefix.
     *
     * @param context context of the request
     * @param request HTTP request
     * @return the HTTP response
     */
    private HttpResponse scanRows(ServiceRequestContext context, HttpRequest request) {
        int limit = Integer.parseInt(context.queryParam("limit"));
        return applyFault(() -> {
            List<Row> rows = table.scan(context.queryParam("prefix"), context.queryParam("after"), limit)
                    .join();
            return jsonResponse(HttpStatus.OK, rows);
        });
    }

    /**
     * Handles the commit of a transaction. Losing the response leaves the transaction committed.
     *
     * @param context context of the request
     * @param request HTTP request
     * @return the HTTP response
     */
    private HttpResponse commitTransaction(ServiceRequestContext context, HttpRequest request) {
        return HttpResponse.of(request.aggregate().thenApply(aggregated -> {
            StoreFault current = fault;
            Transaction transaction = parseTransaction(aggregated.contentUtf8());
            if (current == StoreFault.LOSE_ANSWERS) {
                table.commit(transaction);
                return HttpResponse.streaming();
            }
            return applyFault(() -> {
                long version = table.commit(transaction).join();
                HttpStatus status = version == Transaction.ABSENT ? HttpStatus.CONFLICT : HttpStatus.OK;
                return jsonResponse(status, version);
            });
        }));
    }

    /**
     * Handles reads and writes of the object store.
     *
     * @param context context of the request
     * @param request HTTP request
     * @return the HTTP response
     */
    private HttpResponse accessObject(ServiceRequestContext context, HttpRequest request) {
        String name = context.pathParam("name");
        return HttpResponse.of(request.aggregate()
                .thenApply(aggregated -> applyFault(() -> {
                    if (request.method() == com.linecorp.armeria.common.HttpMethod.PUT) {
                        objects.put(name, aggregated.content().array());
                        return HttpResponse.of(HttpStatus.NO_CONTENT);
                    }
                    byte[] found = objects.get(name);
                    return found == null
                            ? HttpResponse.of(HttpStatus.NOT_FOUND)
                            : HttpResponse.of(HttpStatus.OK, MediaType.OCTET_STREAM, found);
                })));
    }

    /**
     * Sets the fault that the path names, in lower or upper case and with dashes or underscores.
     *
     * @param context context of the request
     * @param request HTTP request
     * @return the HTTP response
     */
    private HttpResponse handleSetFault(ServiceRequestContext context, HttpRequest request) {
        fault = StoreFault.valueOf(
                context.pathParam("fault").toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
        return HttpResponse.of(fault.name() + "\n");
    }

    /**
     * Runs an operation unless the current fault prevents or delays it.
     *
     * @param operation operation that produces the response
     * @return the response; under {@link StoreFault#SILENT} it never completes
     */
    private HttpResponse applyFault(java.util.function.Supplier<HttpResponse> operation) {
        return switch (fault) {
            case DOWN -> HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
            case SILENT -> HttpResponse.streaming();
            case SLOW -> HttpResponse.of(CompletableFuture.supplyAsync(
                    operation,
                    CompletableFuture.delayedExecutor(
                            SLOW_RESPONSE_DELAY_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS)));
            default -> operation.get();
        };
    }

    /**
     * Returns the number of reads and writes of the table.
     *
     * @return both numbers, as JSON
     */
    private String statistics() {
        return "{\"reads\":" + table.reads() + ",\"writes\":" + table.writes() + "}";
    }

    /**
     * Parses a transaction.
     *
     * @param text transaction, as JSON
     * @return the parsed transaction
     */
    private static Transaction parseTransaction(String text) {
        try {
            return Schema.mapper().readValue(text, Transaction.class);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /**
     * Creates a JSON response.
     *
     * @param status status of the response
     * @param value  value to serialize as its body
     * @return the HTTP response
     */
    private static HttpResponse jsonResponse(HttpStatus status, Object value) {
        return HttpResponse.of(status, MediaType.JSON, Schema.write(value));
    }
}
