package io.mustardusher.model;

import java.util.PriorityQueue;
import java.util.Random;

import io.mustardusher.time.Clock;

/** Runs events in the order of their times and is the clock of everything simulated. */
final class Simulation implements Clock {

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Random random;
    private long nowNanos;
    private long scheduled;

    /**
     * Creates a simulation without events.
     *
     * @param seed seed of all random decisions
     */
    Simulation(long seed) {
        this.random = new Random(seed);
    }

    Random random() {
        return random;
    }

    /**
     * Schedules an event.
     *
     * @param delayNanos delay from now, in nanoseconds
     * @param action     the event
     */
    void schedule(double delayNanos, Runnable action) {
        events.add(new Event(nowNanos + Math.max(0, (long) delayNanos), scheduled++, action));
    }

    /**
     * Runs the events up to a time.
     *
     * @param endNanos the time, in nanoseconds
     */
    void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos <= endNanos) {
            Event event = events.remove();
            nowNanos = event.atNanos;
            event.action.run();
        }
        nowNanos = endNanos;
    }

    @Override
    public long nanoTime() {
        return nowNanos;
    }

    @Override
    public long epochMillis() {
        return nowNanos / NANOS_PER_MILLI;
    }

    private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
