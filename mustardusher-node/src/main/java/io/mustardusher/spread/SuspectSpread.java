package io.mustardusher.spread;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.SuspectRecord;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberTable;

/** Spreads suspects: each new one at once to a few random nodes, and all of them with gossip. */
public final class SuspectSpread {

    /** Nodes to which a new suspect is pushed. */
    private static final int FANOUT = 4;

    /** Suspects in one message of gossip. */
    private static final int IN_GOSSIP = 10;

    /** Time allowed for an answer, in milliseconds. */
    private static final long ASK_MILLIS = 500;

    private final SuspectTable table;

    /** Asks other nodes. */
    private final Peers peers;

    /** What is known of nodes. */
    private final MemberTable members;

    /**
     * Creates a spread.
     *
     * @param table   the suspects
     * @param peers   asks other nodes
     * @param members what is known of nodes
     */
    public SuspectSpread(SuspectTable table, Peers peers, MemberTable members) {
        this.table = table;
        this.peers = peers;
        this.members = members;
    }

    /**
     * Adds a suspect and pushes it if it is new.
     *
     * @param sighting the suspect
     */
    public void add(SuspectTable.SuspectReport sighting) {
        if (!table.add(sighting.fingerprint(), sighting.crashId())) {
            return;
        }
        SuspectRecord message =
                new SuspectRecord().withFingerprint(sighting.fingerprint()).withCrash(sighting.crashId());
        for (MemberRecord peer : members.randomMembers(FANOUT, "")) {
            peers.request(CatalogueSpread.address(peer), FrameKind.SUSPECT, message, ASK_MILLIS);
        }
    }

    /**
     * Takes a suspect that another node pushes.
     *
     * @param message the suspect
     * @return the same
     */
    public CompletableFuture<SuspectRecord> answer(SuspectRecord message) {
        add(new SuspectTable.SuspectReport(message.getFingerprint(), message.getCrash()));
        return CompletableFuture.completedFuture(message);
    }

    /**
     * Takes suspects from gossip.
     *
     * @param records the suspects
     */
    void take(List<SuspectRecord> records) {
        records.forEach(message -> add(new SuspectTable.SuspectReport(message.getFingerprint(), message.getCrash())));
    }

    /**
     * Returns suspects for gossip.
     *
     * @return the suspects
     */
    List<SuspectRecord> some() {
        return table.reports(IN_GOSSIP).stream()
                .map(sighting -> new SuspectRecord()
                        .withFingerprint(sighting.fingerprint())
                        .withCrash(sighting.crashId()))
                .toList();
    }
}
