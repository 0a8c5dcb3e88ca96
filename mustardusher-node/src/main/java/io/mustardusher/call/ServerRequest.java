package io.mustardusher.call;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;

/** Creates the requests that a gate sends to its backend server. */
public final class ServerRequest {

    /**
     * Header that holds the caller's authorization between nodes, where the authorization header holds the shared
     * credential.
     */
    static final String CALLER_AUTHORIZATION = "mustardusher-caller-authorization";

    private ServerRequest() {}

    /**
     * Creates the headers of the request to a backend server.
     *
     * @param headers        request headers as received by the gate
     * @param remainingNanos time until the deadline, in nanoseconds
     * @return the headers
     */
    public static RequestHeaders headers(RequestHeaders headers, long remainingNanos) {
        RequestHeadersBuilder next = CallHeaders.copyFromCaller(headers);
        String authorization = headers.get(CALLER_AUTHORIZATION);
        if (authorization != null) {
            next.set(HttpHeaderNames.AUTHORIZATION, authorization);
        }
        int depth = headers.getInt(CallHeaders.DEPTH, 0);
        next.set(CallHeaders.DEPTH, Integer.toString(depth + 1));
        next.set(CallHeaders.TIMEOUT, Timeout.format(remainingNanos));
        return next.build();
    }
}
