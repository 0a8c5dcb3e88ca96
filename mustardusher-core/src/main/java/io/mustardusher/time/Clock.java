package io.mustardusher.time;

import java.util.concurrent.atomic.AtomicLong;

/** Source of time. All code reads the time from a clock, so that tests can control it. */
public interface Clock {

    /** Nanoseconds in a millisecond. */
    long NANOS_PER_MILLI = 1_000_000L;

    /** Nanoseconds in a microsecond. */
    long NANOS_PER_MICRO = 1_000L;

    /**
     * Returns a monotonic time with an arbitrary origin.
     *
     * @return time in nanoseconds
     */
    long nanoTime();

    /**
     * Returns the wall-clock time.
     *
     * @return milliseconds since the Unix epoch
     */
    long epochMillis();

    /** The system clock. */
    enum ForSystem implements Clock {
        /** The singleton instance. */
        INSTANCE;

        @Override
        public long nanoTime() {
            return System.nanoTime();
        }

        @Override
        public long epochMillis() {
            return System.currentTimeMillis();
        }
    }

    /** A clock that only changes when it is advanced. */
    final class Manual implements Clock {

        /** Wall-clock time at which every manual clock starts, in milliseconds since the Unix epoch. */
        public static final long START_EPOCH_MILLIS = 1_700_000_000_000L;

        /** Time by which this clock was advanced, in nanoseconds. */
        private final AtomicLong nanos = new AtomicLong();

        @Override
        public long nanoTime() {
            return nanos.get();
        }

        @Override
        public long epochMillis() {
            return START_EPOCH_MILLIS + nanos.get() / NANOS_PER_MILLI;
        }

        /**
         * Advances this clock by milliseconds.
         *
         * @param millis time to add, in milliseconds
         */
        public void advanceMillis(long millis) {
            nanos.addAndGet(millis * NANOS_PER_MILLI);
        }

        /**
         * Advances this clock by microseconds.
         *
         * @param micros time to add, in microseconds
         */
        public void advanceMicros(long micros) {
            nanos.addAndGet(micros * NANOS_PER_MICRO);
        }
    }
}
