package io.mustardusher.claim;

import java.util.OptionalLong;
import java.util.UUID;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;

import io.mustardusher.time.Clock;

/**
 * Key with which a caller identifies a call across retries. A UUID of version 7 (RFC 9562) contains the time of its
 * creation; any other key is opaque.
 *
 * @param value the key as sent by the caller
 */
public record IdempotencyKey(String value) {

    /** Allowed characters and length of a key. */
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9._:~+/=-]{8,128}");

    /** Text form of a UUID of version 7. */
    private static final Pattern UUID_V7 =
            Pattern.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

    /** Number of bits below the timestamp in a UUID's upper half. */
    private static final int TIME_SHIFT = 16;

    /** Version bits of a UUID of version 7. */
    private static final long VERSION_7 = 0x7000L;

    /** Mask of the random bits in the upper half. */
    private static final long UPPER_RANDOM_MASK = 0xfffL;

    /** Variant bits of a UUID according to RFC 9562. */
    private static final long VARIANT = 1L << 63;

    /** Mask of the random bits in the lower half. */
    private static final long LOWER_RANDOM_MASK = (1L << 62) - 1;

    /**
     * Generates a UUID of version 7 as a key.
     *
     * @param clock  source of time
     * @param random source of the random bits
     * @return the key
     */
    public static IdempotencyKey generate(Clock clock, RandomGenerator random) {
        long upper = clock.epochMillis() << TIME_SHIFT | VERSION_7 | random.nextLong() & UPPER_RANDOM_MASK;
        long lower = VARIANT | random.nextLong() & LOWER_RANDOM_MASK;
        return new IdempotencyKey(new UUID(upper, lower).toString());
    }

    /**
     * Returns whether a header value is a valid key. The caller must first remove the quotes of a structured header.
     *
     * @param value the unquoted header value
     * @return {@code true} if its characters and length are allowed
     */
    public static boolean isValid(String value) {
        return ALLOWED.matcher(value).matches();
    }

    /**
     * Returns the time at which the key was created.
     *
     * @return milliseconds since the Unix epoch, or empty for an opaque key
     */
    public OptionalLong createdAtMillis() {
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
