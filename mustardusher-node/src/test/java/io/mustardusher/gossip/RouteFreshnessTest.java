package io.mustardusher.gossip;

import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.mustardusher.account.Account;
import io.mustardusher.account.AccountName;
import io.mustardusher.account.AccountTable;
import io.mustardusher.account.KeyDigest;
import io.mustardusher.entry.ManualTimers;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.generated.CataloguePull;
import io.mustardusher.generated.FreshnessRecord;
import io.mustardusher.generated.RouteDocument;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.route.RouteTable;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RouteFreshnessTest {

    private static final long BOUND_MILLIS = 5_000;
    private static final int SELF = 1;
    private static final int PEER = 2;
    private static final String WITH_ACCOUNTS = "accounts";

    private final Clock.Manual clock = new Clock.Manual();
    private final FakeNetwork network = new FakeNetwork();
    private final TestNode self = new TestNode(SELF, PEER);
    private final TestNode peer = new TestNode(PEER, SELF);

    @Test
    void provesVersionByTableServiceUntilTheAgeIsTooHigh() {
        self.routes.offer(document(3, WITH_ACCOUNTS), "test");
        assertThat(self.freshness.acceptsKeys(3)).isFalse();
        assertThat(self.freshness.ageMillis()).isEqualTo(-1);
        self.stored = CompletableFuture.completedFuture(3L);
        self.freshness.tick();
        assertThat(self.freshness.acceptsKeys(3)).isTrue();
        assertThat(self.freshness.acceptsKeys(2)).isFalse();
        clock.advanceMillis(BOUND_MILLIS - 300);
        assertThat(self.freshness.acceptsKeys(3)).isTrue();
        clock.advanceMillis(1);
        assertThat(self.freshness.acceptsKeys(3)).isFalse();
    }

    @Test
    void nodeThatTableServiceRejectsIsProvedByPeerAndFetchesItsVersion() {
        self.routes.offer(document(3, WITH_ACCOUNTS), "test");
        peer.routes.offer(document(4, WITH_ACCOUNTS), "test");
        peer.stored = CompletableFuture.completedFuture(4L);
        peer.freshness.tick();
        clock.advanceMillis(1_500);
        self.freshness.tick();
        assertThat(self.routes.revision()).isEqualTo(4);
        assertThat(self.freshness.acceptsKeys(4)).isTrue();
        assertThat(self.freshness.ageMillis()).isEqualTo(1_500);
    }

    @Test
    void peerWithVersionThatCannotBeDecodedProvesNothing() {
        self.routes.offer(document(3, WITH_ACCOUNTS), "test");
        peer.routes.offer(document(4, WITH_ACCOUNTS), "test");
        peer.stored = CompletableFuture.completedFuture(4L);
        peer.freshness.tick();
        self.decodable = false;
        self.freshness.tick();
        assertThat(self.freshness.ageMillis()).isEqualTo(-1);
    }

    // Guards against a cost where there is nothing to prove.
    @Test
    void sendsNothingWithoutAccounts() {
        self.routes.offer(document(3, ""), "test");
        self.freshness.tick();
        clock.advanceMillis(2_000);
        self.freshness.tick();
        assertThat(self.reads).isEqualTo(0);
        assertThat(peer.asked).isEqualTo(0);
    }

    private static RouteDocument document(long version, String text) {
        return new RouteDocument().withVersion(version).withText(text);
    }

    /** A node with routes and their proof. The table service does not serve it at first. */
    private final class TestNode {

        private final RouteReplica routes;
        private final RouteFreshness freshness;
        private CompletableFuture<Long> stored = CompletableFuture.failedFuture(new IllegalStateException("rejected"));
        private boolean decodable = true;
        private int reads;
        private int asked;

        TestNode(int port, int other) {
            MemberTable members = new MemberTable(FakeNode.record(port, 1), clock, new Random(1));
            members.merge(List.of(FakeNode.record(other, 1)));
            routes = new RouteReplica(this::decode, network.peersOf(port), new ManualTimers(), table -> {});
            freshness = new RouteFreshness(
                    members,
                    network.peersOf(port),
                    routes,
                    () -> {
                        reads++;
                        return stored;
                    },
                    BOUND_MILLIS * Clock.NANOS_PER_MILLI,
                    clock,
                    new Random(1));
            network.on(port, FrameKind.ROUTES, (CataloguePull request) -> routes.answer(request));
            network.on(port, FrameKind.FRESHNESS, (FreshnessRecord request) -> {
                asked++;
                return freshness.answer(request);
            });
        }

        private RouteTable decode(RouteDocument document) {
            if (!decodable) {
                throw new IllegalStateException("cannot be decoded");
            }
            RouteTable.Builder table = RouteTable.builder(document.getVersion());
            if (WITH_ACCOUNTS.equals(document.getText())) {
                AccountTable.Builder accounts = AccountTable.builder();
                accounts.add(new Account(AccountName.of("a"), OptionalInt.empty(), 0, 0), List.of(KeyDigest.of("k")));
                table.accounts(accounts.build());
            }
            return table.build();
        }
    }
}
