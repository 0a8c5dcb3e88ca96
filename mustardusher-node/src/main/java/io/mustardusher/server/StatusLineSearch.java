package io.mustardusher.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Searches bytes that arrive in pieces for the beginning of a status line, up to the status. */
final class StatusLineSearch {

    /** The beginning, with a zero for each digit. */
    private static final byte[] PATTERN = {'H', 'T', 'T', 'P', '/', '1', '.', '0', ' ', '0', '0', '0'};

    /** Number of bytes of the pattern that the last bytes match. */
    private int matched;

    /**
     * Returns whether bytes contain the beginning of a status line or end within it. Costs a fraction of a search byte
     * by byte.
     *
     * @param bytes the bytes
     * @return {@code true} if a search would find a match or end within one
     */
    static boolean mayOccurIn(byte[] bytes) {
        ByteBuf wrapped = Unpooled.wrappedBuffer(bytes);
        int start = wrapped.indexOf(0, bytes.length, PATTERN[0]);
        while (start >= 0) {
            if (matchesAt(bytes, start)) {
                return true;
            }
            start = wrapped.indexOf(start + 1, bytes.length, PATTERN[0]);
        }
        return false;
    }

    private static boolean matchesAt(byte[] bytes, int start) {
        int length = Math.min(PATTERN.length, bytes.length - start);
        for (int i = 0; i < length; i++) {
            if (!matches(bytes[start + i], PATTERN[i])) {
                return false;
            }
        }
        return true;
    }

    private static boolean matches(byte next, byte expected) {
        return expected == '0' ? next >= '0' && next <= '9' : next == expected;
    }

    /**
     * Returns whether a text contains the beginning of a status line, up to the status.
     *
     * @param text the text
     * @return {@code true} if it does
     */
    static boolean isIn(CharSequence text) {
        if (text.length() < PATTERN.length) {
            return false;
        }
        StatusLineSearch search = new StatusLineSearch();
        for (int i = 0; i < text.length(); i++) {
            if (search.next((byte) text.charAt(i))) {
                return true;
            }
        }
        return false;
    }

    /** Forgets the bytes before. */
    void reset() {
        matched = 0;
    }

    /**
     * Adds a byte.
     *
     * @param next the byte
     * @return whether a match ends with it
     */
    boolean next(byte next) {
        if (matched == PATTERN.length) {
            matched = 0;
        }
        // The first byte of the pattern occurs only once in it, so that no other match can be under way.
        matched = matches(next, PATTERN[matched]) ? matched + 1 : next == PATTERN[0] ? 1 : 0;
        return matched == PATTERN.length;
    }

    /**
     * Adds bytes.
     *
     * @param bytes the bytes; they are not consumed
     * @return whether a match ends among them
     */
    boolean next(ByteBuf bytes) {
        return bytes.forEachByte(next -> !next(next)) >= 0;
    }

    /**
     * Returns whether the last bytes may be the beginning of a status line.
     *
     * @return {@code true} if the pattern has begun and not ended
     */
    boolean isWithinMatch() {
        return matched > 0 && matched < PATTERN.length;
    }
}
