package io.mustardusher.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import io.mustardusher.account.Account;
import io.mustardusher.account.AccountName;
import io.mustardusher.account.AccountTable;
import io.mustardusher.account.KeyDigest;
import io.mustardusher.entry.ManualTimers;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.generated.CataloguePull;
import io.mustardusher.generated.RouteDocument;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RouteTable;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RouteReplicaTest {

    private static final int SELF = 1;
    private static final int PEER = 2;

    private final FakeNetwork network = new FakeNetwork();
    private final ManualTimers timers = new ManualTimers();
    private final List<Long> inForce = new ArrayList<>();
    private final RouteReplica routes = new RouteReplica(
            RouteReplicaTest::decode, network.peersOf(SELF), timers, table -> inForce.add(table.version()));

    @Test
    void appliesOnlyHigherVersions() {
        offer(4);
        offer(9);
        offer(7);
        offer(9);
        assertThat(inForce).containsExactly(4L, 9L).inOrder();
    }

    // Guards against a revocation that no metric shows.
    @Test
    void countsRevokedKeys() {
        AccountTable.Builder accounts = AccountTable.builder();
        Account account = new Account(AccountName.of("a"), OptionalInt.empty(), 0, 0);
        accounts.add(account, List.of(KeyDigest.of("key-1"), KeyDigest.of("key-2")));
        AccountTable table = accounts.build();
        RouteReplica replica = new RouteReplica(
                document -> RouteTable.builder(document.getVersion())
                        .accounts(document.getVersion() == 1 ? table : AccountTable.DISABLED)
                        .build(),
                network.peersOf(SELF),
                timers,
                changed -> {});
        replica.offer(new RouteDocument().withVersion(1), "test");
        assertThat(replica.revokedKeys()).isEqualTo(0);
        replica.offer(new RouteDocument().withVersion(2), "test");
        replica.offer(new RouteDocument().withVersion(3), "test");
        assertThat(replica.revokedKeys()).isEqualTo(2);
    }

    @Test
    void keepsPreviousVersionWhenNewOneCannotBeDecoded() {
        offer(4);
        routes.offer(new RouteDocument().withVersion(5).withText("broken"), "test");
        assertThat(routes.revision()).isEqualTo(4);
    }

    @Test
    void answersWithTextOnlyIfVersionIsNewer() {
        offer(4);
        assertThat(request(3).getText()).isEqualTo("text");
        assertThat(request(4).getText()).isNull();
    }

    /** A version that was damaged on its way, or could not be decoded, barred its own number for good. */
    @Test
    void appliesReadableTextOfVersionThatWasUnreadable() {
        offer(4);
        routes.offer(new RouteDocument().withVersion(5).withText("broken"), "test");
        offer(5);
        assertThat(inForce).containsExactly(4L, 5L).inOrder();
    }

    /** The table service delivered a version damaged, and the peers that had it whole were not asked. */
    @Test
    void pullsVersionFromPeerThatWasUnreadable() {
        offer(4);
        routes.offer(new RouteDocument().withVersion(5).withText("broken"), "test");
        AtomicInteger pulls = servePeer("text");
        gossip(5);
        assertThat(inForce).containsExactly(4L, 5L).inOrder();
        assertThat(pulls.get()).isEqualTo(1);
    }

    /** Guards against a silent watch of the table service that nobody notices while peers deliver. */
    @Test
    void reportsVersionThatOnlyPeerDelivered() {
        AtomicInteger reports = new AtomicInteger();
        routes.onPulledVersion(reports::incrementAndGet);
        offer(4);
        assertThat(reports.get()).isEqualTo(0);
        servePeer("text");
        gossip(5);
        gossip(5);
        assertThat(reports.get()).isEqualTo(1);
    }

    /** A text that only this node cannot decode is not transferred again with each gossip message. */
    @Test
    void pullsUnreadableTextOnce() {
        offer(4);
        AtomicInteger pulls = servePeer("broken");
        gossip(5);
        gossip(5);
        routes.offer(new RouteDocument().withVersion(5).withText("broken"), "test");
        gossip(5);
        assertThat(pulls.get()).isEqualTo(1);
        assertThat(routes.revision()).isEqualTo(4);
    }

    /** A failure of any kind in the decoder ended the watch of the table service. */
    @Test
    void keepsPreviousVersionWhenDecoderFails() {
        offer(4);
        routes.offer(new RouteDocument().withVersion(5).withText("failing"), "test");
        offer(6);
        assertThat(inForce).containsExactly(4L, 6L).inOrder();
    }

    /** A failure of the listener ended the watch of the table service. */
    @Test
    void versionIsInForceWhenListenerFails() {
        RouteReplica failing = new RouteReplica(RouteReplicaTest::decode, network.peersOf(SELF), timers, table -> {
            throw new IllegalStateException("listener");
        });
        failing.offer(new RouteDocument().withVersion(5).withText("text"), "test");
        assertThat(failing.revision()).isEqualTo(5);
        assertThat(failing.answer(new CataloguePull().withSince(4L)).join().getText())
                .isEqualTo("text");
    }

    private AtomicInteger servePeer(String text) {
        AtomicInteger pulls = new AtomicInteger();
        network.on(PEER, FrameKind.ROUTES, (CataloguePull request) -> {
            pulls.incrementAndGet();
            return CompletableFuture.completedFuture(
                    new RouteDocument().withVersion(5).withText(text));
        });
        return pulls;
    }

    private void gossip(long revision) {
        routes.onPeerRevision(FakeNode.record(PEER, 1), revision);
        timers.advance(1_000 * Clock.NANOS_PER_MILLI);
    }

    private RouteDocument request(long since) {
        return routes.answer(new CataloguePull().withSince(since)).join();
    }

    private void offer(long version) {
        routes.offer(new RouteDocument().withVersion(version).withText("text"), "test");
    }

    private static RouteTable decode(RouteDocument document) {
        if ("broken".equals(document.getText())) {
            throw new MustardusherException(ResultCode.ENTRY_INVALID, "broken");
        }
        if ("failing".equals(document.getText())) {
            throw new IllegalStateException("decoder");
        }
        return RouteTable.builder(document.getVersion()).build();
    }
}
