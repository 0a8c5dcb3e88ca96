package io.mustardusher.claim;

import java.util.ArrayList;
import java.util.List;

import io.mustardusher.generated.ClaimGroupRecord;

/**
 * The keepers of a service in its current and its previous epochs.
 *
 * @param service name of the service
 * @param epochs  epochs in descending order, the current one first; at most {@link ClaimLimits#MAX_EPOCHS}
 */
public record ClaimGroup(String service, List<ClaimEpoch> epochs) {

    /**
     * Creates the group of a service with a first epoch that has one keeper.
     *
     * @param service name of the service
     * @param keeper  the keeper
     * @return the group
     */
    public static ClaimGroup create(String service, Keeper keeper) {
        return new ClaimGroup(service, List.of(new ClaimEpoch(1, List.of(keeper))));
    }

    /**
     * Creates a group from its record.
     *
     * @param value the record
     * @return the group
     */
    public static ClaimGroup from(ClaimGroupRecord value) {
        return new ClaimGroup(
                value.getService(),
                value.getEpochs().stream().map(ClaimEpoch::from).toList());
    }

    /**
     * Converts this group to its record.
     *
     * @return the record
     */
    public ClaimGroupRecord toRecord() {
        return new ClaimGroupRecord()
                .withService(service)
                .withEpochs(epochs.stream().map(ClaimEpoch::toRecord).toList());
    }

    /**
     * Returns the current epoch.
     *
     * @return the epoch with the highest number
     */
    public ClaimEpoch current() {
        return epochs.get(0);
    }

    /**
     * Returns this group with a new epoch. The oldest epoch is dropped beyond {@link ClaimLimits#MAX_EPOCHS}.
     *
     * @param keepers keepers of the new epoch
     * @return the new group
     */
    public ClaimGroup withKeepers(List<Keeper> keepers) {
        List<ClaimEpoch> next = new ArrayList<>();
        next.add(new ClaimEpoch(current().number() + 1, List.copyOf(keepers)));
        next.addAll(epochs);
        return new ClaimGroup(service, List.copyOf(next.subList(0, Math.min(next.size(), ClaimLimits.MAX_EPOCHS))));
    }

    /**
     * Returns this group with a new epoch to which a keeper is added. It replaces any other process of the same node.
     *
     * @param keeper the keeper to add
     * @return the new group
     */
    public ClaimGroup withKeeper(Keeper keeper) {
        List<Keeper> keepers = new ArrayList<>(current().keepers());
        keepers.removeIf(existing -> existing.id().equals(keeper.id()));
        keepers.add(keeper);
        return withKeepers(keepers);
    }

    /**
     * Returns this group with a new epoch from which keepers are removed.
     *
     * @param removed the keepers to remove
     * @return the new group
     */
    public ClaimGroup withoutKeepers(List<Keeper> removed) {
        List<Keeper> keepers = new ArrayList<>(current().keepers());
        keepers.removeAll(removed);
        return withKeepers(keepers);
    }

    /**
     * Returns whether a process is a keeper in the current epoch.
     *
     * @param keeper the process
     * @return {@code true} if the current epoch contains it
     */
    public boolean contains(Keeper keeper) {
        return current().keepers().contains(keeper);
    }
}
