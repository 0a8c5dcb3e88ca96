package io.mustardusher.gossip;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import io.mustardusher.frame.FrameCodec;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.Gossip;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.store.TableService;
import io.mustardusher.time.Clock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: all nodes of a deployment start at the same moment, as after a loss of power. Their tables are empty,
 * so that each record has to reach every node, and each node announces its server a moment later.
 */
class SimultaneousStartTest {

    private static final int DOMAINS = 5;
    private static final long ROUND_MILLIS = 250;

    /** Time from the last start within which nine tenths of what can be served is to be served. */
    private static final long TARGET_MILLIS = 3_000;

    /** Bytes that a node may spend on control. */
    private static final long CONTROL_BYTES_PER_SECOND = 22_000;

    private final Clock.Manual clock = new Clock.Manual();
    private final FakeNetwork network = new FakeNetwork();
    private final TableService.InMemory table = new TableService.InMemory();
    private final Random random = new Random(95);
    private final AtomicLong bytesAcrossDomains = new AtomicLong();
    private final List<Member> members = new ArrayList<>();

    @ParameterizedTest
    @ValueSource(ints = {14, 95, 300})
    void allNodesKnowAllServersWithinTarget(int size) {
        startAll(size);
        assertThat(runUntilAllServersAreKnown()).isAtMost(TARGET_MILLIS);
    }

    /** Traffic between domains is priced. The same records reach all members of a domain through a few of them. */
    @ParameterizedTest
    @ValueSource(ints = {14, 95, 300})
    void trafficBetweenDomainsKeepsToTheBudgetForControl(int size) {
        startAll(size);
        int rounds = (int) (TARGET_MILLIS / ROUND_MILLIS);
        for (int i = 0; i < rounds; i++) {
            round();
        }
        long budget = CONTROL_BYTES_PER_SECOND * TARGET_MILLIS / 1_000;
        assertThat(bytesAcrossDomains.get() / size).isAtMost(budget);
    }

    /** Each node costs the table service one write and one read, whatever the size of the deployment. */
    @ParameterizedTest
    @ValueSource(ints = {14, 95, 300})
    void readsAndWritesTableServiceOnceForEachNode(int size) {
        startAll(size);
        assertThat(table.reads()).isAtMost(size);
        assertThat(table.writes()).isAtMost(size);
    }

    private void startAll(int size) {
        for (int port = 0; port < size; port++) {
            members.add(new Member(port));
        }
        members.forEach(member -> member.discovery.register().join());
        members.forEach(member -> member.discovery.discover().join());
        members.forEach(member -> {
            member.table.updateSelf(
                    self -> self.withService("service").withServing(true).withSlots(9));
            member.gossiper.sendToRandomMembers(8);
        });
    }

    private long runUntilAllServersAreKnown() {
        long elapsed = 0;
        while (elapsed < 10 * TARGET_MILLIS && !members.stream().allMatch(this::knowsAllServers)) {
            round();
            elapsed += ROUND_MILLIS;
        }
        return elapsed;
    }

    private void round() {
        clock.advanceMillis(ROUND_MILLIS);
        members.forEach(member -> member.gossiper.tick());
    }

    private boolean knowsAllServers(Member member) {
        long known = member.table.members().stream()
                .filter(record -> MemberState.of(record) == MemberState.ALIVE && record.isServing())
                .count();
        return known == members.size();
    }

    private static String domain(int port) {
        return "domain-" + port % DOMAINS;
    }

    private final class Member {

        private final MemberTable table;
        private final Gossiper gossiper;
        private final PeerDiscovery discovery;

        Member(int port) {
            table = new MemberTable(
                    new MemberRecord()
                            .withId("sidecar-" + domain(port) + "-" + port / DOMAINS)
                            .withBoot(1_700_000_000_000L + port)
                            .withIncarnation(1)
                            .withState(MemberState.ALIVE.toRecordState())
                            .withHost("10.0.0.1")
                            .withGatePort(8_300)
                            .withFramePort(FakeNetwork.framePort(port))
                            .withRegion("region")
                            .withDomain(domain(port)),
                    clock,
                    new Random(random.nextLong()));
            Peers peers = new CountingPeers(port, network.peersOf(port));
            SuspectReplicator suspects = new SuspectReplicator(new SuspectTable(clock), peers, table);
            gossiper = new Gossiper(table, peers, new NoConfiguration(), suspects, clock);
            discovery = new PeerDiscovery(
                    SimultaneousStartTest.this.table, List.of(), table, gossiper, clock, new Random(random.nextLong()));
            network.on(port, FrameKind.GOSSIP, (Gossip request) -> gossiper.answer(request));
        }
    }

    private final class CountingPeers implements Peers {

        private final int port;
        private final Peers delegate;

        CountingPeers(int port, Peers delegate) {
            this.port = port;
            this.delegate = delegate;
        }

        @Override
        public <A> CompletableFuture<A> request(
                InetSocketAddress address, FrameKind kind, Object message, long timeoutMillis) {
            count(address, message);
            CompletableFuture<A> reply = delegate.request(address, kind, message, timeoutMillis);
            reply.thenAccept(answer -> count(address, answer));
            return reply;
        }

        private void count(InetSocketAddress address, Object message) {
            int size = FrameCodec.sizeOf(message);
            if (!domain(FakeNetwork.nodeAt(address)).equals(domain(port))) {
                bytesAcrossDomains.addAndGet(size);
            }
        }
    }

    private static final class NoConfiguration implements ReplicatedConfiguration {

        @Override
        public long revision() {
            return 0;
        }

        @Override
        public void onPeerRevision(MemberRecord peer, long revision) {
            // Only the membership is observed.
        }
    }
}
