package io.mustardusher.claim;

import java.util.ArrayList;
import java.util.List;

import io.mustardusher.generated.ClaimGroupRecord;

/**
 * The keepers of a service through its epochs.
 *
 * @param service name of the service
 * @param epochs  epochs, the present one first
 */
public record ClaimGroup(String service, List<ClaimEpoch> epochs) {

    /**
     * Creates the first epoch of a service.
     *
     * @param service name of the service
     * @param keeper  its first keeper
     * @return the group
     */
    public static ClaimGroup first(String service, Keeper keeper) {
        return new ClaimGroup(service, List.of(new ClaimEpoch(1, List.of(keeper))));
    }

    /**
     * Reads a record.
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
     * Writes a record.
     *
     * @return the record
     */
    public ClaimGroupRecord toRecord() {
        return new ClaimGroupRecord()
                .withService(service)
                .withEpochs(epochs.stream().map(ClaimEpoch::toRecord).toList());
    }

    /**
     * Returns the present epoch.
     *
     * @return the epoch
     */
    public ClaimEpoch current() {
        return epochs.get(0);
    }

    /**
     * Returns the group with one more epoch.
     *
     * @param keepers keepers of that epoch
     * @return the group
     */
    public ClaimGroup withKeepers(List<Keeper> keepers) {
        List<ClaimEpoch> next = new ArrayList<>();
        next.add(new ClaimEpoch(current().number() + 1, List.copyOf(keepers)));
        next.addAll(epochs);
        return new ClaimGroup(service, List.copyOf(next.subList(0, Math.min(next.size(), ClaimTiming.MAX_EPOCHS))));
    }

    /**
     * Returns the group with a keeper added; an earlier process of the same node is replaced.
     *
     * @param keeper the keeper
     * @return the group
     */
    public ClaimGroup withKeeper(Keeper keeper) {
        List<Keeper> keepers = new ArrayList<>(current().keepers());
        keepers.removeIf(present -> present.id().equals(keeper.id()));
        keepers.add(keeper);
        return withKeepers(keepers);
    }

    /**
     * Returns the group without some keepers.
     *
     * @param gone the keepers
     * @return the group
     */
    public ClaimGroup withoutKeepers(List<Keeper> gone) {
        List<Keeper> keepers = new ArrayList<>(current().keepers());
        keepers.removeAll(gone);
        return withKeepers(keepers);
    }

    /**
     * Tells whether a process belongs to the present epoch.
     *
     * @param keeper the process
     * @return {@code true} if it does
     */
    public boolean contains(Keeper keeper) {
        return current().keepers().contains(keeper);
    }
}
