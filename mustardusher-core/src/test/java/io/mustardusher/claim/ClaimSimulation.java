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
 * Simulates one history of the claim protocol, determined by a seed. The ledgers are real; the network loses, duplicates
 * and delays messages; nodes crash, restart, pause and are partitioned; the store loses responses and applies writes
 * late; callers resend keys based on outdated groups. If the seed is a multiple of four, nodes do not fail and messages
 * are neither lost nor held back, but two keepers write late and two join late.
 */
final class ClaimSimulation {

    private static final String SERVICE = "ledger";
    private static final String[] DOMAINS = {"a", "b", "c"};
    private static final int NODES = 4;
    private static final int KEYS = 4;
    private static final long DURATION_MILLIS = 26_000;
    private static final long RETENTION_MILLIS = 600_000;
    private static final long TICK_MILLIS = 700;

    private static final boolean TRACE = Boolean.getBoolean("claim.trace");

    private final Random random;
    private final Mutation mutation;
    private final boolean lateJoins;
    private final Clock.Manual clock = new Clock.Manual();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<ClaimGroup> committedGroups = new ArrayList<>();
    private final Map<String, Integer> executions = new HashMap<>();
    private final Set<Integer> isolated = new HashSet<>();
    private long sequence;
    private long nowMillis;
    private ClaimGroup row;
    private long rowVersion;
    private boolean storeDown;
    private String violation = "";

    ClaimSimulation(long seed, Mutation mutation) {
        this.random = new Random(seed);
        this.mutation = mutation;
        this.lateJoins = seed % 4 == 0;
    }

    /** Runs the history and returns the first violation, or an empty text if there is none. */
    String run() {
        for (int i = 0; i < NODES; i++) {
            nodes.add(new SimulatedNode(i));
            nodes.get(i).start(lateJoins && i > 1 ? 4_000 + random.nextInt(2_000) : random.nextInt(400));
        }
        if (!lateJoins) {
            planFaults();
        }
        planCalls();
        while (!events.isEmpty() && violation.isEmpty()) {
            Event event = events.poll();
            if (event.atMillis > DURATION_MILLIS) {
                break;
            }
            clock.advanceMillis(event.atMillis - nowMillis);
            nowMillis = event.atMillis;
            event.task.run();
        }
        return violation;
    }

    int executions() {
        return executions.values().stream().mapToInt(Integer::intValue).sum();
    }

    private void planFaults() {
        int faults = 2 + random.nextInt(4);
        for (int i = 0; i < faults; i++) {
            long at = 3_000 + random.nextInt(15_000);
            SimulatedNode victim = nodes.get(random.nextInt(NODES));
            switch (random.nextInt(5)) {
                case 0 -> schedule(at, victim::crash);
                case 1 -> {
                    schedule(at, victim::crash);
                    schedule(at + 200 + random.nextInt(4_000), () -> victim.start(0));
                }
                case 2 -> {
                    schedule(at, () -> victim.paused = true);
                    schedule(at + 500 + random.nextInt(9_000), victim::resume);
                }
                case 3 -> {
                    int other = random.nextInt(NODES);
                    schedule(at, () -> isolated.addAll(List.of(victim.index, other)));
                    schedule(at + 1_000 + random.nextInt(9_000), isolated::clear);
                }
                default -> {
                    schedule(at, () -> storeDown = true);
                    schedule(at + 500 + random.nextInt(6_000), () -> storeDown = false);
                }
            }
        }
    }

    private void planCalls() {
        for (int i = 0; i < KEYS; i++) {
            long first = (lateJoins ? 14_000 : 2_000) + random.nextInt(lateJoins ? 6_000 : 18_000);
            int skew = random.nextInt(2_000) - 1_000;
            String[] generated = new String[1];
            int sends = 2 + random.nextInt(4);
            long at = first;
            for (int send = 0; send < sends; send++) {
                schedule(at, () -> {
                    if (generated[0] == null) {
                        generated[0] = generateKey(skew);
                    }
                    sendCall(new IdempotencyKey(generated[0]));
                });
                at += random.nextInt(4) == 0 ? random.nextInt(50) : random.nextInt(7_000);
            }
        }
    }

    private String generateKey(int skewMillis) {
        Clock skewed = new SkewedClock(skewMillis);
        return IdempotencyKey.generate(skewed, random).value();
    }

    private void sendCall(IdempotencyKey key) {
        if (committedGroups.isEmpty()) {
            return;
        }
        int age = random.nextInt(lateJoins ? committedGroups.size() : 3);
        ClaimGroup view = committedGroups.get(Math.max(0, committedGroups.size() - 1 - age));
        Keeper home = view.current().pairFor(key).home();
        int sender = random.nextInt(NODES);
        for (SimulatedNode node : nodes) {
            if (node.self != null && node.self.equals(home)) {
                sendMessage(sender, node.index, () -> node.call(key));
            }
        }
    }

    private void trace(Object... values) {
        if (TRACE) {
            System.out.println(nowMillis + " " + java.util.Arrays.toString(values));
        }
    }

    /** Sends a message that may be lost, duplicated, delayed or cut off by a partition. */
    private void sendMessage(int from, int to, Runnable task) {
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (!lateJoins && random.nextInt(12) == 0) {
                continue;
            }
            long delay = !lateJoins && random.nextInt(15) == 0 ? random.nextInt(6_000) : 1 + random.nextInt(20);
            schedule(nowMillis + delay, () -> {
                boolean partitioned = isolated.contains(from) != isolated.contains(to);
                if (!partitioned) {
                    nodes.get(to).receive(task);
                }
            });
        }
    }

    private void schedule(long millis, Runnable task) {
        events.add(new Event(millis, sequence++, task));
    }

    private void readRow(SimulatedNode reader, Consumer<ReadResult> then) {
        long requestedNanos = reader.clock.nanoTime();
        int boot = reader.boots;
        schedule(nowMillis + 1 + random.nextInt(30), () -> {
            boolean lost = storeDown || random.nextInt(25) == 0 || isolated.contains(reader.index);
            ReadResult read = lost ? null : new ReadResult(row, rowVersion, requestedNanos);
            schedule(nowMillis + 1 + random.nextInt(30), () -> reader.receive(boot, () -> then.accept(read)));
        });
    }

    private void writeRow(SimulatedNode writer, ClaimGroup next, long expected, Runnable then) {
        int boot = writer.boots;
        boolean late = lateJoins ? nowMillis > 3_500 && writer.index < 2 : random.nextInt(8) == 0;
        long delay = late ? 400 + random.nextInt(5_000) : 1 + random.nextInt(30);
        boolean lost = random.nextInt(20) == 0;
        schedule(nowMillis + delay, () -> {
            if (!storeDown && !lost && rowVersion == expected) {
                row = next;
                rowVersion++;
                committedGroups.add(next);
                trace(writer.self.processName(), "commits", next.current());
            }
        });
        long answer = late ? 300 : delay + 1 + random.nextInt(30);
        schedule(nowMillis + answer, () -> writer.receive(boot, then));
    }

    private void execute(IdempotencyKey key) {
        trace("runs", key);
        int count = executions.merge(key.value(), 1, Integer::sum);
        if (count > 1) {
            violation = "key " + key + " ran " + count + " times at " + nowMillis + " ms";
        }
    }

    /** A node with its current process. */
    private final class SimulatedNode {

        private final int index;
        private final Clock clock;
        private final List<Runnable> deferred = new ArrayList<>();
        private Keeper self;
        private KeyLedger<String> ledger;
        private boolean alive;
        private boolean paused;
        private boolean updatingGroup;
        private int boots;

        SimulatedNode(int index) {
            this.index = index;
            this.clock = new SkewedClock(random.nextInt(2_000) - 1_000);
        }

        void start(long delay) {
            if (alive) {
                return;
            }
            alive = true;
            paused = false;
            updatingGroup = false;
            deferred.clear();
            boots++;
            self = new Keeper("node-" + index, boots, DOMAINS[index % DOMAINS.length]);
            ledger = new KeyLedger<>(self, clock, RETENTION_MILLIS, String::length);
            int boot = boots;
            schedule(nowMillis + delay + 1, () -> tick(boot));
        }

        void crash() {
            trace("crash", index);
            alive = false;
            deferred.clear();
        }

        void resume() {
            paused = false;
            List<Runnable> tasks = List.copyOf(deferred);
            deferred.clear();
            tasks.forEach(Runnable::run);
        }

        void receive(Runnable task) {
            receive(boots, task);
        }

        void receive(int boot, Runnable task) {
            if (!alive || boot != boots) {
                return;
            }
            if (paused) {
                deferred.add(() -> receive(boot, task));
            } else {
                task.run();
            }
        }

        private void tick(int boot) {
            if (!alive || boot != boots) {
                return;
            }
            schedule(nowMillis + TICK_MILLIS, () -> receive(boot, () -> tick(boot)));
            if (updatingGroup) {
                return;
            }
            boolean member = ledger.group().map(group -> group.contains(self)).orElse(false);
            if (member) {
                confirm(ledger.group().get());
            } else {
                updatingGroup = true;
                readRow(this, read -> {
                    applyGroup(read);
                    updatingGroup = false;
                    if (read != null) {
                        join(read);
                    }
                });
            }
        }

        private void confirm(ClaimGroup group) {
            long requestedNanos = clock.nanoTime();
            long epoch = group.current().number();
            if (mutation == Mutation.IGNORE_LEASE) {
                ledger.renewLease(epoch, requestedNanos);
            }
            Set<String> confirmedBy = new HashSet<>();
            int others = group.current().keepers().size() - 1;
            for (SimulatedNode other : nodes) {
                if (other == this || other.self == null || !group.contains(other.self)) {
                    continue;
                }
                sendMessage(index, other.index, () -> {
                    boolean confirmed = other.ledger.confirm(epoch).isConfirmed();
                    String name = other.self.processName();
                    sendMessage(other.index, index, () -> {
                        boolean all = confirmed && confirmedBy.add(name) && confirmedBy.size() == others;
                        if (all) {
                            ledger.renewLease(epoch, requestedNanos);
                        }
                    });
                });
            }
            int boot = boots;
            schedule(
                    nowMillis + 400,
                    () -> receive(boot, () -> {
                        if (confirmedBy.size() < others) {
                            readRow(this, read -> {
                                applyGroup(read);
                                removeUnreachable(read);
                            });
                        }
                    }));
        }

        private void applyGroup(ReadResult read) {
            if (read != null && read.group != null) {
                trace(self.processName(), "applies", read.group.current().number(), read.version);
                ledger.applyGroup(read.group, read.version, read.requestedNanos);
            }
        }

        private void join(ReadResult read) {
            if (read.group == null) {
                writeGroup(ClaimGroup.create(SERVICE, self), read.version);
                return;
            }
            if (read.group.contains(self)) {
                return;
            }
            boolean joinsWithoutAsking = read.group.current().keepers().stream()
                    .anyMatch(keeper -> keeper.id().equals(self.id()) || hasEnded(keeper));
            if (joinsWithoutAsking) {
                writeGroup(read.group.withKeeper(self), read.version);
                return;
            }
            List<Keeper> keepers = read.group.current().keepers();
            Keeper sponsor = keepers.get(random.nextInt(keepers.size()));
            Keeper newcomer = self;
            for (SimulatedNode other : nodes) {
                if (sponsor.equals(other.self)) {
                    sendMessage(index, other.index, () -> other.admit(newcomer));
                }
            }
        }

        private boolean hasEnded(Keeper keeper) {
            return nodes.stream()
                    .anyMatch(other -> other.self != null
                            && other.self.id().equals(keeper.id())
                            && other.self.boot() > keeper.boot());
        }

        private void admit(Keeper newcomer) {
            readRow(this, read -> {
                applyGroup(read);
                boolean member = read != null && read.group != null && read.group.contains(self);
                if (member && !read.group.contains(newcomer)) {
                    writeGroup(read.group.withKeeper(newcomer), read.version);
                }
            });
        }

        private void removeUnreachable(ReadResult read) {
            if (read == null || read.group == null || !read.group.contains(self) || random.nextInt(3) > 0) {
                return;
            }
            List<Keeper> unreachable = read.group.current().keepers().stream()
                    .filter(keeper -> !keeper.equals(self))
                    .filter(this::seemsUnreachable)
                    .toList();
            if (!unreachable.isEmpty()) {
                writeGroup(read.group.withoutKeepers(unreachable), read.version);
            }
        }

        private boolean seemsUnreachable(Keeper keeper) {
            for (SimulatedNode other : nodes) {
                if (keeper.equals(other.self)) {
                    boolean partitioned = isolated.contains(index) != isolated.contains(other.index);
                    return !other.alive || other.paused || partitioned;
                }
            }
            return true;
        }

        private void writeGroup(ClaimGroup next, long version) {
            if (mutation != Mutation.SKIP_SUSPENSION) {
                ledger.suspend(version);
            }
            writeRow(this, next, version, () -> readRow(this, this::applyGroup));
        }

        void call(IdempotencyKey key) {
            ClaimDecision<String> claim = ledger.claim(key, 1);
            trace(self.processName(), "claims", key, claim.action(), claim.code(), claim.attempt(), claim.keeper());
            switch (claim.action()) {
                case REJECT -> checkResult(key, claim.code());
                case JOIN -> claim.result().thenAccept(result -> checkResult(key, result.code()));
                case ASK_WITNESS -> askWitness(key, claim);
                default -> {
                    // the caller resends
                }
            }
        }

        private void askWitness(IdempotencyKey key, ClaimDecision<String> claim) {
            if (mutation == Mutation.SKIP_WITNESS) {
                handleReply(
                        key,
                        claim,
                        new WitnessReply()
                                .withVerdict(WitnessReply.Verdict.RECORDED)
                                .withCoveredSince(Long.MAX_VALUE));
                return;
            }
            for (SimulatedNode other : nodes) {
                if (claim.keeper().equals(other.self)) {
                    sendMessage(index, other.index, () -> {
                        WitnessReply reply = other.ledger.handleWitnessRequest(claim.request());
                        trace(other.self.processName(), "witness replied", key, claim.attempt(), reply.getVerdict());
                        sendMessage(other.index, index, () -> handleReply(key, claim, reply));
                    });
                }
            }
            int boot = boots;
            schedule(nowMillis + 400, () -> receive(boot, () -> handleReply(key, claim, null)));
        }

        private void handleReply(IdempotencyKey key, ClaimDecision<String> claim, WitnessReply reply) {
            if (mutation == Mutation.SKIP_COVERAGE_CHECK && reply != null) {
                reply.setCoveredSince(Long.MIN_VALUE);
            }
            DispatchDecision decision = ledger.handleWitnessReply(key, claim.attempt(), reply);
            trace(self.processName(), "got reply", key, reply == null ? null : reply.getVerdict(), decision);
            decision.release().ifPresent(release -> sendRelease(claim.keeper(), release));
            if (decision.dispatch()) {
                claim.result().thenAccept(result -> checkResult(key, result.code()));
                dispatch(key, claim, 1);
            }
        }

        private void sendRelease(Keeper witness, WitnessRequest release) {
            for (SimulatedNode other : nodes) {
                if (witness.equals(other.self)) {
                    sendMessage(index, other.index, () -> {
                        if (mutation == Mutation.RELEASE_ANY_ATTEMPT) {
                            for (long attempt = 0; attempt < 20; attempt++) {
                                other.ledger.handleWitnessRequest(release.withAttempt(attempt));
                            }
                        } else {
                            other.ledger.handleWitnessRequest(release);
                        }
                    });
                }
            }
        }

        private void dispatch(IdempotencyKey key, ClaimDecision<String> claim, int execution) {
            int boot = boots;
            int outcome = random.nextInt(4);
            schedule(
                    nowMillis + 1 + random.nextInt(400),
                    () -> receive(boot, () -> {
                        if (outcome == 0) {
                            complete(key, claim, ResultCode.OVERLOADED);
                            return;
                        }
                        execute(key);
                        if (outcome == 1 && mutation == Mutation.RESEND_AFTER_DISPATCH && execution == 1) {
                            dispatch(key, claim, 2);
                            return;
                        }
                        complete(key, claim, outcome == 1 ? ResultCode.CONNECTION_LOST : ResultCode.OK);
                    }));
        }

        private void complete(IdempotencyKey key, ClaimDecision<String> claim, ResultCode code) {
            trace(self.processName(), "completes", key, claim.attempt(), code);
            ledger.complete(key, claim.attempt(), new KeyedResult<>(code, "answer"))
                    .ifPresent(release -> sendRelease(claim.keeper(), release));
        }

        private void checkResult(IdempotencyKey key, ResultCode code) {
            boolean notRun = code.outcome() == Outcome.NOT_RUN;
            if (notRun && executions.getOrDefault(key.value(), 0) > 0) {
                violation = "key " + key + " ran but its caller got " + code;
            }
        }
    }

    private record ReadResult(ClaimGroup group, long version, long requestedNanos) {}

    private record Event(long atMillis, long order, Runnable task) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** The simulated clock with a fixed offset of its wall time. */
    private final class SkewedClock implements Clock {

        private final long offsetMillis;

        SkewedClock(long offsetMillis) {
            this.offsetMillis = offsetMillis;
        }

        @Override
        public long nanoTime() {
            return clock.nanoTime();
        }

        @Override
        public long epochMillis() {
            return clock.epochMillis() + offsetMillis;
        }
    }
}
