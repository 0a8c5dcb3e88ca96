package io.mustardusher.http;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;

/** Handles the requests that arrive at a listener. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Handles a request.
     *
     * @param request  the request; its body may still be arriving
     * @param exchange the request's place on its connection
     * @return the response, which is sent when it is complete
     */
    HttpResponse handle(HttpRequest request, RequestExchange exchange);
}
