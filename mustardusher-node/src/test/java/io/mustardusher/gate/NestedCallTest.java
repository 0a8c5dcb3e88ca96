package io.mustardusher.gate;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.admission.Ticket;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.CallOptions;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.call.NestedCallProtocol;
import io.mustardusher.call.PrecedenceHeaders;
import io.mustardusher.catalogue.CatalogueEntry;
import io.mustardusher.catalogue.Idempotence;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.routing.RoutingPolicy;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against nested calls that are treated as new calls, and fail a request that already holds a slot. */
class NestedCallTest {

    private static final long PARENT_MILLIS = 800;

    private final Clock.Manual clock = new Clock.Manual();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final CompletableFuture<AggregatedHttpResponse> server = new CompletableFuture<>();
    private final Gate gate = GateFixture.of(clock, timers, 1, () -> server);
    private final CallerProtocol protocol =
            new NestedCallProtocol(new IdProtocol(), gate.runningCalls(), new MetricRegistry());

    @AfterEach
    void close() {
        timers.shutdownNow();
    }

    @Test
    void nestedCallHasRankAccountAndDeadlineOfParent() {
        runParent();
        Call nested = read("req-1.2");
        assertThat(nested.serviceClass()).isEqualTo(ServiceClass.CRITICAL);
        assertThat(nested.deadlineNanos()).isEqualTo(PARENT_MILLIS * Clock.NANOS_PER_MILLI);
        assertThat(PrecedenceHeaders.read(nested.headersForNode(1, 1_000, 0).build()))
                .isEqualTo(new Ticket.Precedence(3, true, "a+b"));
    }

    @Test
    void callsWithoutRunningParentAreOrdinary() {
        runParent();
        for (String id : new String[] {"req-1", "req-2.1", "req-1.", ".1", "-", "req-1.1.1"}) {
            Call call = read(id);
            assertThat(call.options().parent()).isEqualTo(Optional.empty());
            assertThat(call.serviceClass()).isEqualTo(ServiceClass.STANDARD);
            assertThat(PrecedenceHeaders.read(call.headersForNode(1, 1_000, 0).build()))
                    .isEqualTo(Ticket.Precedence.NONE);
        }
    }

    @Test
    void nestedCallOfExpiredParentIsRejected() {
        runParent();
        clock.advanceMillis(PARENT_MILLIS);
        assertThat(assertThrows(MustardusherException.class, () -> read("req-1.1"))
                        .code())
                .isEqualTo(ResultCode.DEADLINE_EXPIRED);
    }

    @Test
    void parentIsForgottenWhenItsRunEnds() {
        HttpResponse response = runParent();
        server.complete(AggregatedHttpResponse.of(ResponseHeaders.builder(200)
                .set(CallHeaders.OUTCOME, Outcome.RAN.token())
                .build()));
        response.aggregate().join();
        assertThat(read("req-1.1").options().parent()).isEqualTo(Optional.empty());
    }

    private HttpResponse runParent() {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/x")
                .set(CallHeaders.SERVICE, GateFixture.SERVICE)
                .set(CallHeaders.CLASS, ServiceClass.CRITICAL.token())
                .set(CallHeaders.TIMEOUT, PARENT_MILLIS + "m")
                .set(CallHeaders.ACCOUNT, "a+b")
                .set(CallHeaders.ROUTE_PRIORITY, "3")
                .set(GateFixture.CALL_ID, "req-1")
                .build();
        return gate.handle(HttpRequest.of(headers), new CompletableFuture<>());
    }

    private Call read(String id) {
        return protocol.read(
                RequestHeaders.builder(HttpMethod.GET, "/")
                        .set(GateFixture.CALL_ID, id)
                        .build(),
                clock.nanoTime());
    }

    /** Protocol of calls of a standard class with a time limit of one second. */
    private static final class IdProtocol implements CallerProtocol {

        @Override
        public Call read(RequestHeaders headers, long now) {
            CatalogueEntry entry = new CatalogueEntry(
                    ServiceName.of("inner"),
                    "route",
                    ServiceClass.STANDARD,
                    RoutingPolicy.LEAST_COST,
                    Idempotence.ALWAYS,
                    1_000,
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
                    now + 1_000 * Clock.NANOS_PER_MILLI,
                    Optional.empty(),
                    0,
                    false,
                    new CallOptions(headers.get(GateFixture.CALL_ID), 2, Long.MAX_VALUE, Optional.empty(), 0));
        }

        @Override
        public String callName(RequestHeaders request) {
            return request.get(GateFixture.CALL_ID);
        }

        @Override
        public RequestLimits limits() {
            return RequestLimits.NONE;
        }

        @Override
        public HttpResponse write(RequestHeaders request, HttpResponse answer) {
            return answer;
        }
    }
}
