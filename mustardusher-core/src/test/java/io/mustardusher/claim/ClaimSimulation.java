package io.mustardusher.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import io.mustardusher.generated.WitnessReply;
import io.mustardusher.generated.WitnessRequest;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;

/**
 * One seeded history of the claim protocol: the real ledgers over a network that loses, doubles and delays messages, with
 * crashes, restarts, pauses, partitions, a store that loses answers and applies writes late, and callers that send keys
 * again through stale views. In every fourth history nothing fails, but two keepers write late and two join late.
 */
final class ClaimSimulation {

    private static final String SERVICE = "ledger";
    private static final String[] DOMAINS = {"a", "b", "c"};
    private static final int NODES = 4;
    private static final int KEYS = 4;
    private static final long LENGTH_MILLIS = 26_000;
    private static final long RETENTION_MILLIS = 600_000;
    private static final long TICK_MILLIS = 700;

    private static final boolean TRACE = Boolean.getBoolean("claim.trace");

    private final Random random;
    private final Mutation mutation;
    private final boolean lateJoins;
    private final Clock.Manual clock = new Clock.Manual();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Process> processes = new ArrayList<>();
    private final List<ClaimGroup> published = new ArrayList<>();
    private final Map<String, Integer> executions = new HashMap<>();
    private final Set<Integer> island = new HashSet<>();
    private long sequence;
    private long nowMillis;
    private ClaimGroup row;
    private long rowVersion;
    private boolean storeDown;
    private String fault = "";

    ClaimSimulation(long seed, Mutation mutation) {
        this.random = new Random(seed);
        this.mutation = mutation;
        this.lateJoins = seed % 4 == 0;
    }

    /** Runs the history and returns what went wrong, or an empty text. */
    String run() {
        for (int i = 0; i < NODES; i++) {
            processes.add(new Process(i));
            processes.get(i).start(lateJoins && i > 1 ? 4_000 + random.nextInt(2_000) : random.nextInt(400));
        }
        if (!lateJoins) {
            planFaults();
        }
        planCalls();
        while (!events.isEmpty() && fault.isEmpty()) {
            Event event = events.poll();
            if (event.atMillis > LENGTH_MILLIS) {
                break;
            }
            clock.advanceMillis(event.atMillis - nowMillis);
            nowMillis = event.atMillis;
            event.task.run();
        }
        return fault;
    }

    int executions() {
        return executions.values().stream().mapToInt(Integer::intValue).sum();
    }

    private void planFaults() {
        int faults = 2 + random.nextInt(4);
        for (int i = 0; i < faults; i++) {
            long at = 3_000 + random.nextInt(15_000);
            Process victim = processes.get(random.nextInt(NODES));
            switch (random.nextInt(5)) {
                case 0 -> at(at, victim::crash);
                case 1 -> {
                    at(at, victim::crash);
                    at(at + 200 + random.nextInt(4_000), () -> victim.start(0));
                }
                case 2 -> {
                    at(at, () -> victim.paused = true);
                    at(at + 500 + random.nextInt(9_000), victim::resume);
                }
                case 3 -> {
                    int other = random.nextInt(NODES);
                    at(at, () -> island.addAll(List.of(victim.index, other)));
                    at(at + 1_000 + random.nextInt(9_000), island::clear);
                }
                default -> {
                    at(at, () -> storeDown = true);
                    at(at + 500 + random.nextInt(6_000), () -> storeDown = false);
                }
            }
        }
    }

    private void planCalls() {
        for (int i = 0; i < KEYS; i++) {
            long first = (lateJoins ? 14_000 : 2_000) + random.nextInt(lateJoins ? 6_000 : 18_000);
            int skew = random.nextInt(2_000) - 1_000;
            String[] made = new String[1];
            int sends = 2 + random.nextInt(4);
            long at = first;
            for (int send = 0; send < sends; send++) {
                at(at, () -> {
                    if (made[0] == null) {
                        made[0] = key(skew);
                    }
                    callerSends(new IdempotencyKey(made[0]));
                });
                at += random.nextInt(4) == 0 ? random.nextInt(50) : random.nextInt(7_000);
            }
        }
    }

    private String key(int skewMillis) {
        Clock skewed = new Offset(skewMillis);
        return IdempotencyKey.make(skewed, random).value();
    }

    private void callerSends(IdempotencyKey key) {
        if (published.isEmpty()) {
            return;
        }
        int age = random.nextInt(lateJoins ? published.size() : 3);
        ClaimGroup view = published.get(Math.max(0, published.size() - 1 - age));
        Keeper home = view.current().pair(key).home();
        int via = random.nextInt(NODES);
        for (Process process : processes) {
            if (process.self != null && process.self.equals(home)) {
                message(via, process.index, () -> process.call(key));
            }
        }
    }

    private void trace(Object... words) {
        if (TRACE) {
            System.out.println(nowMillis + " " + java.util.Arrays.toString(words));
        }
    }

    /** Delivers a message perhaps never, perhaps twice, perhaps late. */
    private void message(int from, int to, Runnable task) {
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (!lateJoins && random.nextInt(12) == 0) {
                continue;
            }
            long delay = !lateJoins && random.nextInt(15) == 0 ? random.nextInt(6_000) : 1 + random.nextInt(20);
            at(nowMillis + delay, () -> {
                boolean cut = island.contains(from) != island.contains(to);
                if (!cut) {
                    processes.get(to).receive(task);
                }
            });
        }
    }

    private void at(long millis, Runnable task) {
        events.add(new Event(millis, sequence++, task));
    }

    private void read(Process reader, Consumer<Read> then) {
        long asked = reader.clock.nanoTime();
        int boot = reader.boots;
        at(nowMillis + 1 + random.nextInt(30), () -> {
            boolean lost = storeDown || random.nextInt(25) == 0 || island.contains(reader.index);
            Read seen = lost ? null : new Read(row, rowVersion, asked);
            at(nowMillis + 1 + random.nextInt(30), () -> reader.receive(boot, () -> then.accept(seen)));
        });
    }

    private void commit(Process writer, ClaimGroup next, long expected, Runnable then) {
        int boot = writer.boots;
        boolean late = lateJoins ? nowMillis > 3_500 && writer.index < 2 : random.nextInt(8) == 0;
        long delay = late ? 400 + random.nextInt(5_000) : 1 + random.nextInt(30);
        boolean lost = random.nextInt(20) == 0;
        at(nowMillis + delay, () -> {
            if (!storeDown && !lost && rowVersion == expected) {
                row = next;
                rowVersion++;
                published.add(next);
                trace(writer.self.process(), "commits", next.current());
            }
        });
        long answer = late ? 300 : delay + 1 + random.nextInt(30);
        at(nowMillis + answer, () -> writer.receive(boot, then));
    }

    private void execute(IdempotencyKey key) {
        trace("runs", key);
        int count = executions.merge(key.value(), 1, Integer::sum);
        if (count > 1) {
            fault = "key " + key + " ran " + count + " times at " + nowMillis + " ms";
        }
    }

    /** One node and its present process. */
    private final class Process {

        private final int index;
        private final Clock clock;
        private final List<Runnable> held = new ArrayList<>();
        private Keeper self;
        private KeyLedger<String> ledger;
        private boolean alive;
        private boolean paused;
        private boolean changing;
        private int boots;

        Process(int index) {
            this.index = index;
            this.clock = new Offset(random.nextInt(2_000) - 1_000);
        }

        void start(long delay) {
            if (alive) {
                return;
            }
            alive = true;
            paused = false;
            changing = false;
            held.clear();
            boots++;
            self = new Keeper("node-" + index, boots, DOMAINS[index % DOMAINS.length]);
            ledger = new KeyLedger<>(self, clock, RETENTION_MILLIS, String::length);
            int boot = boots;
            at(nowMillis + delay + 1, () -> tick(boot));
        }

        void crash() {
            trace("crash", index);
            alive = false;
            held.clear();
        }

        void resume() {
            paused = false;
            List<Runnable> due = List.copyOf(held);
            held.clear();
            due.forEach(Runnable::run);
        }

        void receive(Runnable task) {
            receive(boots, task);
        }

        void receive(int boot, Runnable task) {
            if (!alive || boot != boots) {
                return;
            }
            if (paused) {
                held.add(() -> receive(boot, task));
            } else {
                task.run();
            }
        }

        private void tick(int boot) {
            if (!alive || boot != boots) {
                return;
            }
            at(nowMillis + TICK_MILLIS, () -> receive(boot, () -> tick(boot)));
            if (changing) {
                return;
            }
            boolean member = ledger.group().map(group -> group.contains(self)).orElse(false);
            if (member) {
                confirm(ledger.group().get());
            } else {
                changing = true;
                read(this, seen -> {
                    adopt(seen);
                    changing = false;
                    if (seen != null) {
                        join(seen);
                    }
                });
            }
        }

        private void confirm(ClaimGroup group) {
            long asked = clock.nanoTime();
            long epoch = group.current().number();
            if (mutation == Mutation.IGNORE_AUTHORITY) {
                ledger.confirmedByAll(epoch, asked);
            }
            Set<String> confirmed = new HashSet<>();
            int others = group.current().keepers().size() - 1;
            for (Process other : processes) {
                if (other == this || other.self == null || !group.contains(other.self)) {
                    continue;
                }
                message(index, other.index, () -> {
                    boolean yes = other.ledger.confirm(epoch).isConfirmed();
                    String name = other.self.process();
                    message(other.index, index, () -> {
                        boolean all = yes && confirmed.add(name) && confirmed.size() == others;
                        if (all) {
                            ledger.confirmedByAll(epoch, asked);
                        }
                    });
                });
            }
            int boot = boots;
            at(
                    nowMillis + 400,
                    () -> receive(boot, () -> {
                        if (confirmed.size() < others) {
                            read(this, seen -> {
                                adopt(seen);
                                removeGone(seen);
                            });
                        }
                    }));
        }

        private void adopt(Read seen) {
            if (seen != null && seen.group != null) {
                trace(self.process(), "adopts", seen.group.current().number(), seen.version);
                ledger.adopt(seen.group, seen.version, seen.askedNanos);
            }
        }

        private void join(Read seen) {
            if (seen.group == null) {
                write(ClaimGroup.first(SERVICE, self), seen.version);
                return;
            }
            if (seen.group.contains(self)) {
                return;
            }
            boolean replacesSelf = seen.group.current().keepers().stream()
                    .anyMatch(keeper -> keeper.id().equals(self.id()) || hasEnded(keeper));
            if (replacesSelf) {
                write(seen.group.withKeeper(self), seen.version);
                return;
            }
            List<Keeper> keepers = seen.group.current().keepers();
            Keeper asked = keepers.get(random.nextInt(keepers.size()));
            Keeper newcomer = self;
            for (Process other : processes) {
                if (asked.equals(other.self)) {
                    message(index, other.index, () -> other.admit(newcomer));
                }
            }
        }

        private boolean hasEnded(Keeper keeper) {
            return processes.stream()
                    .anyMatch(other -> other.self != null
                            && other.self.id().equals(keeper.id())
                            && other.self.boot() > keeper.boot());
        }

        private void admit(Keeper newcomer) {
            read(this, seen -> {
                adopt(seen);
                boolean possible = seen != null && seen.group != null && seen.group.contains(self);
                if (possible && !seen.group.contains(newcomer)) {
                    write(seen.group.withKeeper(newcomer), seen.version);
                }
            });
        }

        private void removeGone(Read seen) {
            if (seen == null || seen.group == null || !seen.group.contains(self) || random.nextInt(3) > 0) {
                return;
            }
            List<Keeper> gone = seen.group.current().keepers().stream()
                    .filter(keeper -> !keeper.equals(self))
                    .filter(this::seemsGone)
                    .toList();
            if (!gone.isEmpty()) {
                write(seen.group.withoutKeepers(gone), seen.version);
            }
        }

        private boolean seemsGone(Keeper keeper) {
            for (Process other : processes) {
                if (keeper.equals(other.self)) {
                    boolean cut = island.contains(index) != island.contains(other.index);
                    return !other.alive || other.paused || cut;
                }
            }
            return true;
        }

        private void write(ClaimGroup next, long version) {
            if (mutation != Mutation.SKIP_FREEZE) {
                ledger.freeze(version);
            }
            commit(this, next, version, () -> read(this, this::adopt));
        }

        void call(IdempotencyKey key) {
            Begin<String> begin = ledger.begin(key, 1);
            trace(self.process(), "begins", key, begin.step(), begin.code(), begin.attempt(), begin.keeper());
            switch (begin.step()) {
                case REFUSE -> answered(key, begin.code());
                case JOIN -> begin.answer().thenAccept(end -> answered(key, end.code()));
                case ASK_WITNESS -> ask(key, begin);
                default -> {
                    // the caller sends again
                }
            }
        }

        private void ask(IdempotencyKey key, Begin<String> begin) {
            if (mutation == Mutation.SKIP_WITNESS) {
                replied(
                        key,
                        begin,
                        new WitnessReply()
                                .withVerdict(WitnessReply.Verdict.RECORDED)
                                .withCoveredSince(Long.MAX_VALUE));
                return;
            }
            for (Process other : processes) {
                if (begin.keeper().equals(other.self)) {
                    message(index, other.index, () -> {
                        WitnessReply reply = other.ledger.witness(begin.request());
                        trace(other.self.process(), "witnesses", key, begin.attempt(), reply.getVerdict());
                        message(other.index, index, () -> replied(key, begin, reply));
                    });
                }
            }
            int boot = boots;
            at(nowMillis + 400, () -> receive(boot, () -> replied(key, begin, null)));
        }

        private void replied(IdempotencyKey key, Begin<String> begin, WitnessReply reply) {
            if (mutation == Mutation.SKIP_TIME_CHECK && reply != null) {
                reply.setCoveredSince(Long.MIN_VALUE);
            }
            Decision decision = ledger.witnessReplied(key, begin.attempt(), reply);
            trace(self.process(), "witness said", key, reply == null ? null : reply.getVerdict(), decision);
            decision.release().ifPresent(release -> sendRelease(begin.keeper(), release));
            if (decision.dispatch()) {
                begin.answer().thenAccept(end -> answered(key, end.code()));
                dispatch(key, begin, 1);
            }
        }

        private void sendRelease(Keeper witness, WitnessRequest release) {
            for (Process other : processes) {
                if (witness.equals(other.self)) {
                    message(index, other.index, () -> {
                        if (mutation == Mutation.FORGET_ON_RELEASE_WITHOUT_ATTEMPT) {
                            for (long attempt = 0; attempt < 20; attempt++) {
                                other.ledger.witness(release.withAttempt(attempt));
                            }
                        } else {
                            other.ledger.witness(release);
                        }
                    });
                }
            }
        }

        private void dispatch(IdempotencyKey key, Begin<String> begin, int number) {
            int boot = boots;
            int fate = random.nextInt(4);
            at(
                    nowMillis + 1 + random.nextInt(400),
                    () -> receive(boot, () -> {
                        if (fate == 0) {
                            ended(key, begin, ResultCode.OVERLOADED);
                            return;
                        }
                        execute(key);
                        if (fate == 1 && mutation == Mutation.RESEND_AFTER_DISPATCH && number == 1) {
                            dispatch(key, begin, 2);
                            return;
                        }
                        ended(key, begin, fate == 1 ? ResultCode.CONNECTION_LOST : ResultCode.OK);
                    }));
        }

        private void ended(IdempotencyKey key, Begin<String> begin, ResultCode code) {
            trace(self.process(), "ends", key, begin.attempt(), code);
            ledger.end(key, begin.attempt(), new KeyedAnswer<>(code, "answer"))
                    .ifPresent(release -> sendRelease(begin.keeper(), release));
        }

        private void answered(IdempotencyKey key, ResultCode code) {
            boolean told = code.outcome() == Outcome.NOT_RUN;
            if (told && executions.getOrDefault(key.value(), 0) > 0) {
                fault = "key " + key + " ran and was told " + code;
            }
        }
    }

    private record Read(ClaimGroup group, long version, long askedNanos) {}

    private record Event(long atMillis, long order, Runnable task) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A wall clock that differs from the others. */
    private final class Offset implements Clock {

        private final long millis;

        Offset(long millis) {
            this.millis = millis;
        }

        @Override
        public long nanoTime() {
            return clock.nanoTime();
        }

        @Override
        public long epochMillis() {
            return clock.epochMillis() + millis;
        }
    }
}
