package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.catalogue.Catalogue;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.http.RequestExchange;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ImmediateEventExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RejectedCallsTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final MetricRegistry metrics = new MetricRegistry();

    @AfterEach
    void stop() {
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

    private long rejected(String label) {
        return metrics.counter("entry.rejected." + label).getCount();
    }

    private Entry entryWith(Catalogue catalogue) {
        Router router =
                RouterFixture.create(clock, timers, new HeaderPacking(List.of()), NoGates.INSTANCE, List.of(true));
        CallerProtocol protocol = new CallerProtocol.ForCatalogue(() -> catalogue);
        return new Entry(router, null, protocol, call -> {}, new EventLoopDelay(clock), clock, metrics);
    }

    private static HttpStatus call(Entry entry) {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/")
                .set(CallHeaders.SERVICE, "absent")
                .build();
        return entry.handle(HttpRequest.of(headers), new OpenExchange())
                .aggregate()
                .join()
                .status();
    }

    private static final class OpenExchange implements RequestExchange {

        private final CompletableFuture<Void> pending = new CompletableFuture<>();

        @Override
        public CompletableFuture<Void> cancelled() {
            return pending;
        }

        @Override
        public CompletableFuture<Void> ended() {
            return pending;
        }

        @Override
        public boolean isUnanswerable() {
            return false;
        }

        @Override
        public void closeAfterResponse() {
            throw new UnsupportedOperationException();
        }

        @Override
        public EventExecutor executor() {
            return ImmediateEventExecutor.INSTANCE;
        }
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
