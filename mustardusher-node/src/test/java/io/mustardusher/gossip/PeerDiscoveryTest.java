package io.mustardusher.gossip;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;

import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.store.CatalogueStore;
import io.mustardusher.store.TableService;
import io.mustardusher.store.Transaction;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PeerDiscoveryTest {

    private static final String ROW = "nodes/node-1";

    private static final long STACK_BYTES = 256 << 10;

    private final List<InetSocketAddress> contacted = new ArrayList<>();
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
    private final PeerDiscovery discovery =
            new PeerDiscovery(table, List.of(), members, null, new Clock.Manual(), new Random(1));

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

    // Guards against a node that finds no peers because another program wrote one row among theirs.
    @Test
    void skipsRowsOfAnotherWriter() {
        String valid = "{'host':'127.0.0.1','framePort':9,'boot':1,'domain':'r/d'}".replace('\'', '"');
        String[] spoiled = Stream.concat(
                        Stream.of("", "{", "[]", "7", "null", "\u0000\uffff", "{}"),
                        Stream.of("70000", "0", "-1", "'2'", "2.5", "null")
                                .map(port -> valid.replace("9", port.replace('\'', '"'))))
                .toArray(String[]::new);
        for (int i = 0; i < spoiled.length; i++) {
            write("nodes/a" + i, spoiled[i]);
        }
        write("nodes/b", valid.replace("127.0.0.1", "example.invalid"));
        write("nodes/c", valid.replace("\"127.0.0.1\"", "7"));
        write("nodes/d", valid.replace("\"boot\"", "\"other\""));
        write("nodes/e", valid.replace(":9,", ":8,").replace("\"boot\":1", "\"boot\":99999999999999999999"));
        write("nodes/f", valid.replace(":9,", ":7,").replace("\"boot\":1", "\"boot\":" + "7".repeat(900)));
        write("nodes/g", valid.replace(":9,", ":" + "7".repeat(900) + ","));
        write("nodes/h", valid.replace(":9,", ":1e999999999,"));
        write("nodes/z", valid);
        discover();
        assertThat(contacted).containsExactly(new InetSocketAddress("127.0.0.1", 9));
    }

    // Guards against a node that never finds its peers because a row exhausts the stack of the thread that reads it.
    @Test
    void skipsDeeplyNestedRowOnSmallStack() throws InterruptedException {
        String valid = "{\"host\":\"127.0.0.1\",\"framePort\":9,\"boot\":1,\"domain\":\"r/d\"}";
        write("nodes/a", "{\"a\":".repeat(900) + valid + "}".repeat(900));
        write("nodes/z", valid);
        Thread reader = new Thread(null, this::discover, "small stack", STACK_BYTES);
        reader.start();
        reader.join();
        assertThat(contacted).containsExactly(new InetSocketAddress("127.0.0.1", 9));
    }

    private void discover() {
        Peers peers = new Peers() {
            @Override
            public <A> CompletableFuture<A> request(
                    InetSocketAddress address, FrameKind kind, Object request, long timeoutMillis) {
                contacted.add(address);
                return CompletableFuture.failedFuture(new TimeoutException());
            }
        };
        Clock clock = new Clock.Manual();
        SuspectReplicator suspects = new SuspectReplicator(new SuspectTable(clock), peers, members);
        CatalogueReplica catalogue = new CatalogueReplica(
                new CatalogueStore(table, clock), peers, members, clock, new Random(1), changed -> {});
        Gossiper gossiper = new Gossiper(members, peers, catalogue, suspects, clock);
        new PeerDiscovery(table, List.of(), members, gossiper, clock, new Random(1)).discover();
    }

    private void write(String key, String value) {
        table.commit(Transaction.builder().put(key, value).build()).join();
    }
}
