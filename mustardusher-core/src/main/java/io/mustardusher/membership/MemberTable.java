package io.mustardusher.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import io.mustardusher.generated.DepartureRecord;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.time.Clock;

/**
 * One node's view of the cluster membership, following SWIM (Das, Gupta, Motivala, DSN 2002): records carry
 * incarnations, a member is suspected before it is declared failed, a suspected member can refute the suspicion, and
 * each message carries a bounded number of updates.
 *
 * <p>All methods are synchronized on the table and make no calls to other components while they hold its lock, except
 * to the listener for changes.
 */
public final class MemberTable {

    /** Time within which a suspected member has to refute the suspicion, in milliseconds. */
    public static final long SUSPICION_TIMEOUT_MILLIS = 2_000L;

    /** Time after which the record of a failed or departed member is removed, in milliseconds. */
    public static final long REMOVAL_DELAY_MILLIS = 600_000L;

    /** Number of transmissions of an update per doubling of the number of members in this failure domain. */
    private static final int TRANSMISSIONS_PER_DOUBLING = 3;

    /**
     * Number of transmissions of an update to each other failure domain, by all members of this domain together. Within
     * the other domain it spreads like an update of that domain.
     */
    private static final int TRANSMISSIONS_PER_OTHER_DOMAIN = 6;

    /** Number of probes within this failure domain for each probe of another one, whose traffic is more expensive. */
    private static final int LOCAL_PROBES_PER_REMOTE_PROBE = 3;

    private final Clock clock;

    /** Randomizes probe order and peer selection. */
    private final Random random;

    /** Records by node id, including this node's. */
    private final Map<String, TrackedRecord> members = new HashMap<>();

    /** Records that have not yet been transmitted as often as required. */
    private final List<TrackedRecord> pending = new ArrayList<>();

    /** Ids of the members of this failure domain still to be probed in the current round; the last one is next. */
    private final List<String> localProbeQueue = new ArrayList<>();

    /** Ids of the members of other failure domains still to be probed in the current round; the last one is next. */
    private final List<String> remoteProbeQueue = new ArrayList<>();

    /** Number of probes so far. */
    private int probes;

    /** Id of this node. */
    private final String self;

    /** Sum of the checksums of all records. */
    private long digest;

    /** Number of changes to the table. */
    private long version;

    /** Notified of each change, while the lock is held. */
    private Runnable changeListener = () -> {};

    /**
     * Creates a table that contains only this node.
     *
     * @param self   record of this node
     * @param clock  source of time
     * @param random randomizes probe order and peer selection
     */
    public MemberTable(MemberRecord self, Clock clock, Random random) {
        this.self = self.getId();
        this.clock = clock;
        this.random = random;
        store(self);
    }

    /**
     * Sets the listener for changes. It is called while the lock of the table is held, so it must neither block nor
     * call another component that uses the table.
     *
     * @param listener called after each change of the version
     */
    public synchronized void onChange(Runnable listener) {
        changeListener = listener;
    }

    /**
     * Returns the record of this node.
     *
     * @return the record
     */
    public synchronized MemberRecord self() {
        return members.get(self).value();
    }

    /**
     * Updates the record of this node and increments its incarnation.
     *
     * @param update modifies a copy of the current record
     * @return the new record
     */
    public synchronized MemberRecord updateSelf(Consumer<MemberRecord> update) {
        MemberRecord next = copy(self());
        update.accept(next);
        next.setIncarnation(self().getIncarnation() + 1);
        store(next);
        return next;
    }

    /**
     * Adds departures of the backend server beside this node to its record.
     *
     * @param departures processes of the server that are leaving
     * @return {@code true} if the record has changed
     */
    public synchronized boolean addDepartures(Collection<DepartureRecord> departures) {
        List<DepartureRecord> known = self().getDepartures();
        List<DepartureRecord> union = Departures.union(known, departures);
        if (union.equals(known)) {
            return false;
        }
        updateSelf(record -> record.setDepartures(union));
        return true;
    }

    /**
     * Returns the records of all members, including this node and failed or departed members that are not yet removed.
     *
     * @return the records, in no particular order
     */
    public synchronized List<MemberRecord> members() {
        List<MemberRecord> all = new ArrayList<>(members.size());
        members.values().forEach(tracked -> all.add(tracked.value()));
        return all;
    }

    /**
     * Looks up a member.
     *
     * @param id id of the node
     * @return its record, or empty if the table does not contain it
     */
    public synchronized Optional<MemberRecord> find(String id) {
        return Optional.ofNullable(members.get(id)).map(tracked -> tracked.value());
    }

    /**
     * Returns the address at which a process accepts frames.
     *
     * @param id   id of the node
     * @param boot start time of the process, in milliseconds since the Unix epoch
     * @return the address, or empty if that process is unknown, has failed or has left
     */
    public Optional<InetSocketAddress> frameAddress(String id, long boot) {
        return find(id).filter(member -> member.getBoot() == boot)
                .filter(member -> MemberState.of(member).isActive())
                .map(member -> new InetSocketAddress(member.getHost(), (int) member.getFramePort()));
    }

    /**
     * Returns a checksum over all records, independent of their order. Two nodes compare digests to detect that their
     * tables differ.
     *
     * @return the checksum
     */
    public synchronized long digest() {
        return digest;
    }

    /**
     * Returns the version of this table, which increases whenever a record is stored or removed.
     *
     * @return the version
     */
    public synchronized long version() {
        return version;
    }

    /**
     * Merges received records, keeping the newer record of each member. A record that reports this node as suspected or
     * failed is refuted with a higher incarnation. Departures are kept beyond the process that listed them, so that a
     * node that has restarted learns from others which processes of its backend server are leaving.
     *
     * @param records received records
     * @return the records stored by the merge, including the own one if it was refuted or lists further departures
     */
    public synchronized List<MemberRecord> merge(List<MemberRecord> records) {
        List<MemberRecord> changed = new ArrayList<>();
        for (MemberRecord incoming : records) {
            if (incoming.getId().equals(self)) {
                Optional<MemberRecord> refutation = refute(incoming);
                boolean furtherDepartures = addDepartures(incoming.getDepartures());
                (furtherDepartures ? Optional.of(self()) : refutation).ifPresent(changed::add);
            } else {
                mergeOther(incoming).ifPresent(changed::add);
            }
        }
        return changed;
    }

    private Optional<MemberRecord> mergeOther(MemberRecord incoming) {
        TrackedRecord tracked = members.get(incoming.getId());
        boolean newer = supersedes(incoming);
        if (tracked == null) {
            return newer ? Optional.of(store(incoming)) : Optional.empty();
        }
        List<DepartureRecord> known = tracked.value().getDepartures();
        List<DepartureRecord> union = Departures.union(known, incoming.getDepartures());
        if (!newer && union.equals(known)) {
            return Optional.empty();
        }
        return Optional.of(store(copy(newer ? incoming : tracked.value()).withDepartures(union)));
    }

    /**
     * Marks an alive member as suspected because it did not respond to probes.
     *
     * @param id id of the node
     * @return the new record, or empty if the member is unknown, not alive or this node
     */
    public synchronized Optional<MemberRecord> suspect(String id) {
        TrackedRecord tracked = members.get(id);
        if (tracked == null || id.equals(self) || MemberState.of(tracked.value()) != MemberState.ALIVE) {
            return Optional.empty();
        }
        return Optional.of(changeState(tracked, MemberState.SUSPECT));
    }

    /**
     * Marks members as failed that did not refute a suspicion within {@link #SUSPICION_TIMEOUT_MILLIS}, and removes
     * members that failed or left at least {@link #REMOVAL_DELAY_MILLIS} ago.
     *
     * @return records of the members marked as failed
     */
    public synchronized List<MemberRecord> expire() {
        long now = clock.nanoTime();
        List<MemberRecord> failed = new ArrayList<>();
        for (TrackedRecord tracked : List.copyOf(members.values())) {
            long millis = (now - tracked.storedNanos()) / Clock.NANOS_PER_MILLI;
            MemberState state = MemberState.of(tracked.value());
            if (state == MemberState.SUSPECT && millis >= SUSPICION_TIMEOUT_MILLIS) {
                failed.add(changeState(tracked, MemberState.FAILED));
            } else if (!state.isActive() && millis >= REMOVAL_DELAY_MILLIS) {
                remove(tracked);
            }
        }
        return failed;
    }

    /**
     * Returns updates for the next message, the least transmitted first, and counts them as transmitted.
     *
     * @param max    maximum number of records to return
     * @param range  where the message goes
     * @param except records that the receiver has just sent itself
     * @return the records
     */
    public synchronized List<MemberRecord> nextUpdates(int max, GossipRange range, Collection<MemberRecord> except) {
        List<MemberRecord> updates = new ArrayList<>(Math.min(max, pending.size()));
        Map<GossipRange, Integer> limits = transmissionLimits();
        pending.sort((a, b) -> Integer.compare(a.transmissions(range), b.transmissions(range)));
        for (TrackedRecord tracked : pending) {
            if (updates.size() == max) {
                break;
            }
            if (isDue(tracked, range, limits) && !except.contains(tracked.value())) {
                tracked.recordTransmission(range);
                updates.add(tracked.value());
            }
        }
        pending.removeIf(tracked ->
                !isDue(tracked, GossipRange.DOMAIN, limits) && !isDue(tracked, GossipRange.OTHER_DOMAINS, limits));
        return updates;
    }

    /**
     * Returns the range of messages to a member.
     *
     * @param member the member
     * @return {@link GossipRange#DOMAIN} if it belongs to the failure domain of this node
     */
    public synchronized GossipRange rangeTo(MemberRecord member) {
        return isLocal(member) ? GossipRange.DOMAIN : GossipRange.OTHER_DOMAINS;
    }

    /**
     * Returns consecutive records of the table, starting at a random position.
     *
     * @param max maximum number of records to return
     * @return the records
     */
    public synchronized List<MemberRecord> randomPage(int max) {
        List<MemberRecord> all = members();
        Collections.rotate(all, all.isEmpty() ? 0 : random.nextInt(all.size()));
        return List.copyOf(all.subList(0, Math.min(max, all.size())));
    }

    /**
     * Returns the next member to probe: mostly one of this failure domain, at times one of another. Each round covers
     * all active members of this domain, or of the others, once, in random order.
     *
     * @return the member, or empty if there is no other active member
     */
    public synchronized Optional<MemberRecord> nextProbeTarget() {
        probes++;
        boolean remoteFirst = probes % (LOCAL_PROBES_PER_REMOTE_PROBE + 1) == 0;
        GossipRange first = remoteFirst ? GossipRange.OTHER_DOMAINS : GossipRange.DOMAIN;
        return nextProbeTarget(first).or(() -> nextProbeTarget(first.opposite()));
    }

    private Optional<MemberRecord> nextProbeTarget(GossipRange range) {
        List<String> queue = range == GossipRange.DOMAIN ? localProbeQueue : remoteProbeQueue;
        while (true) {
            if (queue.isEmpty()) {
                activeMembers(range, "").forEach(member -> queue.add(member.getId()));
                Collections.shuffle(queue, random);
            }
            if (queue.isEmpty()) {
                return Optional.empty();
            }
            TrackedRecord tracked = members.get(queue.remove(queue.size() - 1));
            if (tracked != null && MemberState.of(tracked.value()).isActive()) {
                return Optional.of(tracked.value());
            }
        }
    }

    /**
     * Returns randomly selected active members other than this node.
     *
     * @param count  maximum number of members to return
     * @param except id of a member to exclude
     * @return the members
     */
    public synchronized List<MemberRecord> randomMembers(int count, String except) {
        List<MemberRecord> candidates = activeMembers(GossipRange.DOMAIN, except);
        candidates.addAll(activeMembers(GossipRange.OTHER_DOMAINS, except));
        Collections.shuffle(candidates, random);
        return candidates.subList(0, Math.min(count, candidates.size()));
    }

    /**
     * Returns randomly selected active members other than this node, from this failure domain or from the others.
     *
     * @param count maximum number of members to return
     * @param range where to select them
     * @return the members
     */
    public synchronized List<MemberRecord> randomMembers(int count, GossipRange range) {
        List<MemberRecord> candidates = activeMembers(range, "");
        Collections.shuffle(candidates, random);
        return candidates.subList(0, Math.min(count, candidates.size()));
    }

    private List<MemberRecord> activeMembers(GossipRange range, String except) {
        List<MemberRecord> active = new ArrayList<>();
        for (TrackedRecord tracked : members.values()) {
            String id = tracked.value().getId();
            boolean eligible = !id.equals(self) && !id.equals(except) && rangeTo(tracked.value()) == range;
            if (eligible && MemberState.of(tracked.value()).isActive()) {
                active.add(tracked.value());
            }
        }
        return active;
    }

    /**
     * Returns a randomly selected failed member that is not yet removed.
     *
     * @return the member, or empty if there is none
     */
    public synchronized Optional<MemberRecord> randomFailedMember() {
        List<MemberRecord> failed = new ArrayList<>();
        for (TrackedRecord tracked : members.values()) {
            if (MemberState.of(tracked.value()) == MemberState.FAILED) {
                failed.add(tracked.value());
            }
        }
        return failed.isEmpty() ? Optional.empty() : Optional.of(failed.get(random.nextInt(failed.size())));
    }

    /**
     * Refutes a received record about this node by storing an own record with a higher incarnation.
     *
     * @param incoming received record about this node
     * @return the refutation, or empty if the received record is outdated, comes from an earlier process or agrees
     */
    private Optional<MemberRecord> refute(MemberRecord incoming) {
        MemberRecord own = self();
        boolean earlierProcess = incoming.getBoot() < own.getBoot();
        boolean same = incoming.getIncarnation() == own.getIncarnation() && incoming.getState() == own.getState();
        if (earlierProcess || same || incoming.getIncarnation() < own.getIncarnation()) {
            return Optional.empty();
        }
        MemberRecord next = copy(own);
        next.setIncarnation(incoming.getIncarnation() + 1);
        store(next);
        return Optional.of(next);
    }

    /**
     * Returns whether a received record takes precedence over the stored one: a later process first, then a higher
     * incarnation, then a later state. A failed or departed member that is not in the table is not added.
     *
     * @param incoming received record of another node
     * @return {@code true} if the received record is to be stored
     */
    private boolean supersedes(MemberRecord incoming) {
        TrackedRecord tracked = members.get(incoming.getId());
        if (tracked == null) {
            return MemberState.of(incoming).isActive();
        }
        MemberRecord current = tracked.value();
        if (incoming.getBoot() != current.getBoot()) {
            return incoming.getBoot() > current.getBoot();
        }
        if (incoming.getIncarnation() != current.getIncarnation()) {
            return incoming.getIncarnation() > current.getIncarnation();
        }
        return MemberState.of(incoming).compareTo(MemberState.of(current)) > 0;
    }

    /**
     * Changes the state of a member without changing its incarnation.
     *
     * @param tracked the member
     * @param state   its new state
     * @return the new record
     */
    private MemberRecord changeState(TrackedRecord tracked, MemberState state) {
        MemberRecord next = copy(tracked.value());
        next.setState(state.toRecordState());
        store(next);
        return next;
    }

    /**
     * Stores a record in place of the member's previous one and queues it for transmission.
     *
     * @param value the record
     * @return the record
     */
    private MemberRecord store(MemberRecord value) {
        TrackedRecord previous = members.get(value.getId());
        boolean concernsFailure = isFailing(value) || previous != null && isFailing(previous.value());
        TrackedRecord stored = new TrackedRecord(value, concernsFailure, clock.nanoTime());
        members.put(value.getId(), stored);
        if (previous != null) {
            digest -= checksum(previous.value());
            pending.remove(previous);
        }
        digest += checksum(value);
        version++;
        pending.add(stored);
        changeListener.run();
        return value;
    }

    /**
     * Removes a member from the table.
     *
     * @param tracked the member
     */
    private void remove(TrackedRecord tracked) {
        members.remove(tracked.value().getId());
        pending.remove(tracked);
        digest -= checksum(tracked.value());
        version++;
        changeListener.run();
    }

    // Within the domain, the limit grows with the logarithm of the number of members. The members of a domain share the
    // transmissions to the others.
    private Map<GossipRange, Integer> transmissionLimits() {
        int local = 0;
        Set<String> otherDomains = new HashSet<>();
        for (TrackedRecord tracked : members.values()) {
            if (isLocal(tracked.value())) {
                local++;
            } else {
                otherDomains.add(
                        tracked.value().getRegion() + '/' + tracked.value().getDomain());
            }
        }
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(local);
        int remote = (TRANSMISSIONS_PER_OTHER_DOMAIN * Math.max(1, otherDomains.size()) + local - 1) / local;
        return Map.of(GossipRange.DOMAIN, TRANSMISSIONS_PER_DOUBLING * doublings, GossipRange.OTHER_DOMAINS, remote);
    }

    // A record goes to other domains from the domain of its member, and from anywhere if it reports a failure or the
    // end of one, because the members of that domain may have failed or may not know each other.
    private boolean isDue(TrackedRecord tracked, GossipRange range, Map<GossipRange, Integer> limits) {
        boolean concerned = range == GossipRange.DOMAIN || isLocal(tracked.value()) || tracked.concernsFailure();
        return concerned && tracked.transmissions(range) < limits.get(range);
    }

    private static boolean isFailing(MemberRecord member) {
        MemberState state = MemberState.of(member);
        return state == MemberState.SUSPECT || state == MemberState.FAILED;
    }

    private boolean isLocal(MemberRecord member) {
        MemberRecord own = self();
        return Objects.equals(own.getDomain(), member.getDomain())
                && Objects.equals(own.getRegion(), member.getRegion());
    }

    /**
     * Returns a checksum over a record's id, process, incarnation and state.
     *
     * @param member the record
     * @return the checksum
     */
    private static long checksum(MemberRecord member) {
        long hash = member.getId().hashCode();
        hash = hash * 0x9E3779B97F4A7C15L + member.getBoot();
        hash = hash * 0x9E3779B97F4A7C15L + member.getIncarnation();
        hash = hash * 0x9E3779B97F4A7C15L + member.getState().ordinal();
        return hash ^ hash >>> 29;
    }

    /**
     * Copies a record.
     *
     * @param from the record
     * @return the copy
     */
    private static MemberRecord copy(MemberRecord from) {
        return new MemberRecord()
                .withId(from.getId())
                .withBoot(from.getBoot())
                .withIncarnation(from.getIncarnation())
                .withState(from.getState())
                .withHost(from.getHost())
                .withGatePort(from.getGatePort())
                .withFramePort(from.getFramePort())
                .withRegion(from.getRegion())
                .withDomain(from.getDomain())
                .withService(from.getService())
                .withSlots(from.getSlots())
                .withServing(from.isServing())
                .withSince(from.getSince())
                .withDepartures(List.copyOf(from.getDepartures()));
    }
}
