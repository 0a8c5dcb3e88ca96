package io.mustardusher.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

import io.mustardusher.generated.MemberRecord;
import io.mustardusher.time.Clock;

/**
 * What one node knows of all nodes, after SWIM (Das, Gupta, Motivala, DSN 2002): records with incarnations, suspicion
 * before failure, refutation by the suspected, and a bounded number of updates in each message.
 *
 * <p>All methods hold the table's own lock and call nothing outside while they hold it.
 */
public final class MemberTable {

    /** Time that a suspected member has to refute, in milliseconds. */
    public static final long SUSPICION_MILLIS = 2_000L;

    /** Time after which a member that is gone is forgotten, in milliseconds. */
    public static final long FORGET_MILLIS = 600_000L;

    /** Transmissions of one update for each doubling of the number of members. */
    private static final int TRANSMISSIONS_PER_DOUBLING = 3;

    private final Clock clock;

    /** Source of random order. */
    private final Random random;

    /** Members by name, this node included. */
    private final Map<String, Tracked> members = new HashMap<>();

    /** Updates still to be spread. */
    private final List<Tracked> pending = new ArrayList<>();

    /** Names in the order in which they are asked. */
    private final List<String> rounds = new ArrayList<>();

    /** Name of this node. */
    private final String self;

    /** Sum over the checksums of all records. */
    private long digest;

    /** Changes of records so far. */
    private long version;

    /**
     * Creates a table that holds only its own node.
     *
     * @param self   record of this node
     * @param clock  source of time
     * @param random source of random order
     */
    public MemberTable(MemberRecord self, Clock clock, Random random) {
        this.self = self.getId();
        this.clock = clock;
        this.random = random;
        replace(self);
    }

    /**
     * Returns the record of this node.
     *
     * @return the record
     */
    public synchronized MemberRecord self() {
        return members.get(self).value;
    }

    /**
     * Changes the record of this node and raises its incarnation.
     *
     * @param change what changes, applied to a copy
     * @return the new record
     */
    public synchronized MemberRecord change(Consumer<MemberRecord> change) {
        MemberRecord next = copy(self());
        change.accept(next);
        next.setIncarnation(self().getIncarnation() + 1);
        replace(next);
        return next;
    }

    /**
     * Returns the records of all members, this node included and those gone too until they are forgotten.
     *
     * @return the records
     */
    public synchronized List<MemberRecord> members() {
        List<MemberRecord> all = new ArrayList<>(members.size());
        members.values().forEach(tracked -> all.add(tracked.value));
        return all;
    }

    /**
     * Finds a member.
     *
     * @param id its name
     * @return the record, or empty if it is not known
     */
    public synchronized Optional<MemberRecord> find(String id) {
        return Optional.ofNullable(members.get(id)).map(tracked -> tracked.value);
    }

    /**
     * Finds the address for frames of a process.
     *
     * @param id   name of the node
     * @param boot start of the process
     * @return the address, or empty if the process is not known as present
     */
    public Optional<InetSocketAddress> frameAddress(String id, long boot) {
        return find(id).filter(member -> member.getBoot() == boot)
                .filter(member -> MemberState.of(member).isPresent())
                .map(member -> new InetSocketAddress(member.getHost(), (int) member.getFramePort()));
    }

    /**
     * Returns a checksum over all records; tables with the same records have the same checksum.
     *
     * @return the checksum
     */
    public synchronized long digest() {
        return digest;
    }

    /**
     * Returns a number that rises with each change of a record.
     *
     * @return the number
     */
    public synchronized long version() {
        return version;
    }

    /**
     * Takes over records that are newer than those known. A record that calls this node suspect or failed is refuted
     * by a higher incarnation.
     *
     * @param records the records
     * @return the records that changed this table
     */
    public synchronized List<MemberRecord> merge(List<MemberRecord> records) {
        List<MemberRecord> changed = new ArrayList<>();
        for (MemberRecord incoming : records) {
            if (incoming.getId().equals(self)) {
                refute(incoming).ifPresent(changed::add);
            } else if (supersedes(incoming)) {
                replace(incoming);
                changed.add(incoming);
            }
        }
        return changed;
    }

    /**
     * Marks a member that did not answer.
     *
     * @param id its name
     * @return the changed record, or empty if the member was not alive
     */
    public synchronized Optional<MemberRecord> suspect(String id) {
        Tracked tracked = members.get(id);
        if (tracked == null || id.equals(self) || MemberState.of(tracked.value) != MemberState.ALIVE) {
            return Optional.empty();
        }
        return Optional.of(mark(tracked, MemberState.SUSPECT));
    }

    /**
     * Marks members whose suspicion was not refuted in time, or which stay away while leaving, and forgets those that
     * are long gone.
     *
     * @return the members that are now failed
     */
    public synchronized List<MemberRecord> expire() {
        long now = clock.nanoTime();
        List<MemberRecord> failed = new ArrayList<>();
        for (Tracked tracked : List.copyOf(members.values())) {
            long millis = (now - tracked.changedNanos) / Clock.NANOS_PER_MILLI;
            MemberState state = MemberState.of(tracked.value);
            if (state == MemberState.SUSPECT && millis >= SUSPICION_MILLIS) {
                failed.add(mark(tracked, MemberState.FAILED));
            } else if (!state.isPresent() && millis >= FORGET_MILLIS) {
                forget(tracked);
            }
        }
        return failed;
    }

    /**
     * Returns updates to spread, those spread least first.
     *
     * @param max most records to return
     * @return the records
     */
    public synchronized List<MemberRecord> nextUpdates(int max) {
        List<MemberRecord> updates = new ArrayList<>(Math.min(max, pending.size()));
        int limit = transmissions();
        pending.sort((a, b) -> Integer.compare(a.transmitted, b.transmitted));
        for (Tracked tracked : pending) {
            if (updates.size() == max) {
                break;
            }
            tracked.transmitted++;
            updates.add(tracked.value);
        }
        pending.removeIf(tracked -> tracked.transmitted >= limit);
        return updates;
    }

    /**
     * Returns a page of the whole table from a random place.
     *
     * @param max most records to return
     * @return the records
     */
    public synchronized List<MemberRecord> page(int max) {
        List<MemberRecord> all = members();
        Collections.rotate(all, all.isEmpty() ? 0 : random.nextInt(all.size()));
        return List.copyOf(all.subList(0, Math.min(max, all.size())));
    }

    /**
     * Returns the next member to ask; each present member comes once in a round of random order.
     *
     * @return the member, or empty if this node is alone
     */
    public synchronized Optional<MemberRecord> nextTarget() {
        while (true) {
            if (rounds.isEmpty() && !startRound()) {
                return Optional.empty();
            }
            Tracked tracked = members.get(rounds.remove(rounds.size() - 1));
            if (tracked != null && MemberState.of(tracked.value).isPresent()) {
                return Optional.of(tracked.value);
            }
        }
    }

    /**
     * Returns random present members.
     *
     * @param count  most members to return
     * @param except name of a member to leave out
     * @return the members
     */
    public synchronized List<MemberRecord> some(int count, String except) {
        List<MemberRecord> present = new ArrayList<>();
        for (Tracked tracked : members.values()) {
            String id = tracked.value.getId();
            boolean wanted = !id.equals(self) && !id.equals(except);
            if (wanted && MemberState.of(tracked.value).isPresent()) {
                present.add(tracked.value);
            }
        }
        Collections.shuffle(present, random);
        return present.subList(0, Math.min(count, present.size()));
    }

    /**
     * Returns a random member that failed and is not yet forgotten.
     *
     * @return the member, or empty if there is none
     */
    public synchronized Optional<MemberRecord> someFailed() {
        List<MemberRecord> failed = new ArrayList<>();
        for (Tracked tracked : members.values()) {
            if (MemberState.of(tracked.value) == MemberState.FAILED) {
                failed.add(tracked.value);
            }
        }
        return failed.isEmpty() ? Optional.empty() : Optional.of(failed.get(random.nextInt(failed.size())));
    }

    /**
     * Starts a round over the present members.
     *
     * @return {@code false} if there is no other member
     */
    private boolean startRound() {
        some(members.size(), self).forEach(member -> rounds.add(member.getId()));
        return !rounds.isEmpty();
    }

    /**
     * Answers a record about this node.
     *
     * @param incoming the record
     * @return the refuting record, or empty if there is nothing to refute
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
        replace(next);
        return Optional.of(next);
    }

    /**
     * Tells whether a record is newer than the one known.
     *
     * @param incoming the record
     * @return {@code true} if it is
     */
    private boolean supersedes(MemberRecord incoming) {
        Tracked tracked = members.get(incoming.getId());
        if (tracked == null) {
            return MemberState.of(incoming).isPresent();
        }
        MemberRecord known = tracked.value;
        if (incoming.getBoot() != known.getBoot()) {
            return incoming.getBoot() > known.getBoot();
        }
        if (incoming.getIncarnation() != known.getIncarnation()) {
            return incoming.getIncarnation() > known.getIncarnation();
        }
        return MemberState.of(incoming).compareTo(MemberState.of(known)) > 0;
    }

    /**
     * Gives a member a new state within its incarnation.
     *
     * @param tracked the member
     * @param state   the state
     * @return the new record
     */
    private MemberRecord mark(Tracked tracked, MemberState state) {
        MemberRecord next = copy(tracked.value);
        next.setState(state.token());
        replace(next);
        return next;
    }

    /**
     * Stores a record and queues it for spreading.
     *
     * @param value the record
     */
    private void replace(MemberRecord value) {
        Tracked fresh = new Tracked(value, clock.nanoTime());
        Tracked before = members.put(value.getId(), fresh);
        if (before != null) {
            digest -= checksum(before.value);
            pending.remove(before);
        }
        digest += checksum(value);
        version++;
        pending.add(fresh);
    }

    /**
     * Removes a member.
     *
     * @param tracked the member
     */
    private void forget(Tracked tracked) {
        members.remove(tracked.value.getId());
        pending.remove(tracked);
        digest -= checksum(tracked.value);
        version++;
    }

    /**
     * Returns how often an update is sent.
     *
     * @return number of transmissions
     */
    private int transmissions() {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(members.size());
        return TRANSMISSIONS_PER_DOUBLING * doublings;
    }

    /**
     * Returns the checksum of a record.
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
                .withSince(from.getSince());
    }

    /** A record and how far it was spread. */
    private static final class Tracked {

        private final MemberRecord value;

        /** Time of the record's arrival, in nanoseconds. */
        private final long changedNanos;

        /** How often the record was sent. */
        private int transmitted;

        /**
         * Creates a tracked record.
         *
         * @param value        the record
         * @param changedNanos time of its arrival, in nanoseconds
         */
        Tracked(MemberRecord value, long changedNanos) {
            this.value = value;
            this.changedNanos = changedNanos;
        }
    }
}
