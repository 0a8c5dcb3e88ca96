package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpRequestWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.catalogue.Catalogue;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.EntryDocument;
import io.mustardusher.generated.RevisedEntry;
import io.mustardusher.result.Outcome;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.EventExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RejectedCallsTest {

    private static final String SERVICE = "s";

    private final EventExecutor loop = new DefaultEventExecutor();
    private final Clock.Manual clock = new Clock.Manual();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final EventLoopDelay delay = new EventLoopDelay(clock);
    private final MetricRegistry metrics = new MetricRegistry();

    @AfterEach
    void stop() {
        loop.shutdownGracefully();
        timers.shutdownNow();
    }

    @Test
    void countsCallsOfUnknownServices() {
        Entry entry = entryWith(Catalogue.EMPTY);
        assertThat(call(entry)).isEqualTo(HttpStatus.NOT_FOUND);
        assertThat(call(entry)).isEqualTo(HttpStatus.NOT_FOUND);
        assertThat(rejected("service_unknown")).isEqualTo(2);
    }

    @Test
    void countsCallsBeforeFirstConfiguration() {
        assertThat(call(entryWith(null))).isEqualTo(HttpStatus.SERVICE_UNAVAILABLE);
        assertThat(rejected("node_starting")).isEqualTo(1);
        assertThat(rejected("service_unknown")).isEqualTo(0);
    }

    // A caller was told that its request is malformed because its body did not reach the node whole.
    @Test
    void doesNotBlameCallerForBodyThatDoesNotArriveWhole() {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.POST, "/")
                .set(CallHeaders.SERVICE, SERVICE)
                .contentLength(10)
                .build();
        HttpRequestWriter request = HttpRequest.streaming(headers);
        CompletableFuture<AggregatedHttpResponse> response =
                entryWith(catalogue()).handle(request, new OpenExchange(loop)).aggregate();
        request.write(HttpData.ofUtf8("12345"));
        request.close(new ClosedChannelException());
        assertThat(response.join().status()).isEqualTo(HttpStatus.SERVICE_UNAVAILABLE);
        assertThat(response.join().headers().get(CallHeaders.OUTCOME)).isEqualTo(Outcome.NOT_RUN.token());
    }

    // A caller was told that its operation did not run, although an earlier call with the same key may have.
    @Test
    void doesNotDenyRunOfKeyWhoseBodyDoesNotArriveWhole() {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.POST, "/")
                .set(CallHeaders.SERVICE, SERVICE)
                .set(CallHeaders.IDEMPOTENCY_KEY, "018f3b5e-7c1a-7000-8000-000000000001")
                .contentLength(10)
                .build();
        HttpRequestWriter request = HttpRequest.streaming(headers);
        CompletableFuture<AggregatedHttpResponse> response =
                entryWith(catalogue()).handle(request, new OpenExchange(loop)).aggregate();
        request.close(new ClosedChannelException());
        assertThat(response.join().headers().get(CallHeaders.OUTCOME)).isEqualTo(Outcome.UNKNOWN.token());
    }

    // The same, for a call that the node was too busy to take.
    @Test
    void doesNotDenyRunOfKeyWhileNodeIsBehind() {
        assertThat(delay.rejects(ServiceClass.STANDARD)).isFalse();
        clock.advanceMillis(900);
        assertThat(delay.sample()).isTrue();
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.POST, "/")
                .set(CallHeaders.SERVICE, SERVICE)
                .set(CallHeaders.IDEMPOTENCY_KEY, "018f3b5e-7c1a-7000-8000-000000000001")
                .build();
        AggregatedHttpResponse response = entryWith(catalogue())
                .handle(HttpRequest.of(headers), new OpenExchange(loop))
                .aggregate()
                .join();
        assertThat(response.headers().get(CallHeaders.OUTCOME)).isEqualTo(Outcome.UNKNOWN.token());
        assertThat(rejected("overloaded")).isEqualTo(1);
    }

    private static Catalogue catalogue() {
        EntryDocument entry = new EntryDocument()
                .withService(SERVICE)
                .withOwner(SERVICE)
                .withServiceClass(EntryDocument.ServiceClass.STANDARD);
        RevisedEntry revised =
                new RevisedEntry().withService(SERVICE).withRevision(1).withEntry(entry);
        return Catalogue.EMPTY.merge(
                new CatalogueDelta().withSince(0).withRevision(1).withEntries(List.of(revised)));
    }

    private long rejected(String label) {
        return metrics.counter("entry.rejected." + label).getCount();
    }

    private Entry entryWith(Catalogue catalogue) {
        Router router =
                RouterFixture.create(clock, timers, new HeaderPacking(List.of()), NoGates.INSTANCE, List.of(true));
        CallerProtocol protocol = new CallerProtocol.ForCatalogue(() -> catalogue);
        return new Entry(router, null, protocol, call -> {}, delay, clock, metrics);
    }

    private HttpStatus call(Entry entry) {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/")
                .set(CallHeaders.SERVICE, SERVICE)
                .build();
        return entry.handle(HttpRequest.of(headers), new OpenExchange(loop))
                .aggregate()
                .join()
                .status();
    }

    private enum NoGates implements Peers {
        INSTANCE;

        @Override
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object request, long timeoutMillis) {
            throw new UnsupportedOperationException();
        }
    }
}
