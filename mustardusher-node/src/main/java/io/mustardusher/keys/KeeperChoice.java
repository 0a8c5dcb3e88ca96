package io.mustardusher.keys;

import java.util.List;
import java.util.Optional;

import io.mustardusher.claim.ClaimGroup;
import io.mustardusher.claim.ClaimLimits;
import io.mustardusher.claim.Keeper;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;

/** Which keepers a node would take into or out of a group. */
final class KeeperChoice {

    /** What is known of nodes. */
    private final MemberTable members;

    /** This node's process. */
    private final Keeper self;

    /**
     * Creates a choice.
     *
     * @param members what is known of nodes
     * @param self    this node's process
     */
    KeeperChoice(MemberTable members, Keeper self) {
        this.members = members;
        this.self = self;
    }

    /**
     * Finds keepers that are gone.
     *
     * @param group the group
     * @return keepers whose node has failed, has left, or runs a later process
     */
    List<Keeper> gone(ClaimGroup group) {
        return group.current().keepers().stream()
                .filter(keeper -> !keeper.equals(self))
                .filter(this::isGone)
                .toList();
    }

    /**
     * Tells whether this process may write itself into the group without asking a keeper: it may if some keeper of the
     * epoch has certainly ended, because its node runs a later process, for then the epoch can no longer be confirmed
     * by all its keepers.
     *
     * @param group the group
     * @return {@code true} if it may
     */
    boolean mayJoinAlone(ClaimGroup group) {
        return group.current().keepers().stream().anyMatch(this::hasEnded);
    }

    /**
     * Tells whether there is room for this process.
     *
     * @param group the group
     * @return {@code true} if there is
     */
    boolean hasRoom(ClaimGroup group) {
        boolean replaces = group.current().keepers().stream()
                .anyMatch(keeper -> keeper.id().equals(self.id()));
        return replaces || group.current().keepers().size() < ClaimLimits.MAX_KEEPERS;
    }

    /**
     * Tells whether a keeper is gone.
     *
     * @param keeper the keeper
     * @return {@code true} if it has failed, has left, or its node runs a later process
     */
    private boolean isGone(Keeper keeper) {
        Optional<MemberRecord> member = members.find(keeper.id());
        return member.isEmpty() || !MemberState.of(member.get()).isActive() || hasEnded(keeper);
    }

    /**
     * Tells whether a keeper's process has certainly ended.
     *
     * @param keeper the keeper
     * @return {@code true} if its node runs a later process
     */
    private boolean hasEnded(Keeper keeper) {
        return members.find(keeper.id())
                .filter(member -> member.getBoot() > keeper.boot())
                .isPresent();
    }
}
