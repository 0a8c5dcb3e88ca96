package io.mustardusher.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.schema.Schema;

/** Client that accesses the table service over HTTP. */
public final class HttpTableService implements TableService {

    /** Path from which a single row is read. */
    public static final String ROW_PATH = "/v1/row";

    /** Path from which a range of rows is read. */
    public static final String SCAN_PATH = "/v1/scan";

    /** Path to which transactions are posted. */
    public static final String COMMIT_PATH = "/v1/commit";

    private final WebClient client;

    /**
     * Creates a client of the table service.
     *
     * @param client HTTP client of the service, configured with the timeout of an operation
     */
    public HttpTableService(WebClient client) {
        this.client = client;
    }

    /**
     * Creates a client of the table service.
     *
     * @param url           base URL of the service
     * @param timeoutMillis timeout of an operation, in milliseconds
     * @return the client
     */
    public static HttpTableService of(String url, long timeoutMillis) {
        return new HttpTableService(
                WebClient.builder(url).responseTimeoutMillis(timeoutMillis).build());
    }

    @Override
    public CompletableFuture<Optional<Row>> read(String key) {
        String path = ROW_PATH + "?" + QueryParams.of("key", key).toQueryString();
        return send(HttpRequest.of(HttpMethod.GET, path), ResultCode.STORE_UNAVAILABLE)
                .thenApply(response -> response.status().equals(HttpStatus.NOT_FOUND)
                        ? Optional.empty()
                        : Optional.of(parse(response, new TypeReference<Row>() {})));
    }

    @Override
    public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
        QueryParams params = QueryParams.of("prefix", prefix, "after", after, "limit", Integer.toString(limit));
        String path = SCAN_PATH + "?" + params.toQueryString();
        return send(HttpRequest.of(HttpMethod.GET, path), ResultCode.STORE_UNAVAILABLE)
                .thenApply(response -> parse(response, new TypeReference<List<Row>>() {}));
    }

    @Override
    public CompletableFuture<Long> commit(Transaction transaction) {
        HttpRequest request = HttpRequest.of(HttpMethod.POST, COMMIT_PATH, MediaType.JSON, Schema.write(transaction));
        return send(request, ResultCode.CHANGE_UNRESOLVED)
                .thenApply(response -> response.status().equals(HttpStatus.CONFLICT)
                        ? Long.valueOf(Transaction.ABSENT)
                        : parse(response, new TypeReference<Long>() {}));
    }

    /**
     * Sends a request.
     *
     * @param request  the request
     * @param lostCode code of the failure if the request was sent but its result is unknown
     * @return the response
     */
    private CompletableFuture<AggregatedHttpResponse> send(HttpRequest request, ResultCode lostCode) {
        return client.execute(request).aggregate().handle((response, failure) -> {
            if (failure != null) {
                throw toException(failure, lostCode);
            }
            if (response.status().equals(HttpStatus.SERVICE_UNAVAILABLE)) {
                throw new MustardusherException(ResultCode.STORE_UNAVAILABLE, "the table service refuses");
            }
            if (response.status().isServerError()) {
                throw new MustardusherException(lostCode, "the table service answers " + response.status());
            }
            return response;
        });
    }

    private static MustardusherException toException(Throwable failure, ResultCode lostCode) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean unsent = cause instanceof UnprocessedRequestException;
        ResultCode code = unsent ? ResultCode.STORE_UNAVAILABLE : lostCode;
        return new MustardusherException(code, "the table service does not answer: " + cause, cause);
    }

    private static <T> T parse(AggregatedHttpResponse response, TypeReference<T> type) {
        try {
            return Schema.mapper().readValue(response.contentUtf8(), type);
        } catch (JsonProcessingException e) {
            throw new MustardusherException(ResultCode.STORE_UNAVAILABLE, "malformed answer of the table service", e);
        }
    }
}
