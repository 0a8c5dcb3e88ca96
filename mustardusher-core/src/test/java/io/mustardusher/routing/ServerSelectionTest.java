package io.mustardusher.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import io.mustardusher.membership.NodeId;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Load pattern: all servers of a service are nearly full. A gate that returns a call in favour of a faster server only
 * adds work if there is none.
 */
class ServerSelectionTest {

    private static final int SLOTS = 4;
    private static final long TARGET_NANOS = 500 * Clock.NANOS_PER_MILLI;
    private static final long LONG_AGO_NANOS = -60_000 * Clock.NANOS_PER_MILLI;

    private final ServerLoad first = server("first");
    private final ServerLoad second = server("second");
    private final ServerPool pool = ServerPool.of(List.of(first, second));

    @Test
    void permitsReturnWhileAnotherServerHasFreeSlot() {
        report(1, false);
        assertThat(next(selection())).isTrue();
    }

    @Test
    void permitsNoReturnWhenOtherServersAreFull() {
        report(SLOTS, false);
        assertThat(next(selection())).isFalse();
    }

    @Test
    void permitsNoReturnWhenOtherServersAreSlow() {
        report(1, true);
        assertThat(next(selection())).isFalse();
    }

    /** Guards against bytes between failure domains that cost more than the wait that they avoid. */
    @Test
    void permitsReturnOfWaitingCallOnlyWhereAnotherServerIsCheapToReach() {
        ServerLoad far = new ServerLoad(NodeId.of("far"), SLOTS, 1_000, LONG_AGO_NANOS);
        far.update(new LoadReport(0, 0, SLOTS, 100_000, false), 0);
        report(1, false);
        assertThat(mobility(2_000, first, far)).isEqualTo(Mobility.IF_LATE);
        assertThat(mobility(300, first, far)).isEqualTo(Mobility.IF_WAITING);
        assertThat(mobility(2_000, first, second, far)).isEqualTo(Mobility.IF_WAITING);
    }

    private static Mobility mobility(int bytes, ServerLoad... servers) {
        TransferCost cost = new TransferCost();
        cost.recordCall(bytes);
        ServerSelection selection = new ServerSelection(RoutingPolicy.LEAST_COST, cost, TARGET_NANOS);
        return selection
                .next(ServerPool.of(List.of(servers)), new Random(1), 0)
                .orElseThrow()
                .mobility();
    }

    @Test
    void choosesSlowServerAgainWhenNoOtherIsLeft() {
        ServerSelection selection = selection();
        report(1, false);
        for (int i = 0; i < 2; i++) {
            selection.recordSlow(
                    selection.next(pool, new Random(1), 0).orElseThrow().server());
        }
        assertThat(next(selection)).isFalse();
        assertThat(selection.attempt()).isEqualTo(3);
    }

    /** Guards against a retry at a server that has just failed, because it serves again under a new load record. */
    @Test
    void serverThatServesAgainIsNotTriedTwice() {
        ServerSelection selection = selection();
        assertThat(selection.next(pool, new Random(1), 0)).isPresent();
        assertThat(selection.next(pool, new Random(1), 0)).isPresent();
        ServerPool again = ServerPool.of(List.of(server("first"), server("second")));
        assertThat(selection.next(again, new Random(1), 0)).isEmpty();
    }

    /** Guards against a call that returns to a server after many others have turned it away. */
    @Test
    void noneOfManyServersIsTriedTwice() {
        List<ServerLoad> servers =
                IntStream.range(0, 20).mapToObj(i -> server("s" + i)).toList();
        ServerSelection selection = selection();
        Set<ServerLoad> tried = new HashSet<>();
        for (int i = 0; i < servers.size(); i++) {
            tried.add(selection
                    .next(ServerPool.of(servers), new Random(i), 0)
                    .orElseThrow()
                    .server());
        }
        assertThat(tried).containsExactlyElementsIn(servers);
        assertThat(selection.next(ServerPool.of(servers), new Random(1), 0)).isEmpty();
    }

    /**
     * Guards against a second run under the same identifier at a server that refused or failed the call itself, while
     * gates return the call and the records of servers come, go and are replaced.
     */
    @Test
    void serverThatWasReachedIsNotChosenAgain() {
        int chosenAgainAfterReturn = 0;
        for (int seed = 0; seed < 20_000; seed++) {
            Random random = new Random(seed);
            ServerSelection selection = selection();
            Set<NodeId> reached = new HashSet<>();
            Set<NodeId> returned = new HashSet<>();
            for (int attempt = 0; attempt < 20; attempt++) {
                Optional<ServerSelection.Choice> choice = selection.next(randomPool(random), random, 0);
                if (choice.isEmpty()) {
                    continue;
                }
                ServerLoad chosen = choice.get().server();
                assertWithMessage("seed " + seed).that(reached).doesNotContain(chosen.node());
                chosenAgainAfterReturn += returned.contains(chosen.node()) ? 1 : 0;
                if (choice.get().mobility() != Mobility.FIXED && random.nextInt(3) > 0) {
                    selection.recordSlow(chosen);
                    returned.add(chosen.node());
                } else {
                    reached.add(chosen.node());
                }
            }
        }
        assertThat(chosenAgainAfterReturn).isAtLeast(1_000);
    }

    private static ServerPool randomPool(Random random) {
        List<ServerLoad> servers = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ServerLoad server = server("s" + i);
            server.setServing(random.nextInt(4) > 0);
            server.update(new LoadReport(random.nextInt(SLOTS + 1), 0, SLOTS, 100_000, random.nextInt(4) == 0), 0);
            if (random.nextInt(4) > 0) {
                servers.add(server);
            }
        }
        return ServerPool.of(servers);
    }

    /** Guards against a detour over the network while the server beside the node has a free slot. */
    @Test
    void prefersOwnServerWithFreeSlot() {
        report(0, false);
        own(new LoadReport(SLOTS - 1, 0, SLOTS, 100_000, false));
        assertThat(chosen()).isEqualTo(second);
    }

    /** Guards against a queue at the server beside the node while others are idle. */
    @Test
    void prefersNoOwnServerThatIsFullSlowOrCold() {
        report(0, false);
        for (LoadReport load : List.of(
                new LoadReport(SLOTS, 0, SLOTS, 100_000, false),
                new LoadReport(0, 0, SLOTS, 100_000, false, true),
                new LoadReport(0, 0, SLOTS, 200_000, false))) {
            own(load);
            assertThat(chosen()).isEqualTo(first);
        }
    }

    @Test
    void asksNoFurtherGateAfterRejectionWhenServersAreFull() {
        ServerSelection selection = selection();
        next(selection);
        report(2 * SLOTS, false);
        assertThat(selection.mayBeAcceptedElsewhere(ResultCode.OVERLOADED, pool, 0))
                .isFalse();
        report(SLOTS, false);
        assertThat(selection.mayBeAcceptedElsewhere(ResultCode.OVERLOADED, pool, 0))
                .isTrue();
    }

    @Test
    void asksFurtherGateAfterUnreachableDeadlineOnlyIfItIsIdle() {
        ServerSelection selection = selection();
        next(selection);
        report(SLOTS, false);
        assertThat(selection.mayBeAcceptedElsewhere(ResultCode.DEADLINE_UNREACHABLE, pool, 0))
                .isFalse();
        report(1, false);
        assertThat(selection.mayBeAcceptedElsewhere(ResultCode.DEADLINE_UNREACHABLE, pool, 0))
                .isTrue();
    }

    @Test
    void asksFurtherGateAfterRejectionThatIsUnrelatedToLoad() {
        ServerSelection selection = selection();
        next(selection);
        report(2 * SLOTS, true);
        assertThat(selection.mayBeAcceptedElsewhere(ResultCode.DRAINING, pool, 0))
                .isTrue();
    }

    private boolean next(ServerSelection selection) {
        return selection.next(pool, new Random(1), 0).orElseThrow().mobility() != Mobility.FIXED;
    }

    private static ServerSelection selection() {
        return new ServerSelection(RoutingPolicy.LEAST_COST, new TransferCost(), TARGET_NANOS);
    }

    private void report(int busy, boolean slow) {
        LoadReport report = new LoadReport(busy, 0, SLOTS, 100_000, false, slow);
        first.update(report, 0);
        second.update(report, 0);
    }

    private static ServerLoad server(String name) {
        return new ServerLoad(NodeId.of(name), SLOTS, 0, LONG_AGO_NANOS);
    }

    private void own(LoadReport load) {
        second.readLoadFrom(() -> load);
    }

    private ServerLoad chosen() {
        ServerPool withOwn = ServerPool.of(List.of(first, second));
        return selection()
                .next(withOwn, new Random(1), 200_000_000)
                .orElseThrow()
                .server();
    }
}
