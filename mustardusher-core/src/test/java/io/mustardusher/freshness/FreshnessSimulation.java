package io.mustardusher.freshness;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.mustardusher.time.Clock;

/**
 * Members, a table service and callers in simulated time, without a network. Version {@code v} of the configuration
 * has all keys with numbers from {@code v}, so that each version revokes one key. The seed chooses the faults.
 */
final class FreshnessSimulation {

    static final int BOUND_MILLIS = 5_000;

    private static final int DURATION_MILLIS = 16_000;
    private static final int TICK_MILLIS = 250;

    /** Longest time for which the wall clock of the machine of a member is set back or forward, in milliseconds. */
    private static final int MAX_STEP_MILLIS = 8_000;

    /** Wall-clock time at the start of a history, in milliseconds. */
    private static final long START = Clock.Manual.START_EPOCH_MILLIS;

    private static final FreshnessLimits LIMITS = FreshnessLimits.of(BOUND_MILLIS * Clock.NANOS_PER_MILLI);

    private final Random random;
    private final Mutation mutation;
    private final boolean faults;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Member> members = new ArrayList<>();

    /** Links between members that carry nothing, by sender and receiver. */
    private final boolean[][] cut;

    /** Time at which the table service confirmed a version, by its number, in milliseconds. */
    private final List<Long> confirmed = new ArrayList<>(List.of(0L, 0L));

    /** Share of the requests to the table service that are lost, or whose answers are, in percent. */
    private int storeLossPercent;

    /** Share of messages that take seconds, in percent. */
    private int latePercent;

    private long now;
    private long sequence;
    private String violation = "";
    private int acceptedCalls;
    private int staleCalls;
    private int storeReads;

    FreshnessSimulation(long seed, Mutation mutation, boolean faults) {
        this(seed, mutation, faults, 2 + (int) (seed % 4));
    }

    FreshnessSimulation(long seed, Mutation mutation, boolean faults, int count) {
        this.random = new Random(seed * 0x9e3779b97f4a7c15L);
        this.mutation = mutation;
        this.faults = faults;
        cut = new boolean[count][count];
        for (int i = 0; i < count; i++) {
            members.add(new Member(i));
        }
    }

    static Optional<String> violationOf(long seed, Mutation mutation) {
        String found = new FreshnessSimulation(seed, mutation, true).run();
        return found.isEmpty() ? Optional.empty() : Optional.of("seed " + seed + ": " + found);
    }

    /** Runs the history and returns the first violation, or an empty text. */
    String run() {
        members.forEach(Member::start);
        int revocations = 1 + random.nextInt(3);
        for (int i = 0; i < revocations; i++) {
            long time = random.nextInt(DURATION_MILLIS);
            at(time, this::revoke);
            if (random.nextInt(3) == 0) {
                at(time + random.nextInt(400), this::revoke);
            }
        }
        if (faults) {
            latePercent = random.nextInt(3) * 5;
            int count = 1 + random.nextInt(10);
            for (int i = 0; i < count; i++) {
                at(random.nextInt(DURATION_MILLIS), this::fault);
            }
        }
        for (long time = 1_000; time < DURATION_MILLIS; time += 100 + random.nextInt(200)) {
            at(time, this::call);
        }
        while (violation.isEmpty() && !events.isEmpty() && events.peek().time <= DURATION_MILLIS) {
            Event next = events.remove();
            now = next.time;
            next.action.run();
        }
        return violation;
    }

    int acceptedCalls() {
        return acceptedCalls;
    }

    int staleCalls() {
        return staleCalls;
    }

    int storeReads() {
        return storeReads;
    }

    private void revoke() {
        confirmed.add(now);
        long version = newest();
        for (Member member : members) {
            // The watch of the table service.
            if (!member.rejectedByStore && random.nextInt(3) > 0) {
                member.receiveAfter(20 + random.nextInt(300), () -> member.offer(version));
            }
        }
    }

    private long newest() {
        return confirmed.size() - 1;
    }

    private void call() {
        Member member = members.get(random.nextInt(members.size()));
        long sent = now;
        // Mostly a key at whose revocation a check matters.
        long key = Math.max(1, newest() - random.nextInt(3));
        member.receiveAfter(random.nextInt(20), () -> check(member, key, sent));
    }

    private void check(Member member, long key, long sent) {
        boolean known = key >= member.version && member.version > 0;
        boolean covered = member.lease.covers(member.version);
        if (!covered) {
            staleCalls++;
        }
        if (!covered || !known) {
            return;
        }
        acceptedCalls++;
        boolean revoked = key < newest();
        if (revoked && sent > confirmed.get((int) key + 1) + BOUND_MILLIS) {
            violation = "at " + now + " ms, member " + member.index + " with version " + member.version
                    + " accepts key " + key + ", revoked at " + confirmed.get((int) key + 1) + ", sent at " + sent;
        }
    }

    private void fault() {
        Member member = members.get(random.nextInt(members.size()));
        int other = random.nextInt(members.size());
        long duration = 100 + random.nextInt(9_000);
        switch (random.nextInt(9)) {
            case 0 -> cutLinks(List.of(new int[] {member.index, other}, new int[] {other, member.index}), duration);
            case 1 -> cutLinks(List.<int[]>of(new int[] {member.index, other}), duration);
            case 2 -> isolate(member, duration);
            case 3 -> member.pause(duration, false);
            case 4 -> member.pause(duration, true);
            case 5 -> member.restart();
            case 6 -> member.stepClock(random.nextInt(2 * MAX_STEP_MILLIS) - MAX_STEP_MILLIS);
            case 7 -> {
                storeLossPercent = 20 + random.nextInt(81);
                at(now + duration, () -> storeLossPercent = 0);
            }
            default -> member.reject(duration);
        }
    }

    private void isolate(Member member, long duration) {
        List<int[]> links = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            links.add(new int[] {member.index, i});
            links.add(new int[] {i, member.index});
        }
        cutLinks(links, duration);
        member.reject(duration);
    }

    private void cutLinks(List<int[]> links, long duration) {
        links.forEach(link -> cut[link[0]][link[1]] = true);
        at(now + duration, () -> links.forEach(link -> cut[link[0]][link[1]] = false));
    }

    private long delay() {
        return random.nextInt(100) < latePercent ? 200 + random.nextInt(6_000) : 1 + random.nextInt(40);
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, sequence++, action));
    }

    /**
     * Something that happens.
     *
     * @param time     time, in milliseconds
     * @param sequence order of the events of one time
     * @param action   what happens
     */
    private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int order = Long.compare(time, other.time);
            return order == 0 ? Long.compare(sequence, other.sequence) : order;
        }
    }

    /** A member with its clocks; a restart replaces all of its state. */
    private final class Member implements FreshnessCluster, Clock {

        private final int index;
        private long wallOffset = random.nextInt(100_000);
        private long suspendedMillis;
        private long suspendedSince = -1;
        private long pausedUntil;
        private boolean rejectedByStore;
        private int starts;
        private long version;
        private ElapsedTime time;
        private FreshnessLease lease;
        private FreshnessRenewal renewal;

        Member(int index) {
            this.index = index;
        }

        void start() {
            starts++;
            version = 0;
            time = new ElapsedTime(mutation.clock(this));
            lease = mutation.lease(time, LIMITS);
            renewal = new FreshnessRenewal(lease, time, LIMITS, this, random);
            long first = newest();
            receiveAfter(delay(), () -> offer(first));
            tickAfter(random.nextInt(TICK_MILLIS));
        }

        void restart() {
            if (pausedUntil <= now) {
                start();
            }
        }

        // The time of a suspension is missing from the monotonic clock, that of a freeze is not.
        void pause(long duration, boolean suspended) {
            if (pausedUntil > now) {
                return;
            }
            pausedUntil = now + duration;
            if (suspended) {
                suspendedSince = now;
                at(pausedUntil, () -> {
                    suspendedMillis += now - suspendedSince;
                    suspendedSince = -1;
                });
            }
        }

        // A step back in the sampling interval of a suspension would hide it from any member, so a sample follows.
        void stepClock(long millis) {
            if (pausedUntil <= now) {
                wallOffset += millis;
                time.nanos();
            }
        }

        void reject(long duration) {
            rejectedByStore = true;
            at(now + duration, () -> rejectedByStore = false);
        }

        /** Runs an action of this start of the member when it is not paused. */
        void receiveAfter(long delay, Runnable action) {
            int start = starts;
            at(now + delay, () -> runWhenAwake(start, action));
        }

        void offer(long offered) {
            boolean decodable = !faults || (offered * 31 + index + members.size()) % 11 != 0;
            if (decodable) {
                version = Math.max(version, offered);
            }
        }

        private void runWhenAwake(int start, Runnable action) {
            if (start != starts) {
                return;
            }
            if (pausedUntil > now) {
                at(pausedUntil, () -> runWhenAwake(start, action));
            } else {
                action.run();
            }
        }

        private void tickAfter(long delay) {
            receiveAfter(delay, () -> {
                renewal.tick();
                tickAfter(TICK_MILLIS);
            });
        }

        @Override
        public long nanoTime() {
            return (now - suspendedMillis) * NANOS_PER_MILLI;
        }

        @Override
        public long epochMillis() {
            return START + now + wallOffset;
        }

        @Override
        public boolean hasKeys() {
            return true;
        }

        @Override
        public long version() {
            return version;
        }

        @Override
        public Members members() {
            List<String> near = new ArrayList<>();
            List<String> far = new ArrayList<>();
            for (Member member : FreshnessSimulation.this.members) {
                if (member != this) {
                    (member.index % 2 == index % 2 ? near : far).add(Integer.toString(member.index));
                }
            }
            return new Members(Integer.toString(index), near, far, near.size() + far.size() + 1);
        }

        @Override
        public CompletableFuture<Long> readNewestVersion() {
            storeReads++;
            CompletableFuture<Long> answer = new CompletableFuture<>();
            failAfter(answer, latePercent > 0 ? 8_000 : 1_000);
            if (!rejectedByStore && random.nextInt(100) >= storeLossPercent) {
                at(now + delay(), () -> {
                    long read = newest();
                    if (random.nextInt(100) >= storeLossPercent) {
                        receiveAfter(delay(), () -> {
                            offer(read);
                            answer.complete(read);
                        });
                    }
                });
            }
            return answer;
        }

        @Override
        public CompletableFuture<FreshnessStatement> ask(String id) {
            Member peer = FreshnessSimulation.this.members.get(Integer.parseInt(id));
            CompletableFuture<FreshnessStatement> answer = new CompletableFuture<>();
            failAfter(answer, random.nextInt(100) < latePercent ? 8_000 : 300);
            send(peer, () -> {
                FreshnessStatement statement = peer.renewal.answer();
                peer.send(this, () -> answer.complete(mutation.received(statement)));
            });
            return answer;
        }

        @Override
        public CompletableFuture<Void> fetch(String id, long fetched) {
            Member peer = FreshnessSimulation.this.members.get(Integer.parseInt(id));
            CompletableFuture<Void> done = new CompletableFuture<>();
            receiveAfter(1_000, () -> done.complete(null));
            send(peer, () -> {
                long found = peer.version;
                peer.send(this, () -> {
                    offer(found);
                    done.complete(null);
                });
            });
            return done;
        }

        @Override
        public void onChange(boolean acceptable) {
            // The check of each call shows it.
        }

        private void send(Member receiver, Runnable action) {
            if (!cut[index][receiver.index]) {
                receiver.receiveAfter(delay(), action);
            }
        }

        private void failAfter(CompletableFuture<?> answer, long millis) {
            receiveAfter(millis, () -> answer.completeExceptionally(new IllegalStateException("no answer")));
        }
    }
}
