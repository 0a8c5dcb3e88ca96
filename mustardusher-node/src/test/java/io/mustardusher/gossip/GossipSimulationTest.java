package io.mustardusher.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.mustardusher.evacuation.EvacuationOrders;
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

/**
 * Simulates a cluster on a fake network and a manual clock. Guards against nodes that do not converge on the membership,
 * the catalogue or the suspects after failures, partitions and restarts, and against a table service that many nodes
 * overload.
 */
class GossipSimulationTest {

    private static final int SIZE = 40;
    private static final long ROUND_MILLIS = 200;

    private final Clock.Manual clock = new Clock.Manual();
    private final FakeNetwork network = new FakeNetwork();
    private final SwitchableTable table = new SwitchableTable();
    private final CatalogueStore store = new CatalogueStore(table, clock);
    private final List<FakeNode> nodes = new ArrayList<>();
    private int changes;

    @Test
    void allNodesJoinThroughOneSeed() {
        startAll(SIZE);
        assertThat(allNodes(node -> node.countOf(MemberState.ALIVE) == SIZE)).isTrue();
    }

    @Test
    void propagatesAppliedChangeToAllNodesWithinOneSecond() {
        startAll(SIZE);
        commitChange();
        nodes.get(0).catalogue.apply(store.since(0).join(), "operator");
        runFor(1_000);
        assertThat(allNodes(node -> node.catalogue.revision() == 1)).isTrue();
    }

    @Test
    void findsChangeInStoreWithinThreeSecondsWhenNoNodePushesIt() {
        startAll(SIZE);
        commitChange();
        runFor(3_000);
        assertThat(allNodes(node -> node.catalogue.revision() == 1)).isTrue();
    }

    @Test
    void keepsLatestRevisionWhenOldChangesArriveLate() {
        startAll(SIZE);
        commitChange();
        CatalogueDelta old = store.since(0).join();
        runFor(3_000);
        network.disconnect(nodes.get(5).port);
        commitChange();
        commitChange();
        runFor(5_000);
        network.reconnect(nodes.get(5).port);
        nodes.get(5).catalogue.apply(old, "old peer");
        nodes.get(7).catalogue.apply(old, "old peer");
        runFor(10_000);
        assertThat(allNodes(node -> node.catalogue.revision() == 3)).isTrue();
    }

    @Test
    void convergesAfterPartitionHeals() {
        startAll(SIZE);
        Set<Integer> half = IntStream.range(0, SIZE / 2).boxed().collect(Collectors.toSet());
        network.partition(half);
        commitChange();
        table.down = true;
        nodes.get(0).catalogue.apply(directStore(table).since(0).join(), "operator");
        runFor(60_000);
        assertThat(nodes.get(0).countOf(MemberState.FAILED)).isEqualTo(SIZE / 2);
        assertThat(nodes.get(SIZE - 1).catalogue.revision()).isEqualTo(0);
        network.heal();
        runFor(20_000);
        assertThat(allNodes(node -> node.countOf(MemberState.ALIVE) == SIZE)).isTrue();
        assertThat(allNodes(node -> node.catalogue.revision() == 1)).isTrue();
    }

    @Test
    void marksDisconnectedNodeAsFailedEverywhereWithinSixSeconds() {
        startAll(SIZE);
        network.disconnect(nodes.get(3).port);
        runFor(6_000);
        nodes.remove(3);
        assertThat(allNodes(node -> node.countOf(MemberState.FAILED) == 1)).isTrue();
    }

    @Test
    void keepsNodeAliveAfterShortDisconnection() {
        startAll(SIZE);
        network.disconnect(nodes.get(3).port);
        runFor(800);
        network.reconnect(nodes.get(3).port);
        runFor(8_000);
        assertThat(allNodes(node -> node.countOf(MemberState.ALIVE) == SIZE)).isTrue();
    }

    @Test
    void recognizesAllNodesOfFailureDomainThatRestartsAtOnce() {
        startAll(SIZE);
        List<Integer> domain =
                IntStream.range(0, SIZE).filter(port -> port % 3 == 1).boxed().toList();
        domain.forEach(network::disconnect);
        runFor(10_000);
        domain.forEach(port -> {
            network.reconnect(port);
            nodes.set(port, new FakeNode(port, 2, network, table, clock));
            nodes.get(port).join(port - 1);
        });
        runFor(8_000);
        assertThat(allNodes(node -> node.countOf(MemberState.ALIVE) == SIZE)).isTrue();
    }

    @Test
    void newNodeLoadsCatalogueFromPeersWhileStoreIsDown() {
        startAll(SIZE);
        commitChange();
        runFor(3_000);
        table.down = true;
        FakeNode late = new FakeNode(SIZE, 1, network, table, clock);
        late.join(0);
        late.catalogue.load().join();
        assertThat(late.catalogue.revision()).isEqualTo(1);
    }

    @Test
    void newNodeHasNoCatalogueWhenNeitherStoreNorPeersRespond() {
        table.down = true;
        FakeNode alone = new FakeNode(0, 1, network, table, clock);
        alone.catalogue.load().join();
        assertThat(alone.catalogue.current()).isNull();
        table.down = false;
        alone.catalogue.load().join();
        assertThat(alone.catalogue.current()).isNotNull();
    }

    @Test
    void boundsStoreReadsIndependentlyOfClusterSize() {
        startAll(SIZE);
        long before = table.reads;
        runFor(60_000);
        assertThat(table.reads - before).isAtMost(60 * 15);
    }

    @Test
    void propagatesSuspectToAllNodes() {
        startAll(SIZE);
        nodes.get(0).suspectReplicator.add(new SuspectTable.SuspectReport(7, 100));
        nodes.get(9).suspectReplicator.add(new SuspectTable.SuspectReport(7, 200));
        runFor(2_000);
        assertThat(allNodes(node -> node.suspects.actionFor(7) == SuspectTable.Action.REJECT))
                .isTrue();
    }

    /** Only one node reaches the table service, and another one restarts meanwhile. */
    @Test
    void evacuationOrderAndItsEndReachAllNodesWithinTwoSeconds() {
        startAll(SIZE);
        runFor(2_000);
        offerOrders(1, "d1");
        runFor(1_000);
        nodes.set(9, new FakeNode(9, 2, network, table, clock));
        nodes.get(9).join(8);
        runFor(1_000);
        assertThat(allNodes(node -> node.gossiper.evacuation().current().isEvacuated("d1")))
                .isTrue();
        offerOrders(2);
        runFor(2_000);
        assertThat(allNodes(node -> node.gossiper.evacuation().current().isEvacuated("d1")))
                .isFalse();
    }

    private void offerOrders(long version, String... domains) {
        nodes.get(0)
                .gossiper
                .evacuation()
                .offer(EvacuationOrders.of(new EvacuationOrders.Revision(0, version), List.of(domains)));
    }

    private void startAll(int size) {
        for (int port = 0; port < size; port++) {
            FakeNode node = new FakeNode(port, 1, network, table, clock);
            nodes.add(node);
            node.join(0);
            node.catalogue.load().join();
        }
        runFor(5_000);
    }

    private void runFor(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += ROUND_MILLIS) {
            clock.advanceMillis(ROUND_MILLIS);
            for (FakeNode node : nodes) {
                node.gossiper.tick();
                node.catalogue.tick();
            }
        }
    }

    private boolean allNodes(Predicate<FakeNode> condition) {
        return nodes.stream().allMatch(condition);
    }

    private void commitChange() {
        EntryDocument entry = new EntryDocument()
                .withService("clips")
                .withOwner("o")
                .withServiceClass(EntryDocument.ServiceClass.STANDARD)
                .withDeadlineMillis(100 + changes);
        store.apply(new ChangeRequest("change-" + changes, "clips", "author", changes, Optional.of(entry)))
                .join();
        changes++;
    }

    private CatalogueStore directStore(SwitchableTable switchable) {
        return new CatalogueStore(switchable.table, clock);
    }

    /** A table service that can be made unavailable and counts reads. */
    private static final class SwitchableTable implements TableService {

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
