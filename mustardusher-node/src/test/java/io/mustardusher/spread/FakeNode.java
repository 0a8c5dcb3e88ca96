package io.mustardusher.spread;

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

/** What a node spreads, on a fake network and a clock that stands still. */
final class FakeNode {

    final int port;
    final MemberTable members;
    final CatalogueSpread catalogue;
    final Gossiper gossiper;
    final SuspectTable suspects;
    final SuspectSpread suspectSpread;

    FakeNode(int port, long boot, FakeNetwork network, TableService table, Clock clock) {
        this.port = port;
        Random random = new Random(port * 31L + boot);
        members = new MemberTable(record(port, boot), clock, random);
        catalogue = new CatalogueSpread(
                new CatalogueStore(table, clock), network.from(port), members, clock, random, present -> {});
        suspects = new SuspectTable(clock);
        suspectSpread = new SuspectSpread(suspects, network.from(port), members);
        gossiper = new Gossiper(members, network.from(port), catalogue, suspectSpread, clock);
        network.on(port, FrameKind.GOSSIP, (Gossip question) -> gossiper.answer(question));
        network.on(port, FrameKind.PULL, (CataloguePull question) -> catalogue.answer(question));
        network.on(port, FrameKind.PUSH, (CatalogueDelta delta) -> catalogue.answer(delta));
        network.on(port, FrameKind.SUSPECT, (SuspectRecord message) -> suspectSpread.answer(message));
    }

    void meet(int other) {
        gossiper.meet(new InetSocketAddress("127.0.0.1", other));
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
                .withFramePort(port)
                .withRegion("r")
                .withDomain("d" + port % 3);
    }
}
