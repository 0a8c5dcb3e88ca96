package io.mustardusher.claim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Since when a keeper has taken part in every claim of a key. For the epoch in which it became a keeper of the key this
 * is the time at which it learned of the epoch, plus the time for which keepers of earlier epochs could still grant.
 */
final class Coverage {

    /** Time before every key. */
    static final long ALWAYS = Long.MIN_VALUE;

    /** Time after every key. */
    static final long NEVER = Long.MAX_VALUE;

    private final Keeper self;

    /** Wall time at which each epoch was learned of, in milliseconds since the epoch. */
    private final Map<Long, Long> learnedMillis = new HashMap<>();

    /**
     * Creates a coverage.
     *
     * @param self this keeper
     */
    Coverage(Keeper self) {
        this.self = self;
    }

    /**
     * Notes the epochs of a group.
     *
     * @param epochs    the epochs
     * @param nowMillis wall time, in milliseconds since the epoch
     */
    void learn(List<ClaimEpoch> epochs, long nowMillis) {
        epochs.forEach(epoch -> learnedMillis.putIfAbsent(epoch.number(), nowMillis));
        long oldest = epochs.get(epochs.size() - 1).number();
        learnedMillis.keySet().removeIf(number -> number < oldest);
    }

    /**
     * Returns since when this keeper has taken part in every claim of a key.
     *
     * @param epochs epochs, the present one first
     * @param key    the key
     * @return milliseconds since the epoch, {@link #ALWAYS} or {@link #NEVER}
     */
    long since(List<ClaimEpoch> epochs, IdempotencyKey key) {
        long since = NEVER;
        for (ClaimEpoch epoch : epochs) {
            if (!epoch.canGrant()) {
                continue;
            }
            if (!epoch.pair(key).contains(self)) {
                return since;
            }
            since = learnedMillis.get(epoch.number()) + ClaimTiming.AUTHORITY_MILLIS + ClaimTiming.DRIFT_MILLIS;
        }
        boolean complete = epochs.get(epochs.size() - 1).number() == 1;
        return complete && since != NEVER ? ALWAYS : since;
    }
}
