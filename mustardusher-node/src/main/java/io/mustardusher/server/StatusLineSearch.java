package io.mustardusher.server;

import io.netty.buffer.ByteBuf;

/** Searches bytes that arrive in pieces for the beginning of a status line, up to the status. */
final class StatusLineSearch {

    /** The beginning, with a zero for each digit. */
    private static final byte[] PATTERN = {'H', 'T', 'T', 'P', '/', '1', '.', '0', ' ', '0', '0', '0'};

    /** Number of bytes of the pattern that the last bytes match. */
    private int matched;

    /**
     * Returns whether a text contains the beginning of a status line.
     *
     * @param text the text, with one character for each byte
     * @return {@code true} if a match ends in it
     */
    static boolean isIn(String text) {
        StatusLineSearch search = new StatusLineSearch();
        return text.chars().anyMatch(next -> search.next((byte) next));
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
        byte expected = PATTERN[matched];
        boolean matches = expected == '0' ? next >= '0' && next <= '9' : next == expected;
        // The first byte of the pattern occurs only once in it, so that no other match can be under way.
        matched = matches ? matched + 1 : next == PATTERN[0] ? 1 : 0;
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
