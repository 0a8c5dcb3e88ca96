package io.mustardusher.gossip;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.SuspectRecord;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberTable;

/**
 * Replicates suspects: each new one is pushed to a few random nodes, and gossip messages carry a bounded number of
 * known ones.
 */
public final class SuspectReplicator {

    /** Number of nodes to which a new suspect is pushed. */
    private static final int FANOUT = 4;

    /** Maximum number of suspects in one gossip message. */
    private static final int MAX_GOSSIPED = 10;

    /** Timeout of a request to another node, in milliseconds. */
    private static final long REQUEST_TIMEOUT_MILLIS = 500;

    private final SuspectTable table;

    private final Peers peers;

    private final MemberTable members;

    /**
     * Creates a replicator.
     *
     * @param table   the suspects
     * @param peers   sends requests to other nodes
     * @param members the cluster membership
     */
    public SuspectReplicator(SuspectTable table, Peers peers, MemberTable members) {
        this.table = table;
        this.peers = peers;
        this.members = members;
    }

    /**
     * Adds a suspect and pushes it to other nodes if it is new.
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
            peers.request(CatalogueReplica.frameAddress(peer), FrameKind.SUSPECT, message, REQUEST_TIMEOUT_MILLIS);
        }
    }

    /**
     * Adds a suspect pushed by another node.
     *
     * @param message the suspect
     * @return the same message, as acknowledgement
     */
    public CompletableFuture<SuspectRecord> answer(SuspectRecord message) {
        add(new SuspectTable.SuspectReport(message.getFingerprint(), message.getCrash()));
        return CompletableFuture.completedFuture(message);
    }

    /**
     * Adds suspects received in a gossip message.
     *
     * @param records the suspects
     */
    void addAll(List<SuspectRecord> records) {
        records.forEach(message -> add(new SuspectTable.SuspectReport(message.getFingerprint(), message.getCrash())));
    }

    /**
     * Returns suspects for a gossip message.
     *
     * @return the suspects
     */
    List<SuspectRecord> gossipRecords() {
        return table.reports(MAX_GOSSIPED).stream()
                .map(sighting -> new SuspectRecord()
                        .withFingerprint(sighting.fingerprint())
                        .withCrash(sighting.crashId()))
                .toList();
    }
}
