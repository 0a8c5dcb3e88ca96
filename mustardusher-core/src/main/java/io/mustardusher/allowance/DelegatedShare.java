package io.mustardusher.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import io.mustardusher.generated.AllowanceReply;
import io.mustardusher.generated.AllowanceRequest;
import io.mustardusher.time.Clock;

/**
 * A node's delegation of its share for one group of accounts. At most one coordinator holds the share at any time:
 *
 * <ul>
 *   <li>A delegation echoes the stamp of the coordinator's last reply and ends a fixed time after that stamp by the
 *       coordinator's clock. The node received the stamp later than it was given, so it knows when the delegation has
 *       ended, however long the message or the coordinator was delayed.
 *   <li>The share goes to another coordinator only after that time, or after the previous one confirmed its release.
 *   <li>A new process delegates nothing until a delegation of the process before it would have ended.
 * </ul>
 *
 * <p>The clock must not count suspensions: a step of the wall clock would end the waits above too early. Not
 * thread-safe.
 */
final class DelegatedShare {

    private final NodeProcess self;
    private final AccountGroup group;
    private final NodeShare share;
    private final UnreachableNodes unreachable;
    private final AllowanceBounds bounds;
    private final LongSupplier sequence;
    private final Runnable changeListener;
    private final Clock clock;
    private final long startNanos;

    /** Nodes that may coordinate the group, in the order of preference. */
    private List<NodeProcess> candidates = List.of();

    /** Receives the questions and the share of this node; {@code null} before the first candidates are known. */
    private NodeProcess coordinator;

    /** Preferred coordinator that has answered, to which the share moves when it is released; {@code null} if none. */
    private NodeProcess successor;

    /** Last process that the share was delegated to; {@code null} if none holds it. */
    private NodeProcess holder;

    /** Time at which the last delegation ends at the latest, in nanoseconds. */
    private long heldUntilNanos;

    /** Time of the last delegation, in nanoseconds. */
    private long delegatedNanos;

    /** Number of the message that asks the coordinator to release the share; 0 if there is none. */
    private long releaseSequence;

    /** Whether the coordinator has changed since the last advance. */
    private boolean moved;

    /** Time of the last advance, in nanoseconds; at first that of the start. */
    private long advanceNanos;

    /** Last stamps of the processes that answered. */
    private final Map<NodeProcess, Stamp> stamps = new HashMap<>();

    DelegatedShare(
            NodeProcess self,
            AccountGroup group,
            NodeShare share,
            UnreachableNodes unreachable,
            AllowanceBounds bounds,
            LongSupplier sequence,
            Runnable changeListener,
            Clock clock,
            long startNanos) {
        this.self = self;
        this.group = group;
        this.share = share;
        this.unreachable = unreachable;
        this.bounds = bounds;
        this.sequence = sequence;
        this.changeListener = changeListener;
        this.clock = clock;
        this.startNanos = startNanos;
        this.heldUntilNanos = startNanos;
        this.advanceNanos = startNanos;
    }

    /**
     * Sets the nodes that may coordinate the group.
     *
     * @param nodes live nodes, in the order of preference; contains this one unless it is leaving
     */
    void setCandidates(List<NodeProcess> nodes) {
        candidates = nodes;
        stamps.keySet().removeIf(node -> !node.equals(coordinator) && !nodes.contains(node));
        if (coordinator == null) {
            coordinator = preferred();
        }
    }

    /**
     * Returns the coordinator that this node's questions go to.
     *
     * @return the coordinator; {@code null} before the first candidates are known
     */
    NodeProcess coordinator() {
        return coordinator;
    }

    /**
     * Returns the nodes to send a message to now: the coordinator if the delegation has to be made, renewed or
     * released, and the preferred coordinator if it is another one, to find out whether it answers.
     *
     * @return the nodes
     */
    List<NodeProcess> due() {
        List<NodeProcess> due = new ArrayList<>(2);
        if (coordinator == null) {
            return due;
        }
        long now = clock.nanoTime();
        boolean held = coordinator.equals(holder) && now - heldUntilNanos < 0;
        // Half of an interval of the timer is tolerated, so that a renewal is not late by a whole one.
        long renewNanos = timing().intervalNanos() - DelegationTiming.MIN_INTERVAL_NANOS / 2;
        if (!held || successor != null || now - delegatedNanos >= renewNanos) {
            due.add(coordinator);
        }
        NodeProcess preferred = preferred();
        if (successor == null && preferred != null && !preferred.equals(coordinator)) {
            due.add(preferred);
        }
        return due;
    }

    /**
     * Creates a message to a node. It delegates the share if the node is the coordinator and no other may hold it.
     *
     * @param to the receiver
     * @return the message
     */
    AllowanceRequest message(NodeProcess to) {
        long now = clock.nanoTime();
        AllowanceRequest message = new AllowanceRequest()
                .withFrom(self.id())
                .withBoot(self.boot())
                .withSequence(sequence.getAsLong())
                .withGroup(group.number())
                .withMembers(share.known());
        if (!to.equals(coordinator)) {
            return message;
        }
        if (successor != null) {
            releaseSequence = releaseSequence == 0 ? message.getSequence() : releaseSequence;
            return message;
        }
        Stamp stamp = stamps.get(to);
        long validity = timing().validityNanos();
        if (stamp == null || now - stamp.receivedNanos >= validity) {
            return message;
        }
        message.withStampBoot(to.boot()).withStamp(stamp.value).withValidMillis(validity / Clock.NANOS_PER_MILLI);
        message.setAdvance(takeAdvance(now) ? share.divisor() : 0);
        long divisor = share.divisor();
        boolean held = to.equals(holder) && now - heldUntilNanos < 0;
        long freeNanos = freeSinceNanos();
        if (divisor == 0 || !held && now - freeNanos < 0) {
            return message;
        }
        if (!held) {
            message.setIdleMillis((now - freeNanos) / Clock.NANOS_PER_MILLI);
        }
        holder = to;
        delegatedNanos = now;
        heldUntilNanos = max(heldUntilNanos, stamp.receivedNanos + validity);
        return message.withDivisor(divisor);
    }

    /**
     * Processes a reply.
     *
     * @param from    the node that replied
     * @param request the message that it replies to
     * @param reply   the reply
     * @return whether a message to the coordinator is to be sent at once
     */
    boolean onReply(NodeProcess from, AllowanceRequest request, AllowanceReply reply) {
        long now = clock.nanoTime();
        share.recordTold(reply.getMembers());
        unreachable.remove(from);
        Stamp last = stamps.get(from);
        if (last == null || reply.getStamp() - last.value > 0) {
            stamps.put(from, new Stamp(reply.getStamp(), now, request.getSequence()));
        }
        if (from.equals(coordinator)) {
            boolean released = successor != null && request.getSequence() >= releaseSequence && releaseSequence > 0;
            if (released) {
                endHolding(now);
                moveTo(successor);
            }
            return released || request.getDivisor() == 0 && isDelegable(now) || isAdvanceDue(now);
        }
        if (!from.equals(preferred())) {
            return false;
        }
        boolean holds = coordinator.equals(holder) && now - heldUntilNanos < 0;
        if (holds) {
            successor = from;
        } else {
            moveTo(from);
        }
        return true;
    }

    /**
     * Processes the failure of a request. A node that has answered a later request is not considered unreachable.
     *
     * @param to      the receiver of the request
     * @param request the request
     */
    void onFailure(NodeProcess to, AllowanceRequest request) {
        Stamp stamp = stamps.get(to);
        if (to.equals(self) || stamp != null && stamp.sequence > request.getSequence()) {
            return;
        }
        unreachable.add(to);
        avoidUnreachable();
    }

    /** Replaces the coordinator and its successor if they are unreachable. */
    void avoidUnreachable() {
        if (successor != null && unreachable.contains(successor)) {
            successor = null;
        }
        if (coordinator != null && unreachable.contains(coordinator)) {
            NodeProcess next = successor == null ? preferred() : successor;
            if (next != null && !next.equals(coordinator)) {
                moveTo(next);
            }
        }
    }

    private NodeProcess preferred() {
        for (NodeProcess candidate : candidates) {
            if (!unreachable.contains(candidate)) {
                return candidate;
            }
        }
        return coordinator;
    }

    private void moveTo(NodeProcess next) {
        coordinator = next;
        successor = null;
        releaseSequence = 0;
        moved = true;
        changeListener.run();
    }

    // In effect, the end of a holding is the earliest time at which another one may begin.
    private void endHolding(long now) {
        holder = null;
        heldUntilNanos = now;
    }

    private boolean isDelegable(long now) {
        Stamp stamp = stamps.get(coordinator);
        return stamp != null
                && now - stamp.receivedNanos < timing().validityNanos()
                && share.divisor() > 0
                && now - freeSinceNanos() >= 0;
    }

    // The earliest time from which no coordinator holds the share, as far as it was delegated until now.
    private long freeSinceNanos() {
        return max(startNanos + timing().validityNanos(), heldUntilNanos);
    }

    private boolean takeAdvance(long now) {
        if (!isAdvanceDue(now)) {
            return false;
        }
        moved = false;
        advanceNanos = now;
        return true;
    }

    // In any time within which the tokens of one window can have been granted, including the validity of the advance, a
    // share of it is given once. The process before this one may have given it shortly before its end.
    private boolean isAdvanceDue(long now) {
        long spacing = bounds.grantWindowNanos() + timing().validityNanos();
        return moved && share.divisor() > 0 && now - advanceNanos >= spacing;
    }

    private DelegationTiming timing() {
        return DelegationTiming.forMembers(share.divisor());
    }

    private static long max(long a, long b) {
        return a - b > 0 ? a : b;
    }

    /**
     * Time of a coordinator's clock.
     *
     * @param value         the time, in nanoseconds of that clock
     * @param receivedNanos time at which it was received, in nanoseconds of this node's clock
     * @param sequence      number of the message that the coordinator replied to
     */
    private record Stamp(long value, long receivedNanos, long sequence) {}
}
