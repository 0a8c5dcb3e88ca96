package io.mustardusher.time;

import java.util.concurrent.atomic.AtomicLong;

/** The only source of time. */
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
     * Returns the wall time.
     *
     * @return milliseconds since the epoch
     */
    long epochMillis();

    /** The clock of the running system. */
    enum ForSystem implements Clock {
        /** The only instance. */
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

    /** A clock that stands still until it is advanced. */
    final class Manual implements Clock {

        /** Wall time at which every manual clock starts, in milliseconds since the epoch. */
        public static final long START_EPOCH_MILLIS = 1_700_000_000_000L;

        /** Nanoseconds by which this clock was advanced. */
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
         * Advances this clock.
         *
         * @param millis milliseconds to add
         */
        public void advanceMillis(long millis) {
            nanos.addAndGet(millis * NANOS_PER_MILLI);
        }

        /**
         * Advances this clock.
         *
         * @param micros microseconds to add
         */
        public void advanceMicros(long micros) {
            nanos.addAndGet(micros * NANOS_PER_MICRO);
        }
    }
}
