package io.mustardusher.claim;

/**
 * The keepers of one key in one epoch.
 *
 * @param home    decides and remembers
 * @param witness records each claim; {@code null} where the epoch has a single keeper
 */
public record KeeperPair(Keeper home, Keeper witness) {

    /**
     * Tells whether a keeper belongs to the pair.
     *
     * @param keeper the keeper
     * @return {@code true} if it does
     */
    public boolean contains(Keeper keeper) {
        return home.equals(keeper) || keeper.equals(witness);
    }
}
