package io.mustardusher.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.EntryDocument;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberState;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.store.CatalogueStore;
import io.mustardusher.store.ChangeRequest;
import io.mustardusher.store.Row;
import io.mustardusher.store.TableService;
import io.mustardusher.store.Transaction;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SpreadTest {

    private static final int SIZE = 40;
    private static final long TICK_MILLIS = 200;

    private final Clock.Manual clock = new Clock.Manual();
    private final FakeNetwork network = new FakeNetwork();
    private final SwitchedTable table = new SwitchedTable();
    private final CatalogueStore store = new CatalogueStore(table, clock);
    private final List<FakeNode> nodes = new ArrayList<>();
    private int changes;

    @Test
    void allNodesMeetThroughOne() {
        startAll(SIZE);
        assertThat(everyone(node -> node.countOf(MemberState.ALIVE) == SIZE)).isTrue();
    }

    @Test
    void changeIsInForceEverywhereWithinASecondOfGossip() {
        startAll(SIZE);
        change();
        nodes.get(0).catalogue.apply(store.since(0).join(), "operator");
        run(1_000);
        assertThat(everyone(node -> node.catalogue.revision() == 1)).isTrue();
    }

    @Test
    void changeWhoseAcceptorDiedIsFoundWithinThreeSeconds() {
        startAll(SIZE);
        change();
        run(3_000);
        assertThat(everyone(node -> node.catalogue.revision() == 1)).isTrue();
    }

    @Test
    void nodeThatSleptNeverReverts() {
        startAll(SIZE);
        change();
        CatalogueDelta old = store.since(0).join();
        run(3_000);
        network.down(nodes.get(5).port);
        change();
        change();
        run(5_000);
        network.up(nodes.get(5).port);
        nodes.get(5).catalogue.apply(old, "old peer");
        nodes.get(7).catalogue.apply(old, "old peer");
        run(10_000);
        assertThat(everyone(node -> node.catalogue.revision() == 3)).isTrue();
    }

    @Test
    void halvesThatWereApartAgreeAgain() {
        startAll(SIZE);
        Set<Integer> half = IntStream.range(0, SIZE / 2).boxed().collect(Collectors.toSet());
        network.cutOff(half);
        change();
        table.down = true;
        nodes.get(0).catalogue.apply(storeOf(table).since(0).join(), "operator");
        run(60_000);
        assertThat(nodes.get(0).countOf(MemberState.FAILED)).isEqualTo(SIZE / 2);
        assertThat(nodes.get(SIZE - 1).catalogue.revision()).isEqualTo(0);
        network.heal();
        run(20_000);
        assertThat(everyone(node -> node.countOf(MemberState.ALIVE) == SIZE)).isTrue();
        assertThat(everyone(node -> node.catalogue.revision() == 1)).isTrue();
    }

    @Test
    void vanishedNodeIsFailedEverywhereWithinSixSeconds() {
        startAll(SIZE);
        network.down(nodes.get(3).port);
        run(6_000);
        nodes.remove(3);
        assertThat(everyone(node -> node.countOf(MemberState.FAILED) == 1)).isTrue();
    }

    @Test
    void nodeThatWasFrozenBrieflyIsNotFailed() {
        startAll(SIZE);
        network.down(nodes.get(3).port);
        run(800);
        network.up(nodes.get(3).port);
        run(8_000);
        assertThat(everyone(node -> node.countOf(MemberState.ALIVE) == SIZE)).isTrue();
    }

    @Test
    void failureDomainThatReturnsAtOnceIsKnownEverywhere() {
        startAll(SIZE);
        List<Integer> domain =
                IntStream.range(0, SIZE).filter(port -> port % 3 == 1).boxed().toList();
        domain.forEach(network::down);
        run(10_000);
        domain.forEach(port -> {
            network.up(port);
            nodes.set(port, new FakeNode(port, 2, network, table, clock));
            nodes.get(port).meet(port - 1);
        });
        run(8_000);
        assertThat(everyone(node -> node.countOf(MemberState.ALIVE) == SIZE)).isTrue();
    }

    @Test
    void newNodeTakesTheCatalogueOfItsPeersWhileTheStoreIsDown() {
        startAll(SIZE);
        change();
        run(3_000);
        table.down = true;
        FakeNode late = new FakeNode(SIZE, 1, network, table, clock);
        late.meet(0);
        late.catalogue.load().join();
        assertThat(late.catalogue.revision()).isEqualTo(1);
    }

    @Test
    void newNodeThatReachesNeitherHasNoCatalogue() {
        table.down = true;
        FakeNode alone = new FakeNode(0, 1, network, table, clock);
        alone.catalogue.load().join();
        assertThat(alone.catalogue.current()).isNull();
        table.down = false;
        alone.catalogue.load().join();
        assertThat(alone.catalogue.current()).isNotNull();
    }

    @Test
    void storeIsReadAboutAsOftenByManyNodesAsByFew() {
        startAll(SIZE);
        long before = table.reads;
        run(60_000);
        assertThat(table.reads - before).isAtMost(60 * 15);
    }

    @Test
    void suspectIsKnownEverywhere() {
        startAll(SIZE);
        nodes.get(0).suspectSpread.add(new SuspectTable.SuspectReport(7, 100));
        nodes.get(9).suspectSpread.add(new SuspectTable.SuspectReport(7, 200));
        run(2_000);
        assertThat(everyone(node -> node.suspects.actionFor(7) == SuspectTable.Action.REJECT))
                .isTrue();
    }

    private void startAll(int size) {
        for (int port = 0; port < size; port++) {
            FakeNode node = new FakeNode(port, 1, network, table, clock);
            nodes.add(node);
            node.meet(0);
            node.catalogue.load().join();
        }
        run(5_000);
    }

    private void run(long millis) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            clock.advanceMillis(TICK_MILLIS);
            for (FakeNode node : nodes) {
                node.gossiper.tick();
                node.catalogue.tick();
            }
        }
    }

    private boolean everyone(Predicate<FakeNode> holds) {
        return nodes.stream().allMatch(holds);
    }

    private void change() {
        EntryDocument entry = new EntryDocument()
                .withService("clips")
                .withOwner("o")
                .withServiceClass(EntryDocument.ServiceClass.STANDARD)
                .withDeadlineMillis(100 + changes);
        store.apply(new ChangeRequest("change-" + changes, "clips", "author", changes, Optional.of(entry)))
                .join();
        changes++;
    }

    private CatalogueStore storeOf(SwitchedTable switched) {
        return new CatalogueStore(switched.table, clock);
    }

    /** A table that can be down and counts reads. */
    private static final class SwitchedTable implements TableService {

        private final TableService.InMemory table = new TableService.InMemory();
        private boolean down;
        private long reads;

        @Override
        public CompletableFuture<Optional<Row>> read(String key) {
            reads++;
            return down ? failed() : table.read(key);
        }

        @Override
        public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
            reads++;
            return down ? failed() : table.scan(prefix, after, limit);
        }

        @Override
        public CompletableFuture<Long> commit(Transaction transaction) {
            return down ? failed() : table.commit(transaction);
        }

        private static <T> CompletableFuture<T> failed() {
            return CompletableFuture.failedFuture(new MustardusherException(ResultCode.STORE_UNAVAILABLE, "down"));
        }
    }
}
