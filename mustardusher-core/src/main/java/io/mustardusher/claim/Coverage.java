package io.mustardusher.claim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Determines since when a keeper has taken part in every claim of a key. This starts with the epoch in which it became
 * home or witness of the key: at the time at which it first saw that epoch, plus the time for which keepers of earlier
 * epochs could still have granted claims.
 */
final class Coverage {

    /** Value for a keeper that has taken part in every claim of the key since the first epoch. */
    static final long ALWAYS = Long.MIN_VALUE;

    /** Value for a keeper that is neither home nor witness of the key in the latest epoch that can grant claims. */
    static final long NEVER = Long.MAX_VALUE;

    private final Keeper self;

    /** Wall time at which each claim epoch was first seen, in milliseconds since the Unix epoch. */
    private final Map<Long, Long> firstSeenMillis = new HashMap<>();

    /**
     * Creates a coverage without epochs.
     *
     * @param self keeper whose coverage is determined
     */
    Coverage(Keeper self) {
        this.self = self;
    }

    /**
     * Records the time at which epochs are first seen, and drops epochs that the group no longer contains.
     *
     * @param epochs    epochs of the group, the current one first
     * @param nowMillis wall time, in milliseconds since the Unix epoch
     */
    void record(List<ClaimEpoch> epochs, long nowMillis) {
        epochs.forEach(epoch -> firstSeenMillis.putIfAbsent(epoch.number(), nowMillis));
        long oldest = epochs.get(epochs.size() - 1).number();
        firstSeenMillis.keySet().removeIf(number -> number < oldest);
    }

    /**
     * Returns since when this keeper has taken part in every claim of a key.
     *
     * @param epochs epochs of the group, the current one first
     * @param key    the key
     * @return milliseconds since the Unix epoch, {@link #ALWAYS} or {@link #NEVER}
     */
    long coveredSince(List<ClaimEpoch> epochs, IdempotencyKey key) {
        long since = NEVER;
        for (ClaimEpoch epoch : epochs) {
            if (!epoch.canGrant()) {
                continue;
            }
            if (!epoch.pairFor(key).contains(self)) {
                return since;
            }
            since = firstSeenMillis.get(epoch.number()) + ClaimLimits.LEASE_MILLIS + ClaimLimits.CLOCK_DRIFT_MILLIS;
        }
        boolean complete = epochs.get(epochs.size() - 1).number() == 1;
        return complete && since != NEVER ? ALWAYS : since;
    }
}
