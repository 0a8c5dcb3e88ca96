package io.mustardusher.allowance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.DoubleSupplier;

import io.mustardusher.account.Account;
import io.mustardusher.generated.AllowanceReply;
import io.mustardusher.generated.AllowanceRequest;
import io.mustardusher.time.Clock;

/**
 * Nodes that limit one account, with a queue of events in place of network and timers. Messages are delayed, lost and
 * cut off by direction; processes freeze, are suspended and restart; views of the membership differ.
 */
final class AllowanceSimulation {

    static final long MILLI = Clock.NANOS_PER_MILLI;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Longest additional delay of a late message, in milliseconds; above the time limit of a reply. */
    private static final int LATE_MILLIS = 400;

    private final Random random;
    private final Mutation mutation;
    private final AllowanceBounds bounds;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final boolean[][] cut;
    private Account account;
    private long version = 1;
    private long now;
    private long eventCount;
    private long boots;

    /** Probability that a message is lost. */
    double loss;

    /** Longest delay of most messages, in nanoseconds. */
    long delayNanos = 2 * MILLI;

    /** Probability that a message is delayed by up to {@value #LATE_MILLIS} ms. */
    double late;

    /** Times at which calls were admitted, in order. */
    final List<Long> admitted = new ArrayList<>();

    /** Caller of the loads, notified of refusals. */
    RefusalListener onRefused = (node, delay) -> {};

    int refused;
    int unavailable;
    int messages;

    AllowanceSimulation(int size, AllowanceBounds bounds, Account account, Mutation mutation, Random random) {
        this.random = random;
        this.mutation = mutation;
        this.bounds = bounds;
        this.account = account;
        this.cut = new boolean[size][size];
        for (int i = 0; i < size; i++) {
            nodes.add(new SimulatedNode(i));
        }
        nodes.forEach(SimulatedNode::start);
    }

    long now() {
        return now;
    }

    List<SimulatedNode> nodes() {
        return nodes;
    }

    /** Returns the node that most running ones consider the coordinator of the account. */
    SimulatedNode coordinator() {
        Map<String, Integer> votes = new HashMap<>();
        for (SimulatedNode node : nodes) {
            if (!node.stopped) {
                votes.merge(node.limiter.coordinator(account.name()).id(), 1, Integer::sum);
            }
        }
        String elected =
                Collections.max(votes.entrySet(), Map.Entry.comparingByValue()).getKey();
        return node(elected);
    }

    private SimulatedNode node(String id) {
        return nodes.get(Integer.parseInt(id.substring("node-".length())));
    }

    void at(long nanos, Runnable task) {
        events.add(new Event(nanos, eventCount++, task));
    }

    void run(long untilNanos) {
        while (!events.isEmpty() && events.peek().nanos <= untilNanos) {
            Event event = events.remove();
            now = event.nanos;
            event.task.run();
        }
        now = untilNanos;
    }

    /** Sends calls to a node with exponentially distributed gaps. */
    void load(int node, double perSecond, long fromNanos, long untilNanos) {
        load(node, () -> -Math.log(1 - random.nextDouble()) / perSecond, fromNanos, untilNanos);
    }

    /** Sends calls to a node with gaps that vary by half. */
    void steadyLoad(int node, double perSecond, long fromNanos, long untilNanos) {
        long phase = (long) (random.nextDouble() / perSecond * NANOS_PER_SECOND);
        loadFrom(node, () -> (0.5 + random.nextDouble()) / perSecond, fromNanos + phase, untilNanos);
    }

    private void load(int node, DoubleSupplier gapSeconds, long fromNanos, long untilNanos) {
        loadFrom(node, gapSeconds, fromNanos + (long) (gapSeconds.getAsDouble() * NANOS_PER_SECOND), untilNanos);
    }

    private void loadFrom(int node, DoubleSupplier gapSeconds, long nanos, long untilNanos) {
        if (nanos < untilNanos) {
            SimulatedNode entry = nodes.get(node);
            at(nanos, () -> {
                entry.onEvent(entry::call);
                load(node, gapSeconds, now, untilNanos);
            });
        }
    }

    void setCut(int from, int to, boolean value) {
        cut[from][to] = value;
    }

    /** Puts another limit in force; each node learns of it within the given time. */
    void changeLimit(Account changed, long spreadNanos) {
        account = changed;
        version++;
        long inForce = version;
        for (SimulatedNode node : nodes) {
            at(
                    now + (long) (random.nextDouble() * spreadNanos),
                    () -> node.onEvent(() -> node.configure(inForce, changed)));
        }
    }

    /** Returns the number of calls admitted within the given time before now. */
    int admittedWithin(long nanos) {
        int count = 0;
        for (int i = admitted.size() - 1; i >= 0 && now - admitted.get(i) < nanos; i--) {
            count++;
        }
        return count;
    }

    /** Returns the highest number of calls admitted in a window that starts at the given time or later. */
    int maxInWindow(long windowNanos, long fromNanos) {
        int highest = 0;
        int first = 0;
        for (int last = 0; last < admitted.size(); last++) {
            while (admitted.get(last) - admitted.get(first) > windowNanos || admitted.get(first) < fromNanos) {
                first++;
                if (first > last) {
                    break;
                }
            }
            highest = Math.max(highest, last - first + 1);
        }
        return highest;
    }

    private long delay() {
        long usual = delayNanos / 4 + (long) (random.nextDouble() * delayNanos);
        return late > 0 && random.nextDouble() < late ? usual + random.nextInt(LATE_MILLIS) * MILLI : usual;
    }

    private boolean arrives(SimulatedNode from, SimulatedNode to) {
        return !cut[from.number][to.number] && (loss == 0 || random.nextDouble() >= loss);
    }

    private record Event(long nanos, long order, Runnable task) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** Notified of refusals. */
    @FunctionalInterface
    interface RefusalListener {

        /**
         * A call was refused.
         *
         * @param node       number of the entry
         * @param delayNanos delay that the refusal states, in nanoseconds
         */
        void refused(int node, long delayNanos);
    }

    /** A node. */
    final class SimulatedNode {

        private final int number;

        /** Events that wait until the process runs again. */
        private final Deque<Runnable> deferred = new ArrayDeque<>();

        private NodeProcess process;
        private AccountLimiter limiter;
        private boolean stopped;

        /** Whether the process is frozen or its VM suspended. */
        private boolean paused;

        private boolean suspended;
        private long suspendedSince;
        private long suspendedNanos;
        private long steppedMillis;
        private long knownVersion;

        SimulatedNode(int number) {
            this.number = number;
        }

        void start() {
            stopped = false;
            knownVersion = 0;
            paused = false;
            suspended = false;
            deferred.clear();
            process = new NodeProcess("node-" + number, ++boots);
            SimulatedClock clock = new SimulatedClock();
            Clock given = mutation == Mutation.COUNT_STEPS ? new SuspensionClock(clock) : clock;
            limiter = new AccountLimiter(
                    process, bounds, this::send, (group, coordinator) -> {}, given, given.nanoTime());
            configure(version, account);
            NodeProcess started = process;
            at(now + random.nextInt(300) * MILLI, () -> onEvent(started, () -> view(List.of())));
            at(now + random.nextInt(400) * MILLI, () -> onEvent(started, this::tick));
        }

        void stop() {
            stopped = true;
        }

        /** Pauses the process; a suspended VM also has a monotonic clock that stands still. */
        void pause(boolean vm) {
            if (!stopped && !paused) {
                paused = true;
                suspended = vm;
                suspendedSince = now;
            }
        }

        void resume() {
            if (!paused) {
                return;
            }
            paused = false;
            suspendedNanos += suspended ? now - suspendedSince : 0;
            suspended = false;
            while (!deferred.isEmpty() && !paused) {
                deferred.remove().run();
            }
        }

        void stepWallClock(long millis) {
            steppedMillis += millis;
        }

        void configure(long newVersion, Account limit) {
            if (newVersion > knownVersion) {
                knownVersion = newVersion;
                limiter.configure(newVersion, List.of(limit));
            }
        }

        /** Sets the nodes that this one considers live: all that run, except some. */
        void view(List<Integer> except) {
            List<NodeProcess> live = new ArrayList<>();
            for (SimulatedNode node : nodes) {
                if (node == this || !node.stopped && !except.contains(node.number)) {
                    live.add(node.process);
                }
            }
            limiter.setMembers(live, nodes.size(), true);
        }

        void onEvent(Runnable task) {
            onEvent(process, task);
        }

        private void onEvent(NodeProcess addressed, Runnable task) {
            if (stopped || addressed != process) {
                return;
            }
            if (paused) {
                deferred.add(() -> onEvent(addressed, task));
            } else {
                task.run();
            }
        }

        private void tick() {
            limiter.tick();
            NodeProcess current = process;
            at(now + AccountLimiter.TICK_MILLIS * MILLI, () -> onEvent(current, this::tick));
        }

        void call() {
            call(onRefused);
        }

        void call(RefusalListener caller) {
            Account limit = account;
            Decision decision = new Decision(caller);
            limiter.take(limit, decision);
            if (!decision.made) {
                at(
                        now + AccountLimiter.MAX_WAIT_MILLIS * MILLI,
                        () -> onEvent(() -> {
                            if (!decision.made) {
                                limiter.cancel(limit, decision);
                                decision.unavailable();
                            }
                        }));
            }
        }

        private void send(AccountLimiter.SentMessage sent) {
            messages++;
            NodeProcess sender = process;
            SimulatedNode receiver = node(sent.to().id());
            boolean[] done = new boolean[1];
            at(
                    now + AccountLimiter.REPLY_TIMEOUT_MILLIS * MILLI,
                    () -> onEvent(sender, () -> {
                        if (!done[0]) {
                            done[0] = true;
                            limiter.onFailure(sent);
                        }
                    }));
            if (!arrives(this, receiver)) {
                return;
            }
            if (receiver.stopped) {
                at(
                        now + delay(),
                        () -> onEvent(sender, () -> {
                            if (!done[0]) {
                                done[0] = true;
                                limiter.onFailure(sent);
                            }
                        }));
                return;
            }
            at(
                    now + delay(),
                    () -> receiver.onEvent(() -> {
                        AllowanceReply reply = receiver.receive(sent.request());
                        if (arrives(receiver, this)) {
                            at(
                                    now + delay(),
                                    () -> onEvent(sender, () -> {
                                        if (!done[0]) {
                                            done[0] = true;
                                            limiter.onReply(
                                                    mutation == Mutation.KEEP_TOKENS ? keepTokens(sent) : sent, reply);
                                        }
                                    }));
                        }
                    }));
            if (mutation == Mutation.DELEGATE_TWICE && sent.request().getDivisor() > 0) {
                delegateTwice(sent.request(), receiver);
            }
        }

        private AllowanceReply receive(AllowanceRequest request) {
            mutation.deliver(request, new SimulatedClock().nanoTime());
            return limiter.answer(request);
        }

        private AccountLimiter.SentMessage keepTokens(AccountLimiter.SentMessage sent) {
            return new AccountLimiter.SentMessage(
                    sent.to(), sent.group(), sent.request(), sent.sentNanos() + 1_000_000 * MILLI);
        }

        private void delegateTwice(AllowanceRequest request, SimulatedNode except) {
            for (SimulatedNode other : nodes) {
                if (other != except && !other.stopped && !other.paused) {
                    other.limiter.answer(new AllowanceRequest()
                            .withFrom(request.getFrom())
                            .withBoot(request.getBoot())
                            .withSequence(request.getSequence())
                            .withGroup(request.getGroup())
                            .withStampBoot(other.process.boot())
                            .withStamp(other.limiter
                                    .answer(new AllowanceRequest().withFrom("x").withGroup(request.getGroup()))
                                    .getStamp())
                            .withValidMillis(request.getValidMillis())
                            .withDivisor(request.getDivisor()));
                }
            }
        }

        /** The decision on a call. */
        private final class Decision implements TokenListener {

            private final RefusalListener caller;
            private boolean made;

            Decision(RefusalListener caller) {
                this.caller = caller;
            }

            @Override
            public void granted() {
                made = true;
                admitted.add(now);
            }

            @Override
            public void refused(long delayNanos) {
                made = true;
                refused++;
                caller.refused(number, delayNanos);
            }

            @Override
            public void unavailable() {
                made = true;
                unavailable++;
            }
        }

        /** Monotonic clock with an origin of its own, which stands still while the VM is suspended. */
        private final class SimulatedClock implements Clock {

            @Override
            public long nanoTime() {
                long lost = suspendedNanos + (suspended ? now - suspendedSince : 0);
                return now - lost + number * 1_000_000_000_000L;
            }

            @Override
            public long epochMillis() {
                return mutation == Mutation.IGNORE_SUSPENSION
                        ? nanoTime() / MILLI
                        : Manual.START_EPOCH_MILLIS + now / MILLI + steppedMillis;
            }
        }
    }
}
