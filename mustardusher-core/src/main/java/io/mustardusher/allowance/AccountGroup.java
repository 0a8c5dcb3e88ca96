package io.mustardusher.allowance;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import io.mustardusher.account.AccountName;

/**
 * A group of accounts with a common coordinator.
 *
 * @param number number of the group, from 0 to {@link #COUNT} - 1
 */
public record AccountGroup(int number) {

    /** Number of groups, the same on all nodes. */
    public static final int COUNT = 8;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /**
     * Returns the group of an account.
     *
     * @param account name of the account
     * @return its group
     */
    public static AccountGroup of(AccountName account) {
        return new AccountGroup((int) Long.remainderUnsigned(mix(FNV_OFFSET, account.value()), COUNT));
    }

    /**
     * Sorts nodes by their preference as coordinators of this group, by rendezvous hashing (Thaler, Ravishankar, 1998).
     * A restart does not change a node's place.
     *
     * @param nodes the nodes
     * @return the nodes, the preferred one first
     */
    public List<NodeProcess> sort(Collection<NodeProcess> nodes) {
        record Weighted(NodeProcess node, long weight) {}
        return nodes.stream()
                .map(node -> new Weighted(node, weight(node)))
                .sorted(Comparator.comparingLong(Weighted::weight).reversed())
                .map(Weighted::node)
                .toList();
    }

    private long weight(NodeProcess node) {
        return mix(FNV_OFFSET + number, node.id());
    }

    private static long mix(long seed, String text) {
        long hash = seed;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }
}
