package io.mustardusher.allowance;

import io.mustardusher.time.Clock;

/**
 * A clock whose monotonic time also counts the time for which the VM was suspended. The system's monotonic clock does
 * not, but its wall clock jumps forward on resumption. A wall clock that is set forward looks the same, so this clock
 * is for the end of rights only: they may end early, but must not be earned early. A wall clock that is set back
 * changes nothing. Not thread-safe.
 */
public final class SuspensionClock implements Clock {

    /** Jump of the wall clock that counts as a suspension, in nanoseconds; corrections of the clock are smaller. */
    private static final long MIN_JUMP_NANOS = 50 * NANOS_PER_MILLI;

    private final Clock clock;
    private long lastNanos;
    private long lastEpochMillis;
    private long suspendedNanos;

    /**
     * Creates a clock.
     *
     * @param clock the system's clock
     */
    public SuspensionClock(Clock clock) {
        this.clock = clock;
        lastNanos = clock.nanoTime();
        lastEpochMillis = clock.epochMillis();
    }

    @Override
    public long nanoTime() {
        long nanos = clock.nanoTime();
        long epochMillis = clock.epochMillis();
        long jump = (epochMillis - lastEpochMillis) * NANOS_PER_MILLI - (nanos - lastNanos);
        if (jump >= MIN_JUMP_NANOS) {
            suspendedNanos += jump;
        }
        lastNanos = nanos;
        lastEpochMillis = epochMillis;
        return nanos + suspendedNanos;
    }

    @Override
    public long epochMillis() {
        return clock.epochMillis();
    }
}
