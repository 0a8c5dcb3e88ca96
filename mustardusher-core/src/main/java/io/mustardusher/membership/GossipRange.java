package io.mustardusher.membership;

/** Where a gossip message goes. Traffic between failure domains is slower and more expensive than within one. */
public enum GossipRange {
    /** To a member of the own failure domain. */
    DOMAIN,

    /** To a member of another failure domain. */
    OTHER_DOMAINS;

    /**
     * Returns the other range.
     *
     * @return the other range
     */
    GossipRange opposite() {
        return this == DOMAIN ? OTHER_DOMAINS : DOMAIN;
    }
}
