package io.mustardusher.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EvacuationReplicaTest {

    private static final int SEEDS = 2_000;
    private static final int NODES = 5;
    private static final int STEPS = 60;

    private final EvacuationReplica replica = new EvacuationReplica();
    private int changes;

    @Test
    void olderOrdersDoNotReplaceNewerOnes() {
        replica.offer(orders(1, 9, "a"));
        replica.receive(orders(1, 8, "b"));
        assertThat(replica.current().domains()).containsExactly("a");
    }

    // Guards against versions of a table service that was restored from a copy being compared with earlier ones.
    @Test
    void ordersOfLaterGenerationWinDespiteLowerVersion() {
        replica.offer(orders(1, 9, "a"));
        replica.offer(orders(2, 3));
        replica.receive(orders(1, 10, "a"));
        assertThat(replica.current().domains()).isEmpty();
    }

    @Test
    void sendsNothingWhereThereNeverWasAnOrder() {
        replica.offer(orders(1, 9));
        assertThat(replica.toSend()).isEmpty();
    }

    // Guards against a peer that cannot reach the table service and keeps the order that ended before this node
    // started.
    @Test
    void answersPeerThatHoldsEndedOrder() {
        replica.offer(orders(1, 9));
        replica.receive(orders(1, 8, "a"));
        assertThat(replica.current().domains()).isEmpty();
        assertThat(replica.toSend()).hasValue(orders(1, 9));
    }

    @Test
    void notifiesOfChangedDomainsOnly() {
        replica.onChange(() -> changes++);
        replica.offer(orders(1, 8, "a"));
        replica.offer(orders(1, 9, "a"));
        replica.receive(orders(1, 7));
        assertThat(changes).isEqualTo(1);
        replica.offer(orders(1, 10));
        assertThat(changes).isEqualTo(2);
    }

    /** Nodes read the table or exchange orders at random, and restart at random, while the table changes. */
    @Test
    void allNodesFollowTheTableOnceOneOfThemReadsIt() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            List<EvacuationReplica> nodes = new ArrayList<>();
            for (int i = 0; i < NODES; i++) {
                nodes.add(new EvacuationReplica());
            }
            EvacuationOrders table = orders(1, 1);
            for (int step = 0; step < STEPS; step++) {
                int node = random.nextInt(NODES);
                switch (random.nextInt(6)) {
                    case 0 -> table = change(table, random);
                    case 1 -> nodes.get(node).offer(table);
                    case 2 -> nodes.set(node, new EvacuationReplica());
                    default -> exchange(nodes.get(node), nodes.get(random.nextInt(NODES)));
                }
            }
            nodes.get(0).offer(table);
            for (int round = 0; round < 2; round++) {
                for (EvacuationReplica node : nodes) {
                    exchange(nodes.get(0), node);
                }
            }
            for (EvacuationReplica node : nodes) {
                assertThat(node.current().domains()).isEqualTo(table.domains());
            }
        }
    }

    private static EvacuationOrders change(EvacuationOrders table, Random random) {
        Set<String> domains = new TreeSet<>(table.domains());
        String domain = "d" + random.nextInt(3);
        if (!domains.remove(domain)) {
            domains.add(domain);
        }
        boolean restored = random.nextInt(4) == 0;
        EvacuationOrders.Revision last = table.revision();
        return EvacuationOrders.of(
                restored
                        ? new EvacuationOrders.Revision(last.generation() + 1, random.nextLong(last.version()) + 1)
                        : new EvacuationOrders.Revision(last.generation(), last.version() + 1),
                domains);
    }

    private static void exchange(EvacuationReplica one, EvacuationReplica other) {
        Optional<EvacuationOrders> sent = one.toSend();
        Optional<EvacuationOrders> answered = other.toSend();
        sent.ifPresent(other::receive);
        answered.ifPresent(one::receive);
    }

    private static EvacuationOrders orders(long generation, long version, String... domains) {
        return EvacuationOrders.of(new EvacuationOrders.Revision(generation, version), List.of(domains));
    }
}
