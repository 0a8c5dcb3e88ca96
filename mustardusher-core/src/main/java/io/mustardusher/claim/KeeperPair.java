package io.mustardusher.claim;

/**
 * The keepers responsible for one key in one epoch.
 *
 * @param home    keeper that decides on the calls of the key and stores their result
 * @param witness keeper that records each claim before the call is dispatched; {@code null} if the epoch has a single
 *                keeper
 */
public record KeeperPair(Keeper home, Keeper witness) {

    /**
     * Returns whether a keeper is the home or the witness.
     *
     * @param keeper the keeper
     * @return {@code true} if it belongs to the pair
     */
    public boolean contains(Keeper keeper) {
        return home.equals(keeper) || keeper.equals(witness);
    }
}
