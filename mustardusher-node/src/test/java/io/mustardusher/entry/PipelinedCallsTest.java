package io.mustardusher.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.Server;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.http.CallerSocket;
import io.mustardusher.result.Outcome;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: callers send further requests on a connection before the first one has been answered. */
class PipelinedCallsTest {

    private static final long MINUTE_MILLIS = 60_000;
    private static final long WAIT_SECONDS = 20;

    private final Clock.Manual clock = new Clock.Manual();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final HeaderPacking packing = new HeaderPacking(List.of());
    private final HeldGate gate = new HeldGate();
    private Entry entry;
    private Server server;
    private CallerSocket caller;

    @BeforeEach
    void start() throws IOException {
        Router router = RouterFixture.create(clock, timers, packing, gate, List.of(true));
        entry = new Entry(
                router,
                null,
                new PlainProtocol(MINUTE_MILLIS, RequestLimits.NONE),
                call -> {},
                new EventLoopDelay(clock),
                clock,
                new MetricRegistry());
        caller = new CallerSocket(open(entry));
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        close();
        timers.shutdownNow();
    }

    /** Opens a listener for the entry and returns its port. */
    int open(Entry opened) {
        server = Server.builder()
                .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .gracefulShutdownTimeoutMillis(0, 0)
                .childChannelPipelineCustomizer(opened.callerConnections()::accept)
                .serviceUnder("/", opened)
                .build();
        server.start().join();
        return server.activeLocalPort();
    }

    void close() {
        server.stop().join();
    }

    @Test
    void sendsLaterCallsWhileFirstOneWaitsAndAnswersInOrder() throws Exception {
        send("/a", "/b", "/c");
        HeldCall first = gate.next();
        HeldCall second = gate.next();
        HeldCall third = gate.next();
        third.answer();
        second.answer();
        first.answer();
        String answers = caller.readUntil("body of /c");
        assertThat(answers.indexOf("body of /a")).isLessThan(answers.indexOf("body of /b"));
        assertThat(answers.indexOf("body of /b")).isLessThan(answers.indexOf("body of /c"));
    }

    @Test
    void cancelsAllCallsOfCallerThatDisconnects() throws Exception {
        send("/a", "/b");
        HeldCall first = gate.next();
        HeldCall second = gate.next();
        caller.close();
        first.cancelled.get(WAIT_SECONDS, TimeUnit.SECONDS);
        second.cancelled.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void limitsCallsInFlightOfOneConnection() throws Exception {
        int sent = 3 * CallerConnections.MAX_CALLS_IN_FLIGHT;
        HeldCall[] calls = new HeldCall[sent];
        int received = 0;
        // One request in each packet, because those that were read together with an earlier one are all handled.
        for (int i = 0; i < CallerConnections.MAX_CALLS_IN_FLIGHT; i++) {
            send("/" + i);
            calls[received++] = gate.next();
        }
        for (int i = CallerConnections.MAX_CALLS_IN_FLIGHT; i < sent; i++) {
            send("/" + i);
        }
        assertThat(gate.calls.poll(200, TimeUnit.MILLISECONDS)).isNull();
        calls[0].answer();
        caller.readUntil("body of /0");
        gate.next();
    }

    /** What is behind a response that closes the connection is sent again, so it must not have been passed on. */
    @Test
    void passesNothingOnBehindResponseThatClosesConnection() throws Exception {
        entry.drainConnections();
        send("/a");
        HeldCall first = gate.next();
        send("/b", "/c");
        first.answer();
        String answers = caller.readAll();
        assertThat(answers).contains("body of /a");
        assertThat(answers.toLowerCase(Locale.ROOT)).contains("connection: close");
        assertThat(answers).doesNotContain("body of /b");
        assertThat(gate.calls.poll()).isNull();
    }

    /** Calls that were passed on before the connection drains are answered before it closes. */
    @Test
    void answersCallsInFlightBeforeDrainingConnectionCloses() throws Exception {
        send("/a", "/b");
        HeldCall first = gate.next();
        HeldCall second = gate.next();
        entry.drainConnections();
        send("/c");
        first.answer();
        second.answer();
        gate.next().answer();
        String answers = caller.readAll();
        assertThat(answers).contains("body of /a");
        assertThat(answers).contains("body of /b");
        assertThat(answers).contains("body of /c");
    }

    private void send(String... paths) throws IOException {
        StringBuilder requests = new StringBuilder();
        for (String path : paths) {
            requests.append("GET ").append(path).append(" HTTP/1.1\r\nHost: s\r\n\r\n");
        }
        caller.send(requests.toString());
    }

    private final class HeldCall {

        private final long number;
        private final String path;
        private final CompletableFuture<CallMessage> answer = new CompletableFuture<>();
        private final CompletableFuture<Void> cancelled = new CompletableFuture<>();

        HeldCall(CallMessage message) {
            number = message.call();
            path = packing.unpackRequest(message.head()).path();
        }

        void answer() {
            byte[] body = ("body of " + path).getBytes(StandardCharsets.US_ASCII);
            ResponseHeaders headers = ResponseHeaders.builder(200)
                    .set(CallHeaders.OUTCOME, Outcome.RAN.token())
                    .contentLength(body.length)
                    .build();
            answer.complete(new CallMessage(number, packing.pack(headers), body));
        }
    }

    /** A gate that holds each call until the test answers it. */
    private final class HeldGate implements Peers {

        private final BlockingQueue<HeldCall> calls = new LinkedBlockingQueue<>();
        private final Map<Long, HeldCall> byNumber = new ConcurrentHashMap<>();

        HeldCall next() throws InterruptedException {
            HeldCall call = calls.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            assertThat(call).isNotNull();
            return call;
        }

        @Override
        @SuppressWarnings("unchecked")
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object request, long timeoutMillis) {
            CallMessage message = (CallMessage) request;
            if (kind == FrameKind.CANCEL) {
                byNumber.get(message.call()).cancelled.complete(null);
                return (CompletableFuture<A>) CompletableFuture.completedFuture(message);
            }
            HeldCall call = new HeldCall(message);
            byNumber.put(call.number, call);
            calls.add(call);
            return (CompletableFuture<A>) call.answer;
        }
    }
}
