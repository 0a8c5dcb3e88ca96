package io.mustardusher.lab.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.mustardusher.claim.IdempotencyKey;
import io.mustardusher.time.Clock;

/**
 * Sends calls at times drawn beforehand, whether or not earlier ones were answered, so that a slow system is not
 * spared.
 */
public final class LoadGenerator {

    /** Time after the last call in which answers are awaited, in milliseconds. */
    private static final long DRAIN_MILLIS = 12_000;

    /** Time between two looks at the calls left, in milliseconds. */
    private static final long POLL_MILLIS = 20;

    /** Entries that callers know. */
    private final Entries entries;

    /** Counts of calls. */
    private final Tally tally;

    private final ScheduledExecutorService timers;

    /** Source of random times and choices. */
    private final Random random;

    /**
     * Creates a generator.
     *
     * @param entries entries that callers know
     * @param tally   counts of calls
     * @param timers  runs timers
     * @param seed    seed of times and choices
     */
    public LoadGenerator(Entries entries, Tally tally, ScheduledExecutorService timers, long seed) {
        this.entries = entries;
        this.tally = tally;
        this.timers = timers;
        this.random = new Random(seed);
    }

    /**
     * Sends the calls and waits for their answers.
     *
     * @param specs the streams of calls
     * @throws InterruptedException if the wait is interrupted
     */
    public void run(List<LoadSpec> specs) throws InterruptedException {
        List<Arrival> arrivals = arrivals(specs);
        long start = System.nanoTime();
        for (int i = 0; i < arrivals.size(); i++) {
            Arrival arrival = arrivals.get(i);
            long due = start + arrival.atNanos;
            awaitTime(due);
            start(arrival, due, i);
        }
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS);
        while (tally.ended() < tally.calls() && System.nanoTime() - end < 0) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    /**
     * Returns the entries.
     *
     * @return the entries
     */
    Entries entries() {
        return entries;
    }

    /**
     * Returns the counts.
     *
     * @return the tally
     */
    Tally tally() {
        return tally;
    }

    /**
     * Returns what runs timers.
     *
     * @return the timers
     */
    ScheduledExecutorService timers() {
        return timers;
    }

    /**
     * Starts a call.
     *
     * @param arrival the call
     * @param due     its intended start, in nanoseconds
     * @param number  its number
     */
    private void start(Arrival arrival, long due, int number) {
        boolean write = arrival.write;
        String id = arrival.spec.service() + "-" + number + "-" + Long.toHexString(random.nextLong());
        String key = write
                ? IdempotencyKey.generate(Clock.ForSystem.INSTANCE, random).value()
                : null;
        int second = (int) TimeUnit.NANOSECONDS.toSeconds(arrival.atNanos);
        new CallRun(this, arrival.spec, id, key, due, second).start(random);
    }

    /**
     * Draws the times of all calls.
     *
     * @param specs the streams of calls
     * @return the calls in order of time
     */
    private List<Arrival> arrivals(List<LoadSpec> specs) {
        List<Arrival> arrivals = new ArrayList<>();
        for (LoadSpec spec : specs) {
            double at = spec.fromMillis() * 1e6;
            double end = spec.toMillis() * 1e6;
            while (true) {
                at += -Math.log(1 - random.nextDouble()) * 1e9 / spec.perSecond();
                if (at >= end) {
                    break;
                }
                arrivals.add(new Arrival((long) at, spec, random.nextDouble() < spec.writeShare()));
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atNanos));
        return arrivals;
    }

    /**
     * Waits until a time.
     *
     * @param due the time, in nanoseconds
     */
    private static void awaitTime(long due) {
        while (true) {
            long left = due - System.nanoTime();
            if (left <= 0) {
                return;
            }
            LockSupport.parkNanos(left);
        }
    }

    /**
     * A call to come.
     *
     * @param atNanos intended start, in nanoseconds from the start of the load
     * @param spec    what it asks
     * @param write   whether it is not idempotent
     */
    private record Arrival(long atNanos, LoadSpec spec, boolean write) {}
}
