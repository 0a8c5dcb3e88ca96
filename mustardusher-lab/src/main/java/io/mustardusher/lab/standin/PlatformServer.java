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

/** Stand-in for the platform: a transactional table, an object store, and the faults of both. */
public final class PlatformServer implements AutoCloseable {

    /** Delay of a slow answer, in milliseconds. */
    public static final long SLOW_MILLIS = 700;

    private final TableService.InMemory table = new TableService.InMemory();

    /** Objects by name. */
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

    /** The listener. */
    private final Server server;

    /** Present fault. */
    private volatile StoreFault fault = StoreFault.NONE;

    /**
     * Creates a platform that is not started.
     *
     * @param port port on the loopback address; 0 for any
     */
    public PlatformServer(int port) {
        server = Server.builder()
                .http(new InetSocketAddress("127.0.0.1", port))
                .requestTimeoutMillis(0)
                .gracefulShutdownTimeout(Duration.ZERO, Duration.ZERO)
                .service(HttpTableService.ROW_PATH, this::row)
                .service(HttpTableService.SCAN_PATH, this::scan)
                .service(HttpTableService.COMMIT_PATH, this::commit)
                .service("/v1/object/{name}", this::object)
                .service("/fault/{fault}", this::setFault)
                .service("/statistics", (context, request) -> HttpResponse.of(statistics()))
                .build();
    }

    /**
     * Starts to listen.
     *
     * @return base URL
     */
    public String start() {
        server.start().join();
        return "http://127.0.0.1:" + server.activeLocalPort();
    }

    /**
     * Sets the fault.
     *
     * @param value the fault
     */
    public void fault(StoreFault value) {
        fault = value;
    }

    /**
     * Returns the table.
     *
     * @return the table
     */
    public TableService.InMemory table() {
        return table;
    }

    @Override
    public void close() {
        server.stop();
    }

    /**
     * Serves a read.
     *
     * @param context context of the request
     * @param request the request
     * @return the answer
     */
    private HttpResponse row(ServiceRequestContext context, HttpRequest request) {
        return faulty(() -> {
            Optional<Row> row = table.read(context.queryParam("key")).join();
            return row.map(found -> json(HttpStatus.OK, found)).orElseGet(() -> HttpResponse.of(HttpStatus.NOT_FOUND));
        });
    }

    /**
     * Serves a scan.
     *
     * @param context context of the request
     * @param request the request
     * @return the answer
     */
    private HttpResponse scan(ServiceRequestContext context, HttpRequest request) {
        int limit = Integer.parseInt(context.queryParam("limit"));
        return faulty(() -> {
            List<Row> rows = table.scan(context.queryParam("prefix"), context.queryParam("after"), limit)
                    .join();
            return json(HttpStatus.OK, rows);
        });
    }

    /**
     * Serves a commit.
     *
     * @param context context of the request
     * @param request the request
     * @return the answer
     */
    private HttpResponse commit(ServiceRequestContext context, HttpRequest request) {
        return HttpResponse.of(request.aggregate().thenApply(aggregated -> {
            StoreFault present = fault;
            Transaction transaction = parse(aggregated.contentUtf8());
            if (present == StoreFault.LOSE_ANSWERS) {
                table.commit(transaction);
                return HttpResponse.streaming();
            }
            return faulty(() -> {
                long version = table.commit(transaction).join();
                HttpStatus status = version == Transaction.ABSENT ? HttpStatus.CONFLICT : HttpStatus.OK;
                return json(status, version);
            });
        }));
    }

    /**
     * Serves the object store.
     *
     * @param context context of the request
     * @param request the request
     * @return the answer
     */
    private HttpResponse object(ServiceRequestContext context, HttpRequest request) {
        String name = context.pathParam("name");
        return HttpResponse.of(request.aggregate()
                .thenApply(aggregated -> faulty(() -> {
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
     * Sets the fault from outside.
     *
     * @param context context of the request
     * @param request the request
     * @return the answer
     */
    private HttpResponse setFault(ServiceRequestContext context, HttpRequest request) {
        fault = StoreFault.valueOf(
                context.pathParam("fault").toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
        return HttpResponse.of(fault.name() + "\n");
    }

    /**
     * Runs an operation under the present fault.
     *
     * @param operation the operation
     * @return the answer
     */
    private HttpResponse faulty(java.util.function.Supplier<HttpResponse> operation) {
        return switch (fault) {
            case DOWN -> HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
            case SILENT -> HttpResponse.streaming();
            case SLOW -> HttpResponse.of(CompletableFuture.supplyAsync(
                    operation,
                    CompletableFuture.delayedExecutor(SLOW_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS)));
            default -> operation.get();
        };
    }

    /**
     * Counts operations.
     *
     * @return reads and writes so far, as JSON
     */
    private String statistics() {
        return "{\"reads\":" + table.reads() + ",\"writes\":" + table.writes() + "}";
    }

    /**
     * Parses a transaction.
     *
     * @param text JSON
     * @return the transaction
     */
    private static Transaction parse(String text) {
        try {
            return Schema.mapper().readValue(text, Transaction.class);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /**
     * Writes an answer.
     *
     * @param status HTTP status
     * @param value  the value
     * @return the answer
     */
    private static HttpResponse json(HttpStatus status, Object value) {
        return HttpResponse.of(status, MediaType.JSON, Schema.write(value));
    }
}
