package io.mustardusher.lab.scenario;

/** Times as scenarios write them. */
final class Duration {

    private Duration() {}

    /**
     * Reads a time.
     *
     * @param text a number with {@code ms} or {@code s} behind it
     * @return milliseconds
     */
    static long millis(String text) {
        if (text.endsWith("ms")) {
            return Long.parseLong(text.substring(0, text.length() - 2));
        }
        if (text.endsWith("s")) {
            return (long) (Double.parseDouble(text.substring(0, text.length() - 1)) * 1000);
        }
        throw new IllegalArgumentException("a time ends in ms or s: " + text);
    }
}
