package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.instance.InstanceConditions;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.result.Outcome;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against an entry that does not tell a gate what the server beside it stated before the gate restarted. */
class ConditionsInCallsTest {

    private static final InstanceConditions LIMITED = new InstanceConditions("i-1", new ServerConditions(17.9, false));
    private static final InstanceConditions LEAVING = new InstanceConditions("i-1", new ServerConditions(17.9, true));

    private final Clock.Manual clock = new Clock.Manual();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final HeaderPacking packing = new HeaderPacking(List.of());
    private final ServerGate gate = new ServerGate();
    private final Router router = RouterFixture.create(clock, timers, packing, gate, List.of(true));

    @AfterEach
    void close() {
        timers.shutdownNow();
    }

    @Test
    void callsCarryWhatServerStated() {
        gate.stated = Optional.of(LIMITED);
        call();
        call();
        gate.stated = Optional.empty();
        call();
        call();
        assertThat(gate.received)
                .containsExactly(Optional.empty(), Optional.of(LIMITED), Optional.of(LIMITED), Optional.empty())
                .inOrder();
    }

    @Test
    void callersDoNotReceiveHeaderOfNodes() {
        gate.stated = Optional.of(LIMITED);
        assertThat(call().headers().contains(CallHeaders.CONDITIONS)).isFalse();
    }

    @Test
    void leavingServerIsNotChosenAgain() {
        gate.stated = Optional.of(LEAVING);
        call();
        call();
        assertThat(gate.received).hasSize(1);
    }

    private AggregatedHttpResponse call() {
        return router.route(RouterFixture.call(clock), CallBody.Buffered.EMPTY, true, new CompletableFuture<>())
                .aggregate()
                .join();
    }

    /** Gate whose server answers each call. */
    private final class ServerGate implements Peers {

        private final List<Optional<InstanceConditions>> received = new ArrayList<>();
        private Optional<InstanceConditions> stated = Optional.empty();

        @Override
        @SuppressWarnings("unchecked")
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object request, long timeoutMillis) {
            CallMessage call = (CallMessage) request;
            received.add(
                    InstanceConditions.parse(packing.unpackRequest(call.head()).get(CallHeaders.CONDITIONS)));
            ResponseHeadersBuilder answer = ResponseHeaders.builder(200).set(CallHeaders.OUTCOME, Outcome.RAN.token());
            stated.ifPresent(conditions -> answer.set(CallHeaders.CONDITIONS, conditions.toHeader()));
            return (CompletableFuture<A>) CompletableFuture.completedFuture(
                    new CallMessage(call.call(), packing.pack(answer.build()), new byte[0]));
        }
    }
}
