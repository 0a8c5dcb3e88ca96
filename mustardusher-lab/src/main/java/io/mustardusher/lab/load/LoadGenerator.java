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
 * Open-loop load generator. Calls start at times drawn in advance from a Poisson process, whether or not earlier calls
 * have ended, so that a slow system does not reduce its own load.
 */
public final class LoadGenerator {

    /** Maximum time to wait for calls in flight after the last call was sent. */
    private static final long MAX_DRAIN_MILLIS = 12_000;

    /** Interval at which the number of ended calls is polled during the drain. */
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final Entries entries;

    private final Tally tally;

    private final ScheduledExecutorService timers;

    /** Source of randomness for start times, ids, keys and the choice of entries. */
    private final Random random;

    /**
     * Creates a generator.
     *
     * @param entries entries to call
     * @param tally   records the results
     * @param timers  schedules retries
     * @param seed    seed of the random number generator
     */
    public LoadGenerator(Entries entries, Tally tally, ScheduledExecutorService timers, long seed) {
        this.entries = entries;
        this.tally = tally;
        this.timers = timers;
        this.random = new Random(seed);
    }

    /**
     * Sends the calls and waits until all have ended, for a limited time.
     *
     * @param specs the streams of calls
     * @throws InterruptedException if the wait is interrupted
     */
    public void run(List<LoadSpec> specs) throws InterruptedException {
        List<Arrival> arrivals = drawArrivals(specs);
        long startNanos = System.nanoTime();
        for (int i = 0; i < arrivals.size(); i++) {
            Arrival arrival = arrivals.get(i);
            long intendedNanos = startNanos + arrival.offsetNanos;
            sleepUntil(intendedNanos);
            startCall(arrival, intendedNanos, i);
        }
        long drainDeadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_DRAIN_MILLIS);
        while (tally.ended() < tally.calls() && System.nanoTime() - drainDeadlineNanos < 0) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /**
     * Returns the entries to call.
     *
     * @return the entries
     */
    Entries entries() {
        return entries;
    }

    /**
     * Returns the tally that records the results.
     *
     * @return the tally
     */
    Tally tally() {
        return tally;
    }

    /**
     * Returns the executor that schedules retries.
     *
     * @return the executor
     */
    ScheduledExecutorService timers() {
        return timers;
    }

    /**
     * Starts a call.
     *
     * @param arrival       the call
     * @param intendedNanos its intended start, on the scale of {@link System#nanoTime()}
     * @param number        its position in the load
     */
    private void startCall(Arrival arrival, long intendedNanos, int number) {
        boolean nonIdempotent = arrival.nonIdempotent;
        String id = arrival.spec.service() + "-" + number + "-" + Long.toHexString(random.nextLong());
        String key = nonIdempotent
                ? IdempotencyKey.generate(Clock.ForSystem.INSTANCE, random).value()
                : null;
        int second = (int) TimeUnit.NANOSECONDS.toSeconds(arrival.offsetNanos);
        new RetryingCall(this, arrival.spec, id, key, intendedNanos, second).start(random);
    }

    /**
     * Draws the start times of all calls, for each stream from a Poisson process of its mean rate.
     *
     * @param specs the streams of calls
     * @return the calls in order of their start
     */
    private List<Arrival> drawArrivals(List<LoadSpec> specs) {
        List<Arrival> arrivals = new ArrayList<>();
        for (LoadSpec spec : specs) {
            double offsetNanos = spec.fromMillis() * 1e6;
            double endNanos = spec.toMillis() * 1e6;
            while (true) {
                offsetNanos += -Math.log(1 - random.nextDouble()) * 1e9 / spec.perSecond();
                if (offsetNanos >= endNanos) {
                    break;
                }
                arrivals.add(new Arrival((long) offsetNanos, spec, random.nextDouble() < spec.writeShare()));
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::offsetNanos));
        return arrivals;
    }

    /**
     * Parks the thread until a time.
     *
     * @param targetNanos the time, on the scale of {@link System#nanoTime()}
     */
    private static void sleepUntil(long targetNanos) {
        while (true) {
            long remainingNanos = targetNanos - System.nanoTime();
            if (remainingNanos <= 0) {
                return;
            }
            LockSupport.parkNanos(remainingNanos);
        }
    }

    /**
     * A call that is still to be sent.
     *
     * @param offsetNanos   intended start, in nanoseconds from the start of the load
     * @param spec          stream of calls that it belongs to
     * @param nonIdempotent whether it is not idempotent and carries a key
     */
    private record Arrival(long offsetNanos, LoadSpec spec, boolean nonIdempotent) {}
}
