package io.mustardusher.claim;

import io.mustardusher.generated.KeeperRecord;

/**
 * A process that keeps idempotency keys. After a restart a node is a different keeper, because its claims are held only
 * in memory.
 *
 * @param id     id of the node
 * @param boot   start time of the process, in milliseconds since the Unix epoch
 * @param domain failure domain of the node
 */
public record Keeper(String id, long boot, String domain) {

    /**
     * Creates a keeper from its record.
     *
     * @param value the record
     * @return the keeper
     */
    public static Keeper from(KeeperRecord value) {
        return new Keeper(value.getId(), value.getBoot(), value.getDomain());
    }

    /**
     * Converts this keeper to its record.
     *
     * @return the record
     */
    public KeeperRecord toRecord() {
        return new KeeperRecord().withId(id).withBoot(boot).withDomain(domain);
    }

    /**
     * Returns a name that identifies the process.
     *
     * @return id and start time, in the form {@code id@boot}
     */
    public String processName() {
        return id + "@" + boot;
    }

    /**
     * Returns the weight of this keeper for a key, as used by rendezvous hashing (Thaler, Ravishankar, 1998).
     *
     * @param key the key
     * @return the weight, to be compared as an unsigned number
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
     * Adds the characters of a text to a hash.
     *
     * @param hash the hash so far
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
