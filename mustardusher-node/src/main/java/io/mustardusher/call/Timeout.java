package io.mustardusher.call;

import java.util.OptionalLong;

import io.mustardusher.time.Clock;

/** Parses and formats the {@code grpc-timeout} header: at most eight digits and a unit. */
public final class Timeout {

    /** Maximum number of digits. */
    private static final int MAX_DIGITS = 8;

    /** Characters for hours, minutes, seconds, milliseconds, microseconds and nanoseconds. */
    private static final String UNITS = "HMSmun";

    /** Length of each unit of {@link #UNITS}, in nanoseconds. */
    private static final long[] UNIT_NANOS = {
        3_600_000_000_000L, 60_000_000_000L, 1_000_000_000L, 1_000_000L, 1_000L, 1L
    };

    /** Largest value that is formatted in microseconds: eight digits. */
    private static final long MAX_MICROS = 99_999_999L;

    private Timeout() {}

    /**
     * Parses a header value.
     *
     * @param text value of the header
     * @return time in nanoseconds; empty if the value is malformed
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
        return OptionalLong.of(value * UNIT_NANOS[unit]);
    }

    /**
     * Formats a time in microseconds or, if that takes more than eight digits, in milliseconds.
     *
     * @param nanos time in nanoseconds; a negative one is formatted as 0
     * @return value of the header
     */
    public static String format(long nanos) {
        long micros = Math.max(0, nanos / Clock.NANOS_PER_MICRO);
        return micros <= MAX_MICROS ? micros + "u" : micros / Clock.NANOS_PER_MICRO + "m";
    }
}
