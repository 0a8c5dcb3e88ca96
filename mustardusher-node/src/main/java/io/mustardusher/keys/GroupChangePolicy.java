package io.mustardusher.keys;

import java.util.List;
import java.util.Optional;

import io.mustardusher.claim.ClaimGroup;
import io.mustardusher.claim.ClaimLimits;
import io.mustardusher.claim.Keeper;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;

/** Decides which keepers a node may add to or remove from the claim group of its service. */
final class GroupChangePolicy {

    /** The nodes known to this node. */
    private final MemberTable members;

    /** The process of this node. */
    private final Keeper self;

    /**
     * Creates a policy.
     *
     * @param members the nodes known to this node
     * @param self    the process of this node
     */
    GroupChangePolicy(MemberTable members, Keeper self) {
        this.members = members;
        this.self = self;
    }

    /**
     * Returns the other keepers of the current epoch that are no longer available.
     *
     * @param group the group
     * @return keepers whose node is unknown, has failed, has left or has been restarted
     */
    List<Keeper> unavailableKeepers(ClaimGroup group) {
        return group.current().keepers().stream()
                .filter(keeper -> !keeper.equals(self))
                .filter(this::isUnavailable)
                .toList();
    }

    /**
     * Returns whether this process may add itself to the group without a request to one of its keepers. This is the
     * case if the process of at least one keeper has ended, because the epoch can then no longer be confirmed by all
     * its keepers.
     *
     * @param group the group
     * @return {@code true} if the node of at least one keeper has been restarted
     */
    boolean mayAddSelf(ClaimGroup group) {
        return group.current().keepers().stream().anyMatch(this::hasEnded);
    }

    /**
     * Returns whether adding this process keeps the group within {@link ClaimLimits#MAX_KEEPERS}.
     *
     * @param group the group
     * @return {@code true} if the process replaces an earlier one of this node or the group is not full
     */
    boolean hasCapacityForSelf(ClaimGroup group) {
        boolean replaces = group.current().keepers().stream()
                .anyMatch(keeper -> keeper.id().equals(self.id()));
        return replaces || group.current().keepers().size() < ClaimLimits.MAX_KEEPERS;
    }

    /**
     * Returns whether a keeper is no longer available.
     *
     * @param keeper the keeper
     * @return {@code true} if its node is unknown, has failed, has left or has been restarted
     */
    private boolean isUnavailable(Keeper keeper) {
        Optional<MemberRecord> member = members.find(keeper.id());
        return member.isEmpty() || !MemberState.of(member.get()).isActive() || hasEnded(keeper);
    }

    /**
     * Returns whether the process of a keeper has ended, as proven by a later process of the same node.
     *
     * @param keeper the keeper
     * @return {@code true} if the node of the keeper has been restarted
     */
    private boolean hasEnded(Keeper keeper) {
        return members.find(keeper.id())
                .filter(member -> member.getBoot() > keeper.boot())
                .isPresent();
    }
}
