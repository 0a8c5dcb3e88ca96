package io.mustardusher.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.entry.ManualTimers;
import io.mustardusher.entry.ServerDirectory;
import io.mustardusher.evacuation.EvacuationOrders;
import io.mustardusher.frame.Credential;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.gate.Gate;
import io.mustardusher.gate.GateFixture;
import io.mustardusher.generated.DistanceSettings;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.gossip.Gossiper;
import io.mustardusher.gossip.RouteReplica;
import io.mustardusher.gossip.SuspectReplicator;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against an order that only a part of a node follows. */
class EvacuationControlTest {

    private static final ServiceName SERVICE = ServiceName.of(GateFixture.SERVICE);
    private static final long SECOND_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    private final Clock.Manual clock = new Clock.Manual();
    private final ManualTimers timers = new ManualTimers();
    private final MetricRegistry metrics = new MetricRegistry();
    private final MemberTable members = new MemberTable(member(), clock, new Random(1));
    private final Peers peers = new Peers() {
        @Override
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object request, long timeoutMillis) {
            return CompletableFuture.failedFuture(new TimeoutException());
        }
    };
    private final Gossiper gossiper = new Gossiper(
            members,
            peers,
            new RouteReplica(document -> null, peers, timers, table -> {}),
            new SuspectReplicator(new SuspectTable(clock), peers, members),
            clock);
    private final Gate gate = GateFixture.of(clock, timers, 1, CompletableFuture::new);
    private final ServerDirectory directory =
            new ServerDirectory(members, gate, new DistanceSettings(), () -> null, new Credential("c"), clock);

    @Test
    void gateAndDirectoryFollowOrdersOfOwnDomain() {
        new EvacuationControl("d", gate, directory, members, gossiper, timers, clock, metrics);
        directory.refresh();
        assertThat(directory.pool(SERVICE).size()).isEqualTo(1);
        offer(1, "d");
        assertThat(directory.pool(SERVICE).size()).isEqualTo(0);
        assertThat(call()).isEqualTo(0);
        offer(2, "e", "unknown");
        assertThat(directory.pool(SERVICE).size()).isEqualTo(1);
        assertThat(call()).isEqualTo(1);
        assertThat(metrics.counter("evacuation.evacuated").getCount()).isEqualTo(3);
        assertThat(metrics.counter("evacuation.returned").getCount()).isEqualTo(1);
    }

    @Test
    void orderForUnknownDomainIsReportedOnce() {
        new EvacuationControl("d", gate, directory, members, gossiper, timers, clock, metrics);
        offer(1, "unknown");
        timers.advance(SECOND_NANOS);
        assertThat(metrics.counter("evacuation.unknownDomains").getCount()).isEqualTo(0);
        timers.advance(10 * SECOND_NANOS);
        offer(2, "d", "unknown");
        timers.advance(10 * SECOND_NANOS);
        assertThat(metrics.counter("evacuation.unknownDomains").getCount()).isEqualTo(1);
    }

    private void offer(long version, String... domains) {
        gossiper.evacuation().offer(EvacuationOrders.of(new EvacuationOrders.Revision(0, version), List.of(domains)));
    }

    // Returns the number of calls in flight at the gate after a further one.
    private int call() {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/")
                .set(CallHeaders.SERVICE, GateFixture.SERVICE)
                .set(CallHeaders.TIMEOUT, "1200m")
                .build();
        gate.handle(HttpRequest.of(headers), new CompletableFuture<>()).aggregate();
        return gate.inFlight();
    }

    private static MemberRecord member() {
        return new MemberRecord()
                .withId("node-1")
                .withBoot(1L)
                .withState(MemberState.ALIVE.toRecordState())
                .withHost("127.0.0.1")
                .withFramePort(1L)
                .withRegion("r")
                .withDomain("d")
                .withService(GateFixture.SERVICE)
                .withSlots(1)
                .withServing(true);
    }
}
