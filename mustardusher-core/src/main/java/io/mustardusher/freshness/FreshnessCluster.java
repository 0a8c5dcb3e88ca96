package io.mustardusher.freshness;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** What a member needs of its surroundings to renew its lease. */
public interface FreshnessCluster {

    /**
     * Returns whether the configuration in force has keys, so that a lease is needed.
     *
     * @return {@code true} if it has
     */
    boolean hasKeys();

    /**
     * Returns the number of the version in force.
     *
     * @return the number; 0 before the first version
     */
    long version();

    /**
     * Returns the members.
     *
     * @return the live members, including this one, and the number of known ones
     */
    Members members();

    /**
     * Reads the newest version from the table service without waiting for changes, and brings it into force if it is
     * newer.
     *
     * @return completes with the number of the newest version at some time since the call, 0 if there is none; fails
     *     if the table service did not answer or the version could not be read
     */
    CompletableFuture<Long> readNewestVersion();

    /**
     * Asks another member for its statement.
     *
     * @param member id of the member
     * @return completes with a statement made since the call; fails if none arrives in time
     */
    CompletableFuture<FreshnessStatement> ask(String member);

    /**
     * Fetches a newer version from another member, and brings it into force.
     *
     * @param member  id of the member
     * @param version number of the version
     * @return completes when the version is in force or will not be; does not fail
     */
    CompletableFuture<Void> fetch(String member, long version);

    /**
     * Is notified when keys become acceptable, or are no longer.
     *
     * @param acceptable whether keys are accepted now
     */
    void onChange(boolean acceptable);

    /**
     * The members of the cluster.
     *
     * @param self  id of this member
     * @param near  ids of the live members other than this one that are in the same failure domain
     * @param far   ids of the live members in other failure domains
     * @param known number of known members, including this one and those that are not live
     */
    record Members(String self, List<String> near, List<String> far, int known) {}
}
