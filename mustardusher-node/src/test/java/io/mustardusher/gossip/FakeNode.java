package io.mustardusher.gossip;

import java.net.InetSocketAddress;
import java.util.Random;

import io.mustardusher.frame.FrameKind;
import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.CataloguePull;
import io.mustardusher.generated.Gossip;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.SuspectRecord;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.store.CatalogueStore;
import io.mustardusher.store.TableService;
import io.mustardusher.time.Clock;

/** The gossip components of a node, connected to a fake network and driven by the test. */
final class FakeNode {

    private static final long GATE_PORT = 8_300;

    final int port;
    final MemberTable members;
    final CatalogueReplica catalogue;
    final Gossiper gossiper;
    final SuspectTable suspects;
    final SuspectReplicator suspectReplicator;

    FakeNode(int port, long boot, FakeNetwork network, TableService table, Clock clock) {
        this.port = port;
        Random random = new Random(port * 31L + boot);
        members = new MemberTable(record(port, boot), clock, random);
        catalogue = new CatalogueReplica(
                new CatalogueStore(table, clock), network.peersOf(port), members, clock, random, catalogue -> {});
        suspects = new SuspectTable(clock);
        suspectReplicator = new SuspectReplicator(suspects, network.peersOf(port), members);
        gossiper = new Gossiper(members, network.peersOf(port), catalogue, suspectReplicator, clock);
        network.on(port, FrameKind.GOSSIP, (Gossip request) -> gossiper.answer(request));
        network.on(port, FrameKind.PULL, (CataloguePull request) -> catalogue.answer(request));
        network.on(port, FrameKind.PUSH, (CatalogueDelta delta) -> catalogue.answer(delta));
        network.on(port, FrameKind.SUSPECT, (SuspectRecord message) -> suspectReplicator.answer(message));
    }

    void join(int other) {
        gossiper.requestFullTable(new InetSocketAddress("127.0.0.1", FakeNetwork.framePort(other)));
    }

    long countOf(MemberState state) {
        return members.members().stream()
                .filter(member -> MemberState.of(member) == state)
                .count();
    }

    static MemberRecord record(int port, long boot) {
        return new MemberRecord()
                .withId("n" + port)
                .withBoot(boot)
                .withIncarnation(1)
                .withState(MemberState.ALIVE.toRecordState())
                .withHost("127.0.0.1")
                .withGatePort(GATE_PORT)
                .withFramePort(FakeNetwork.framePort(port))
                .withRegion("r")
                .withDomain("d" + port % 3);
    }
}
