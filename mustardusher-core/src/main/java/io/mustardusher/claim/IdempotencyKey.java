package io.mustardusher.claim;

import java.util.OptionalLong;
import java.util.UUID;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;

import io.mustardusher.time.Clock;

/**
 * A caller's key for one call. A UUID of version 7 (RFC 9562) tells when it was made; any other key is opaque.
 *
 * @param value the key
 */
public record IdempotencyKey(String value) {

    /** Characters and length of a key. */
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9._:~+/=-]{8,128}");

    /** Form of a UUID of version 7. */
    private static final Pattern UUID_V7 =
            Pattern.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

    /** Bits of a UUID's upper half below the time. */
    private static final int TIME_SHIFT = 16;

    /** Version bits of a UUID of version 7. */
    private static final long VERSION_7 = 0x7000L;

    /** Random bits of the upper half. */
    private static final long RANDOM_UPPER = 0xfffL;

    /** Variant bits of a UUID. */
    private static final long VARIANT = 1L << 63;

    /** Random bits of the lower half. */
    private static final long RANDOM_LOWER = (1L << 62) - 1;

    /**
     * Makes a key that tells when it was made.
     *
     * @param clock  source of time
     * @param random source of the random bits
     * @return the key
     */
    public static IdempotencyKey make(Clock clock, RandomGenerator random) {
        long upper = clock.epochMillis() << TIME_SHIFT | VERSION_7 | random.nextLong() & RANDOM_UPPER;
        long lower = VARIANT | random.nextLong() & RANDOM_LOWER;
        return new IdempotencyKey(new UUID(upper, lower).toString());
    }

    /**
     * Tells whether a header value can be a key. Quotes around it, as structured headers have them, are to be removed
     * first.
     *
     * @param value the value
     * @return {@code true} if it can
     */
    public static boolean isValid(String value) {
        return ALLOWED.matcher(value).matches();
    }

    /**
     * Returns the time at which the key was made.
     *
     * @return milliseconds since the epoch, or empty for an opaque key
     */
    public OptionalLong madeAtMillis() {
        if (!UUID_V7.matcher(value).matches()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(UUID.fromString(value).getMostSignificantBits() >>> TIME_SHIFT);
    }

    @Override
    public String toString() {
        return value;
    }
}
