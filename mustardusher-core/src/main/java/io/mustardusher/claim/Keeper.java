package io.mustardusher.claim;

import io.mustardusher.generated.KeeperRecord;

/**
 * One process that keeps keys. A node that starts again is another keeper, for it remembers nothing.
 *
 * @param id     name of the node
 * @param boot   start of the process, in milliseconds since the epoch
 * @param domain failure domain of the node
 */
public record Keeper(String id, long boot, String domain) {

    /**
     * Reads a record.
     *
     * @param value the record
     * @return the keeper
     */
    public static Keeper from(KeeperRecord value) {
        return new Keeper(value.getId(), value.getBoot(), value.getDomain());
    }

    /**
     * Writes a record.
     *
     * @return the record
     */
    public KeeperRecord toRecord() {
        return new KeeperRecord().withId(id).withBoot(boot).withDomain(domain);
    }

    /**
     * Returns the name of the process.
     *
     * @return node and start
     */
    public String process() {
        return id + "@" + boot;
    }

    /**
     * Returns the weight of this keeper for a key, by which rendezvous hashing (Thaler, Ravishankar, 1998) ranks.
     *
     * @param key the key
     * @return the weight, compared as unsigned
     */
    long weight(IdempotencyKey key) {
        long hash = 0xcbf29ce484222325L;
        hash = mix(hash, key.value());
        hash = mix(hash, id);
        hash ^= boot;
        hash *= 0xff51afd7ed558ccdL;
        hash ^= hash >>> 33;
        hash *= 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }

    /**
     * Mixes a text into a hash.
     *
     * @param hash the hash
     * @param text the text
     * @return the new hash
     */
    private static long mix(long hash, String text) {
        long mixed = hash;
        for (int i = 0; i < text.length(); i++) {
            mixed = (mixed ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mixed;
    }
}
