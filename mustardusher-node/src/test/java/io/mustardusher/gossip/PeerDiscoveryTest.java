package io.mustardusher.gossip;

import java.util.List;
import java.util.Random;

import io.mustardusher.generated.MemberRecord;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.store.TableService;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PeerDiscoveryTest {

    private static final String ROW = "nodes/node-1";

    private final TableService.InMemory table = new TableService.InMemory();
    private final MemberTable members = new MemberTable(
            new MemberRecord()
                    .withId("node-1")
                    .withBoot(1L)
                    .withIncarnation(1)
                    .withState(MemberState.ALIVE.toRecordState())
                    .withHost("127.0.0.1")
                    .withFramePort(1L),
            new Clock.Manual(),
            new Random(1));
    private final PeerDiscovery discovery = new PeerDiscovery(table, List.of(), members, null, new Random(1));

    @Test
    void writesRowOnce() {
        discovery.register().join();
        discovery.register().join();
        assertThat(table.writes()).isEqualTo(1);
    }

    @Test
    void writesRowAgainWhenTableWasRestoredFromCopyWithoutIt() {
        TableService.InMemory.Copy copy = table.copy();
        discovery.register().join();
        table.restore(copy);
        assertThat(table.read(ROW).join().isPresent()).isFalse();
        discovery.register().join();
        assertThat(table.read(ROW).join().isPresent()).isTrue();
    }
}
