package io.mustardusher.claim;

import java.util.List;

import io.mustardusher.generated.ClaimEpochRecord;

/**
 * The keepers of one epoch.
 *
 * @param number  number of the epoch
 * @param keepers keepers of the epoch, at least one
 */
public record ClaimEpoch(long number, List<Keeper> keepers) {

    /**
     * Reads a record.
     *
     * @param value the record
     * @return the epoch
     */
    public static ClaimEpoch from(ClaimEpochRecord value) {
        return new ClaimEpoch(
                value.getEpoch(), value.getKeepers().stream().map(Keeper::from).toList());
    }

    /**
     * Writes a record.
     *
     * @return the record
     */
    public ClaimEpochRecord toRecord() {
        return new ClaimEpochRecord()
                .withEpoch(number)
                .withKeepers(keepers.stream().map(Keeper::toRecord).toList());
    }

    /**
     * Finds the pair of a key: the home has the highest weight, the witness the highest outside the home's failure
     * domain, or the next highest where there is only one failure domain.
     *
     * @param key the key
     * @return the pair
     */
    public KeeperPair pair(IdempotencyKey key) {
        Keeper home = heaviest(key, null, false);
        Keeper witness = heaviest(key, home, true);
        return new KeeperPair(home, witness == null ? heaviest(key, home, false) : witness);
    }

    /**
     * Tells whether claims can be granted in this epoch.
     *
     * @return {@code false} if there is a single keeper
     */
    public boolean canGrant() {
        return keepers.size() > 1;
    }

    /**
     * Finds the keeper of the highest weight.
     *
     * @param key         the key
     * @param except      keeper to leave out, or {@code null}
     * @param otherDomain whether to leave out the failure domain of that keeper too
     * @return the keeper, or {@code null} if there is none
     */
    private Keeper heaviest(IdempotencyKey key, Keeper except, boolean otherDomain) {
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
