package io.mustardusher.gossip;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.Gossip;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.store.TableService;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: all nodes lost power and start within 2 s of each other. The table service still has the rows of all of
 * them, and a node that has not started yet refuses connections.
 */
class StaggeredStartTest {

    private static final int DOMAINS = 3;
    private static final int SPREAD_MILLIS = 2_000;
    private static final long STEP_MILLIS = 10;
    private static final long GOSSIP_MILLIS = 250;

    private final Clock.Manual clock = new Clock.Manual();
    private final FakeNetwork network = new FakeNetwork();
    private final TableService.InMemory table = new TableService.InMemory();
    private final Random random = new Random(22);
    private final List<Member> members = new ArrayList<>();
    private long millis;
    private long refused;

    /** A node whose first contacts did not listen yet used to know nobody until its next discovery, 1 s after its start. */
    @ParameterizedTest
    @ValueSource(ints = {14, 22, 95, 300})
    void nodeKnowsPeerSoonAfterTwoNodesListen(int size) {
        startAll(size);
        assertThat(members.stream().mapToLong(Member::firstPeerDelay).max().getAsLong())
                .isAtMost(150);
    }

    /** Attempts to reach nodes that do not listen must neither read the table service again nor go on for long. */
    @ParameterizedTest
    @ValueSource(ints = {14, 22, 95, 300})
    void attemptsAreBoundedAndTableServiceIsReadOnce(int size) {
        startAll(size);
        assertThat(table.reads()).isAtMost(size);
        assertThat(table.writes()).isAtMost(size);
        assertThat(refused / size).isAtMost(40);
    }

    @Test
    void lonelyNodeGivesUp() {
        members.add(new Member(0, 0));
        IntStream.range(1, 50).forEach(port -> new Member(port, 0).discovery.register());
        runUntil(2_900);
        assertThat(refused).isAtMost(120);
        assertThat(members.get(0).retrying).isFalse();
        assertThat(table.reads()).isEqualTo(1);
    }

    private void startAll(int size) {
        for (int port = 1; port <= size; port++) {
            members.add(new Member(port, startMillis()));
            // The row from before the loss of power.
            members.get(port - 1).discovery.register();
        }
        runUntil(3L * SPREAD_MILLIS);
    }

    private void runUntil(long duration) {
        while (millis < duration) {
            clock.advanceMillis(STEP_MILLIS);
            millis += STEP_MILLIS;
            members.forEach(Member::step);
        }
    }

    /** A quarter of the VMs is fast, the others start their process more slowly. */
    private long startMillis() {
        return random.nextInt(4) == 0 ? random.nextInt(100) : 1_200 + random.nextInt(800);
    }

    private static String domain(int port) {
        return "domain-" + port % DOMAINS;
    }

    private final class Member {

        private final int port;
        private final long startMillis;
        private final MemberTable known;
        private final Gossiper gossiper;
        private PeerDiscovery discovery;
        private boolean retrying = true;
        private long firstPeerAt = Long.MAX_VALUE;

        Member(int port, long startMillis) {
            this.port = port;
            this.startMillis = startMillis / STEP_MILLIS * STEP_MILLIS + STEP_MILLIS;
            MemberRecord self = FakeNode.record(port, 1).withDomain(domain(port));
            known = new MemberTable(self, clock, new Random(random.nextLong()));
            Peers peers = countRefused(network.peersOf(port));
            SuspectReplicator suspects = new SuspectReplicator(new SuspectTable(clock), peers, known);
            gossiper = new Gossiper(known, peers, new NoConfiguration(), suspects, clock);
            discovery = newDiscovery();
        }

        PeerDiscovery newDiscovery() {
            return new PeerDiscovery(table, List.of(), known, gossiper, clock, new Random(random.nextLong()));
        }

        void step() {
            long age = millis - startMillis;
            if (age < 0) {
                return;
            }
            if (age == 0) {
                network.on(port, FrameKind.GOSSIP, (Gossip request) -> gossiper.answer(request));
                discovery.register().thenCompose(done -> discovery.discover()).join();
            }
            if (age == 100) {
                known.updateSelf(
                        own -> own.withService("service").withServing(true).withSlots(9));
                gossiper.sendToRandomMembers(8);
            }
            if (age > 0 && age % GOSSIP_MILLIS == 0) {
                gossiper.tick();
            }
            retrying = retrying && (age % PeerDiscovery.RETRY_INTERVAL_MILLIS > 0 || discovery.retryContacts());
            if (age % PeerDiscovery.INTERVAL_MILLIS == PeerDiscovery.INTERVAL_MILLIS / 2) {
                discovery.tick();
            }
            if (known.members().size() > 1) {
                firstPeerAt = Math.min(firstPeerAt, millis);
            }
        }

        /** Time from the moment at which this node and a peer listen until it knows a peer. */
        long firstPeerDelay() {
            long second = members.stream()
                    .mapToLong(m -> m.startMillis)
                    .sorted()
                    .skip(1)
                    .findFirst()
                    .getAsLong();
            return firstPeerAt - Math.max(startMillis, second);
        }

        private Peers countRefused(Peers delegate) {
            return new Peers() {
                @Override
                public <A> CompletableFuture<A> request(
                        InetSocketAddress address, FrameKind kind, Object message, long timeoutMillis) {
                    CompletableFuture<A> reply = delegate.request(address, kind, message, timeoutMillis);
                    refused += reply.isCompletedExceptionally() ? 1 : 0;
                    return reply;
                }
            };
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
