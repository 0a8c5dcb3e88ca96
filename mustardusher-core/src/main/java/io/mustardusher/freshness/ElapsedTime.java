package io.mustardusher.freshness;

import io.mustardusher.time.Clock;

/**
 * Time that includes suspensions of the machine, for ages that must never be too small. The monotonic clock stops
 * during a suspension and the wall clock does not, so a forward jump of the wall clock relative to the monotonic clock
 * between two samples is added. A backward jump changes nothing. A suspension cannot be told from a backward step of
 * the wall clock by the same amount between the same two samples, so the time has to be sampled regularly.
 */
public final class ElapsedTime {

    /**
     * Forward jump that is not counted yet, in nanoseconds. The wall clock has a resolution of a millisecond; counting
     * the differences from rounding would make the time run faster with each sample.
     */
    private static final long TOLERANCE_NANOS = 20 * Clock.NANOS_PER_MILLI;

    private final Clock clock;

    /** Difference of the wall clock to the monotonic clock up to which jumps are counted, in nanoseconds. */
    private long countedOffsetNanos;

    /** Sum of the forward jumps, in nanoseconds. */
    private long suspendedNanos;

    /**
     * Creates a time that starts now.
     *
     * @param clock source of both clocks
     */
    public ElapsedTime(Clock clock) {
        this.clock = clock;
        countedOffsetNanos = offsetNanos(clock.nanoTime());
    }

    /**
     * Samples both clocks and returns the time.
     *
     * @return time with an arbitrary origin, in nanoseconds; exceeds the monotonic clock by the suspensions so far
     */
    public synchronized long nanos() {
        // The monotonic clock first: a suspension between the two readings is counted then.
        long monotonic = clock.nanoTime();
        long offset = offsetNanos(monotonic);
        long jump = offset - countedOffsetNanos;
        if (jump > TOLERANCE_NANOS) {
            suspendedNanos += jump;
        }
        if (jump > TOLERANCE_NANOS || jump < 0) {
            countedOffsetNanos = offset;
        }
        return monotonic + suspendedNanos;
    }

    private long offsetNanos(long monotonic) {
        return clock.epochMillis() * Clock.NANOS_PER_MILLI - monotonic;
    }
}
