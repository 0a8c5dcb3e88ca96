package io.mustardusher.gossip;

import io.mustardusher.generated.MemberRecord;

/**
 * Configuration that is replicated between nodes. Gossip messages carry its revision, so that nodes detect that they
 * are behind.
 */
public interface ReplicatedConfiguration {

    /**
     * Returns the revision in force.
     *
     * @return the revision; 0 before the first
     */
    long revision();

    /**
     * Handles the revision in force at another node, and pulls it if it is newer.
     *
     * @param peer     the node
     * @param revision its revision
     */
    void onPeerRevision(MemberRecord peer, long revision);
}
