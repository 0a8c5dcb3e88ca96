package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.call.Problem;
import io.mustardusher.evacuation.EvacuationOrders;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.membership.NodeId;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.LoadReport;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: a failure domain is evacuated while calls arrive. Servers 1 and 3 are in domain e, servers 2 and 4 in
 * the entry's own domain d.
 */
class EvacuatedDomainTest {

    private static final int CALLS = 40;

    private final Clock.Manual clock = new Clock.Manual();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final HeaderPacking packing = new HeaderPacking(List.of());
    private final Gates gates = new Gates();
    private final Router router = RouterFixture.create(clock, timers, packing, gates, List.of(true, true, true, true));
    private final List<NodeId> evacuatedGates = new ArrayList<>();
    private EvacuationOrders orders = EvacuationOrders.NONE;

    @AfterEach
    void close() {
        timers.shutdownNow();
    }

    @Test
    void sendsNothingToEvacuatedDomainUntilOrderEnds() {
        order(1, "d");
        assertThat(call(CALLS)).containsExactly(ResultCode.OK);
        assertThat(gates.reached).containsExactly(1, 3);
        gates.reached.clear();
        order(2, "e");
        assertThat(call(CALLS)).containsExactly(ResultCode.OK);
        assertThat(gates.reached).containsExactly(2, 4);
        gates.reached.clear();
        order(3);
        call(CALLS);
        assertThat(gates.reached).containsAtLeast(2, 4);
    }

    // Guards against servers that are not chosen after the end of an order, because they were slow before it.
    @Test
    void usesReturnedServersThatWereSlowBeforeOrder() {
        gates.serviceMicros = 300_000;
        call(CALLS);
        order(1, "d");
        gates.serviceMicros = 10_000;
        call(5 * CALLS);
        gates.reached.clear();
        order(2);
        call(CALLS);
        assertThat(gates.reached).containsAtLeast(2, 4);
    }

    @Test
    void refusesAtOnceWhenAllDomainsAreEvacuated() {
        order(1, "d", "e");
        assertThat(call(1)).containsExactly(ResultCode.NO_SERVER);
        assertThat(gates.reached).isEmpty();
    }

    // Guards against a server that stays unused because its gate learned of the end of the order after the entry did.
    @Test
    void usesServerAgainAlthoughItsGateRefusedAfterEndOfOrder() {
        order(1, "d");
        order(2);
        gates.evacuated = Set.of(2, 4);
        assertThat(call(CALLS)).containsExactly(ResultCode.OK);
        assertThat(evacuatedGates).contains(NodeId.of("node-2"));
        gates.evacuated = Set.of();
        gates.reached.clear();
        call(CALLS);
        assertThat(gates.reached).containsAtLeast(2, 4);
    }

    // Guards against calls that fail because each attempt meets a further gate that knows of the order before the
    // entry.
    @Test
    void triesElsewhereWhenGateKnowsOfOrderFirst() {
        order(0);
        gates.evacuated = Set.of(2, 4);
        assertThat(call(CALLS)).containsExactly(ResultCode.OK);
        assertThat(evacuatedGates).isNotEmpty();
    }

    private void order(long version, String... domains) {
        orders = EvacuationOrders.of(new EvacuationOrders.Revision(0, version), List.of(domains));
        RouterFixture.followOrders(router, () -> orders, evacuatedGates::add);
    }

    private Set<ResultCode> call(int count) {
        Set<ResultCode> results = new HashSet<>();
        for (int i = 0; i < count; i++) {
            AggregatedHttpResponse answer = router.route(
                            RouterFixture.call(clock), CallBody.Buffered.EMPTY, true, new CompletableFuture<>())
                    .aggregate()
                    .join();
            results.add(ResultCode.of(answer.headers().get(CallHeaders.CODE)).orElseThrow());
        }
        return results;
    }

    /** Gates, numbered by their ports, of which some refuse because their domain is evacuated. */
    private final class Gates implements Peers {

        private final Set<Integer> reached = new HashSet<>();
        private Set<Integer> evacuated = Set.of();
        private long serviceMicros;

        @Override
        @SuppressWarnings("unchecked")
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object request, long timeoutMillis) {
            int gate = address.getPort() - 1;
            String load = new LoadReport(0, 0, 4, serviceMicros, false).toHeader();
            ResponseHeaders answer;
            if (evacuated.contains(gate)) {
                answer = Problem.gateResponse(ResultCode.DRAINING, load).build();
            } else {
                reached.add(gate);
                answer = ResponseHeaders.builder(200)
                        .set(CallHeaders.OUTCOME, Outcome.RAN.token())
                        .set(CallHeaders.LOAD, load)
                        .build();
            }
            return (CompletableFuture<A>) CompletableFuture.completedFuture(
                    new CallMessage(((CallMessage) request).call(), packing.pack(answer), new byte[0]));
        }
    }
}
