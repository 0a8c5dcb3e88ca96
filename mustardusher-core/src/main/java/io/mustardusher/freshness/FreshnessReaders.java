package io.mustardusher.freshness;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Choice of the few members that read the table service on behalf of all. Members with the same view of the cluster
 * choose the same ones, by rendezvous hashing (Thaler, Ravishankar, 1998).
 */
final class FreshnessReaders {

    /** With a single reader, its failure would leave all members without an answer. */
    private static final int MIN_READERS = 2;

    private static final int MEMBERS_PER_READER = 32;

    private FreshnessReaders() {}

    /**
     * Chooses the readers.
     *
     * @param live  ids of the live members, including this one
     * @param known number of members known, including those that are not live
     * @return ids of the readers
     */
    static List<String> choose(Collection<String> live, int known) {
        return live.stream()
                .sorted(byWeight("reader"))
                .limit(Math.max(MIN_READERS, known / MEMBERS_PER_READER))
                .toList();
    }

    /**
     * Returns an order of members that differs between the members that use it, which distributes their requests.
     *
     * @param key id of the member that uses it
     * @return the order
     */
    static Comparator<String> byWeight(String key) {
        return (first, second) -> {
            int order = Long.compareUnsigned(weight(key, second), weight(key, first));
            return order == 0 ? first.compareTo(second) : order;
        };
    }

    private static long weight(String key, String id) {
        long hash = mix(mix(0xcbf29ce484222325L, key) ^ 0x1ff, id);
        hash *= 0xff51afd7ed558ccdL;
        hash ^= hash >>> 33;
        hash *= 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }

    private static long mix(long hash, String text) {
        long mixed = hash;
        for (int i = 0; i < text.length(); i++) {
            mixed = (mixed ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mixed;
    }
}
