package io.mustardusher.spread;

import io.mustardusher.generated.MemberRecord;

/** Configuration that nodes hand on to each other; gossip tells who has which revision. */
public interface RevisionSpread {

    /**
     * Returns the revision in force.
     *
     * @return the revision; 0 before the first
     */
    long revision();

    /**
     * Takes note of what another node has.
     *
     * @param peer     the node
     * @param revision its revision
     */
    void heard(MemberRecord peer, long revision);
}
