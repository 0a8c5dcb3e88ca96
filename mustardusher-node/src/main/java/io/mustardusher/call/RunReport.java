package io.mustardusher.call;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * What a gate tells an entry about the run that an answer comes from, for the log.
 *
 * @param connection number of the connection to the backend server, which no other connection of the gate's process has
 * @param requests   number of requests that the connection had carried with this one
 * @param discarded  whether an earlier response was discarded while the request waited on the connection
 * @param digest     digest of the server's signature, see {@link #digest}
 */
public record RunReport(int connection, int requests, boolean discarded, String digest) {

    /** Digest of an answer without a signature. */
    private static final String UNSIGNED = "-";

    private static final char SEPARATOR = '.';
    private static final int RADIX = 10;
    private static final int DIGEST_DIGITS = 8;

    /**
     * Shortens a signature for the log.
     *
     * @param signature signature of an answer
     * @return CRC-32 of the signature, as eight hexadecimal digits; a dash if there is no signature
     */
    public static String digest(Optional<String> signature) {
        if (signature.isEmpty()) {
            return UNSIGNED;
        }
        CRC32 sum = new CRC32();
        sum.update(signature.get().getBytes(StandardCharsets.UTF_8));
        String digits = Long.toHexString(sum.getValue());
        return "0".repeat(DIGEST_DIGITS - digits.length()) + digits;
    }

    /**
     * Formats this report as the value of its header.
     *
     * @return the fields, separated by dots
     */
    public String toHeader() {
        return connection + "." + requests + (discarded ? ".1." : ".0.") + digest;
    }

    /**
     * Parses the value of the header.
     *
     * @param text value of the header, or {@code null}
     * @return the report, or empty if the header is absent or malformed
     */
    public static Optional<RunReport> parse(String text) {
        int first = text == null ? -1 : text.indexOf(SEPARATOR);
        int second = first < 0 ? -1 : text.indexOf(SEPARATOR, first + 1);
        int third = second < 0 ? -1 : text.indexOf(SEPARATOR, second + 1);
        if (third < 0 || text.indexOf(SEPARATOR, third + 1) >= 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(new RunReport(
                    Integer.parseInt(text, 0, first, RADIX),
                    Integer.parseInt(text, first + 1, second, RADIX),
                    text.charAt(third - 1) == '1',
                    text.substring(third + 1)));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
