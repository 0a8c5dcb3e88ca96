package io.mustardusher.call;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;

/** The request that a backend server gets. */
public final class ServerRequest {

    /** Authorization header of the caller while the request travels between nodes. */
    static final String CALLER_AUTHORIZATION = "mustardusher-caller-authorization";

    private ServerRequest() {}

    /**
     * Writes the headers.
     *
     * @param headers   headers as they came to the gate
     * @param leftNanos time left, in nanoseconds
     * @return the headers
     */
    public static RequestHeaders headers(RequestHeaders headers, long leftNanos) {
        RequestHeadersBuilder next = CallHeaders.ofCaller(headers);
        String authorization = headers.get(CALLER_AUTHORIZATION);
        next.remove(CALLER_AUTHORIZATION);
        if (authorization != null) {
            next.set(HttpHeaderNames.AUTHORIZATION, authorization);
        }
        int depth = headers.getInt(CallHeaders.DEPTH, 0);
        next.set(CallHeaders.DEPTH, Integer.toString(depth + 1));
        next.set(CallHeaders.TIMEOUT, Timeout.format(leftNanos));
        return next.build();
    }
}
