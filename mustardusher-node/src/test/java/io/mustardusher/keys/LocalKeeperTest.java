package io.mustardusher.keys;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import io.mustardusher.claim.Keeper;
import io.mustardusher.claim.KeyLedger;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.generated.ConfirmRequest;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.WitnessRequest;
import io.mustardusher.gossip.FakeNetwork;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.store.Row;
import io.mustardusher.store.TableService;
import io.mustardusher.store.Transaction;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LocalKeeperTest {

    private static final String SERVICE = "ledger";
    private static final int SIZE = 3;

    private final Clock.Manual clock = new Clock.Manual();
    private final FakeNetwork network = new FakeNetwork();
    private final TableService.InMemory table = new TableService.InMemory();
    private final MemberTable[] members = new MemberTable[SIZE];
    private final LocalKeeper[] keepers = new LocalKeeper[SIZE];
    private boolean storeDown;

    @BeforeEach
    void startNodes() {
        for (int port = 0; port < SIZE; port++) {
            startNode(port, 1);
        }
        runFor(5_000);
    }

    @Test
    void addsAllNodesToOneGroup() {
        for (int port = 0; port < SIZE; port++) {
            assertThat(ledger(port).group().orElseThrow().current().keepers()).hasSize(SIZE);
            assertThat(ledger(port).hasLease()).isTrue();
        }
    }

    @Test
    void keepsLeaseWhileStoreIsDownIfAllKeepersConfirm() {
        storeDown = true;
        runFor(60_000);
        assertThat(ledger(0).hasLease()).isTrue();
    }

    @Test
    void losesLeaseIfKeeperFailsWhileStoreIsDownAndRegainsItAfterwards() {
        storeDown = true;
        failNode(2);
        runFor(5_000);
        assertThat(ledger(0).hasLease()).isFalse();
        storeDown = false;
        runFor(10_000);
        assertThat(ledger(0).hasLease()).isTrue();
        assertThat(ledger(0).group().orElseThrow().current().keepers()).hasSize(2);
    }

    @Test
    void removesFailedKeeper() {
        failNode(2);
        runFor(10_000);
        assertThat(ledger(1).group().orElseThrow().current().keepers()).hasSize(2);
        assertThat(ledger(1).hasLease()).isTrue();
    }

    @Test
    void removedKeeperLosesLeaseAndRejoinsWhenReachableAgain() {
        network.disconnect(2);
        failNode(2);
        runFor(10_000);
        assertThat(ledger(2).hasLease()).isFalse();
        network.reconnect(2);
        reviveNode(2, 1);
        runFor(10_000);
        assertThat(ledger(2).hasLease()).isTrue();
        assertThat(ledger(0).group().orElseThrow().current().keepers()).hasSize(SIZE);
    }

    @Test
    void replacesAllKeepersAfterRestartOfAllNodes() {
        for (int port = 0; port < SIZE; port++) {
            startNode(port, 2);
        }
        runFor(20_000);
        for (int port = 0; port < SIZE; port++) {
            assertThat(ledger(port).hasLease()).isTrue();
        }
        assertThat(ledger(0).group().orElseThrow().current().keepers().stream().map(Keeper::boot))
                .containsExactly(2L, 2L, 2L);
    }

    @Test
    void removesItselfFromGroupWhenLeaving() {
        keepers[1].leave().join();
        runFor(3_000);
        assertThat(ledger(0).group().orElseThrow().current().keepers()).hasSize(2);
    }

    @Test
    void doesNotAccessStoreWhileGroupIsUnchanged() {
        long before = table.reads() + table.writes();
        runFor(60_000);
        assertThat(table.reads() + table.writes()).isEqualTo(before);
    }

    private KeyLedger<AggregatedHttpResponse> ledger(int port) {
        return keepers[port].ledger(SERVICE).orElseThrow();
    }

    private void startNode(int port, long boot) {
        Random random = new Random(port + 10 * boot);
        members[port] = new MemberTable(record(port, boot, 1, MemberState.ALIVE), clock, random);
        for (int other = 0; other < SIZE; other++) {
            if (members[other] != null) {
                members[other].merge(List.of(members[port].self()));
                members[port].merge(List.of(members[other].self()));
            }
        }
        Keeper self = new Keeper("n" + port, boot, "d" + port);
        keepers[port] = new LocalKeeper(
                self, new KeeperStore(new FailableTable()), network.peersOf(port), members[port], clock, random);
        keepers[port].serve(SERVICE, 600_000);
        LocalKeeper keeper = keepers[port];
        network.on(port, FrameKind.CONFIRM, (ConfirmRequest request) -> keeper.answer(request));
        network.on(port, FrameKind.WITNESS, (WitnessRequest request) -> keeper.answer(request));
    }

    private void failNode(int port) {
        network.disconnect(port);
        for (int other = 0; other < SIZE; other++) {
            if (other != port) {
                members[other].merge(List.of(record(port, 1, 1, MemberState.FAILED)));
            }
        }
    }

    private void reviveNode(int port, long boot) {
        for (int other = 0; other < SIZE; other++) {
            members[other].merge(List.of(record(port, boot, 2, MemberState.ALIVE)));
        }
    }

    private void runFor(long millis) {
        for (long passed = 0; passed < millis; passed += 700) {
            clock.advanceMillis(700);
            for (LocalKeeper each : keepers) {
                each.tick();
            }
        }
    }

    private static MemberRecord record(int port, long boot, long incarnation, MemberState state) {
        return new MemberRecord()
                .withId("n" + port)
                .withBoot(boot)
                .withIncarnation(incarnation)
                .withState(state.toRecordState())
                .withHost("127.0.0.1")
                .withFramePort(FakeNetwork.framePort(port))
                .withRegion("r")
                .withDomain("d" + port);
    }

    /** The table in memory, which fails every operation while {@link #storeDown} is set. */
    private final class FailableTable implements TableService {

        @Override
        public CompletableFuture<Optional<Row>> read(String key) {
            return storeDown ? failed() : table.read(key);
        }

        @Override
        public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
            return storeDown ? failed() : table.scan(prefix, after, limit);
        }

        @Override
        public CompletableFuture<Long> commit(Transaction transaction) {
            return storeDown ? failed() : table.commit(transaction);
        }

        private <T> CompletableFuture<T> failed() {
            return CompletableFuture.failedFuture(new MustardusherException(ResultCode.STORE_UNAVAILABLE, "down"));
        }
    }
}
