package io.mustardusher.server;

import java.util.Optional;
import java.util.OptionalLong;

import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.instance.ServerConditions;

/**
 * Dialect of servers that echo the header {@code id} of the request, and set the header {@code not-run} in the response
 * to a request that they did not run, {@code signature}, and {@code spoiled} in a response that proves nothing.
 */
public enum EchoDialect implements ServerDialect {
    /** The only instance. */
    INSTANCE;

    @Override
    public RequestHeaders requestHeaders(RequestHeadersBuilder call, String instance, long remainingNanos) {
        return call.build();
    }

    @Override
    public Optional<String> requestId(HttpHeaders headers) {
        return Optional.ofNullable(headers.get("id"));
    }

    @Override
    public Optional<String> signature(ResponseHeaders response) {
        return Optional.ofNullable(response.get("signature"));
    }

    @Override
    public ResponseKind classify(ResponseHeaders response) {
        if (response.contains("not-run")) {
            return ResponseKind.NOT_RUN;
        }
        return response.contains("id") && !response.contains("spoiled") ? ResponseKind.RAN : ResponseKind.INVALID;
    }

    @Override
    public OptionalLong coldMillis(ResponseHeaders response) {
        return OptionalLong.of(response.getLong("cold", 0));
    }

    @Override
    public ServerConditions conditions(ResponseHeaders response) {
        return ServerConditions.NONE;
    }

    @Override
    public Optional<String> instance(ResponseHeaders response) {
        return Optional.ofNullable(response.get("instance"));
    }

    @Override
    public Optional<ReportedServerLoad> load(ResponseHeaders response) {
        return Optional.empty();
    }
}
