package io.mustardusher.call;

import java.util.OptionalLong;

import io.mustardusher.time.Clock;

/** Times as the {@code grpc-timeout} header has them: at most eight digits and a unit. */
public final class Timeout {

    /** Most digits. */
    private static final int MAX_DIGITS = 8;

    /** Units of the header. */
    private static final String UNITS = "HMSmun";

    /** Nanoseconds of each unit. */
    private static final long[] NANOS = {3_600_000_000_000L, 60_000_000_000L, 1_000_000_000L, 1_000_000L, 1_000L, 1L};

    /** Largest value that is written in microseconds. */
    private static final long MAX_MICROS = 99_999_999L;

    private Timeout() {}

    /**
     * Reads a header.
     *
     * @param text the header
     * @return time in nanoseconds, or empty if the header is malformed
     */
    public static OptionalLong parse(String text) {
        int digits = text.length() - 1;
        int unit = digits < 1 ? -1 : UNITS.indexOf(text.charAt(digits));
        if (unit < 0 || digits > MAX_DIGITS) {
            return OptionalLong.empty();
        }
        long value = 0;
        for (int i = 0; i < digits; i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return OptionalLong.empty();
            }
            value = value * 10 + digit;
        }
        return OptionalLong.of(value * NANOS[unit]);
    }

    /**
     * Writes a header.
     *
     * @param nanos time in nanoseconds
     * @return the header
     */
    public static String format(long nanos) {
        long micros = Math.max(0, nanos / Clock.NANOS_PER_MICRO);
        return micros <= MAX_MICROS ? micros + "u" : micros / Clock.NANOS_PER_MICRO + "m";
    }
}
