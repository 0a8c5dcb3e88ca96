package io.mustardusher.admission;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.time.Clock;

/**
 * Measures by how much the event loop of a node is delayed, from a periodic task that runs later than scheduled. While
 * the loop is delayed, a node reads calls whose callers may have timed out already. Rejecting calls, background ones
 * first, costs little and lets the node catch up. Without calls, nothing is measured.
 */
public final class EventLoopDelay {

    /** Interval at which {@link #sample()} is to be scheduled, in milliseconds. */
    public static final long SAMPLE_INTERVAL_MILLIS = 50;

    /** Delay from which background calls are rejected, in nanoseconds: a quarter of the delay that callers notice. */
    private static final long REJECT_BACKGROUND_THRESHOLD_NANOS = 120 * Clock.NANOS_PER_MILLI;

    /**
     * Delay from which all calls are rejected, in nanoseconds. A call passes an entry and a gate, whose delays then add
     * up to half a second.
     */
    private static final long REJECT_ALL_THRESHOLD_NANOS = 250 * Clock.NANOS_PER_MILLI;

    /** Time after the last call for which the measurement continues, in nanoseconds. */
    private static final long IDLE_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    private final Clock clock;
    private volatile long delayNanos;
    private volatile long lastSampleNanos;
    private volatile long lastCallNanos;
    private volatile boolean measuring;
    private Runnable startListener = () -> {};

    /**
     * Creates a measurement that starts without a delay.
     *
     * @param clock source of time
     */
    public EventLoopDelay(Clock clock) {
        this.clock = clock;
        this.lastSampleNanos = clock.nanoTime();
        this.lastCallNanos = lastSampleNanos;
    }

    /**
     * Sets the listener for the start of a measurement.
     *
     * @param listener schedules {@link #sample()} until it returns {@code false}
     */
    public void onStart(Runnable listener) {
        startListener = listener;
    }

    /**
     * Records a run of the periodic task; a delay that has ended decays by half with each sample.
     *
     * @return whether the measurement continues; {@code false} if no call has arrived for a while
     */
    public synchronized boolean sample() {
        long now = clock.nanoTime();
        long lateNanos = Math.max(0, now - lastSampleNanos - SAMPLE_INTERVAL_MILLIS * Clock.NANOS_PER_MILLI);
        delayNanos = Math.max(lateNanos, delayNanos / 2);
        lastSampleNanos = now;
        measuring = now - lastCallNanos < IDLE_NANOS;
        return measuring;
    }

    /**
     * Returns whether a call is rejected at the current delay.
     *
     * @param serviceClass class of the call
     * @return {@code true} if it is
     */
    public boolean rejects(ServiceClass serviceClass) {
        lastCallNanos = clock.nanoTime();
        if (!measuring) {
            startMeasurement();
        }
        long delay = delayNanos;
        return delay >= REJECT_ALL_THRESHOLD_NANOS
                || delay >= REJECT_BACKGROUND_THRESHOLD_NANOS && serviceClass == ServiceClass.BACKGROUND;
    }

    private void startMeasurement() {
        synchronized (this) {
            if (measuring) {
                return;
            }
            measuring = true;
            delayNanos = 0;
            lastSampleNanos = clock.nanoTime();
        }
        startListener.run();
    }
}
