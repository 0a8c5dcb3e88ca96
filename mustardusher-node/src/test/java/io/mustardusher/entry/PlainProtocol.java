package io.mustardusher.entry;

import java.util.Optional;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallOptions;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.catalogue.CatalogueEntry;
import io.mustardusher.catalogue.Idempotence;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.routing.RoutingPolicy;
import io.mustardusher.time.Clock;

/**
 * Protocol of callers whose requests are all idempotent calls of the same service, named after their paths.
 *
 * @param timeoutMillis time limit of each call, in milliseconds
 * @param limits        limits on requests
 */
record PlainProtocol(long timeoutMillis, RequestLimits limits) implements CallerProtocol {

    @Override
    public Call read(RequestHeaders headers, long now) {
        CatalogueEntry entry = new CatalogueEntry(
                RouterFixture.SERVICE,
                "route",
                ServiceClass.STANDARD,
                RoutingPolicy.LEAST_COST,
                Idempotence.ALWAYS,
                timeoutMillis,
                0,
                0,
                0,
                0,
                0,
                0,
                false);
        return new Call(
                entry,
                headers,
                "route",
                ServiceClass.STANDARD,
                now + timeoutMillis * Clock.NANOS_PER_MILLI,
                Optional.empty(),
                0,
                false,
                new CallOptions(headers.path(), 2, Long.MAX_VALUE, Optional.empty(), 0));
    }

    @Override
    public String callName(RequestHeaders request) {
        return CallOptions.NONE.id();
    }

    @Override
    public Optional<String> signature(ResponseHeaders answer) {
        return Optional.ofNullable(answer.get("signature"));
    }

    @Override
    public HttpResponse write(RequestHeaders request, HttpResponse answer) {
        return answer;
    }
}
