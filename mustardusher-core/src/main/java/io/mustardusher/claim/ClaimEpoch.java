package io.mustardusher.claim;

import java.util.List;

import io.mustardusher.generated.ClaimEpochRecord;

/**
 * One epoch of a claim group, during which its set of keepers does not change.
 *
 * @param number  number of the epoch, starting at 1
 * @param keepers keepers of the epoch, at least one
 */
public record ClaimEpoch(long number, List<Keeper> keepers) {

    /**
     * Creates an epoch from its record.
     *
     * @param value the record
     * @return the epoch
     */
    public static ClaimEpoch from(ClaimEpochRecord value) {
        return new ClaimEpoch(
                value.getEpoch(), value.getKeepers().stream().map(Keeper::from).toList());
    }

    /**
     * Converts this epoch to its record.
     *
     * @return the record
     */
    public ClaimEpochRecord toRecord() {
        return new ClaimEpochRecord()
                .withEpoch(number)
                .withKeepers(keepers.stream().map(Keeper::toRecord).toList());
    }

    /**
     * Returns the home and witness of a key. The home is the keeper with the highest weight. The witness is the keeper
     * with the highest weight outside the home's failure domain, or the one with the second-highest weight if all
     * keepers are in the same failure domain.
     *
     * @param key the key
     * @return home and witness
     */
    public KeeperPair pairFor(IdempotencyKey key) {
        Keeper home = highestWeight(key, null, false);
        Keeper witness = highestWeight(key, home, true);
        return new KeeperPair(home, witness == null ? highestWeight(key, home, false) : witness);
    }

    /**
     * Returns whether claims can be granted in this epoch, which takes a home and a witness.
     *
     * @return {@code false} if there is a single keeper
     */
    public boolean canGrant() {
        return keepers.size() > 1;
    }

    /**
     * Returns the keeper with the highest weight for a key.
     *
     * @param key         the key
     * @param except      keeper to exclude, or {@code null}
     * @param otherDomain whether to exclude all keepers in the failure domain of {@code except}
     * @return the keeper, or {@code null} if all are excluded
     */
    private Keeper highestWeight(IdempotencyKey key, Keeper except, boolean otherDomain) {
        Keeper best = null;
        long bestWeight = 0;
        for (Keeper keeper : keepers) {
            if (keeper.equals(except) || otherDomain && keeper.domain().equals(except.domain())) {
                continue;
            }
            long weight = keeper.weight(key);
            if (best == null || Long.compareUnsigned(weight, bestWeight) > 0) {
                best = keeper;
                bestWeight = weight;
            }
        }
        return best;
    }
}
