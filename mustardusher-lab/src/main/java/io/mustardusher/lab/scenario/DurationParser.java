package io.mustardusher.lab.scenario;

/** Parses durations in scenario files, such as {@code 250ms} or {@code 1.5s}. */
final class DurationParser {

    private DurationParser() {}

    /**
     * Parses a duration.
     *
     * @param text a number followed by {@code ms} or {@code s}; only seconds may have a fraction
     * @return the duration, in milliseconds
     */
    static long parseMillis(String text) {
        if (text.endsWith("ms")) {
            return Long.parseLong(text.substring(0, text.length() - 2));
        }
        if (text.endsWith("s")) {
            return (long) (Double.parseDouble(text.substring(0, text.length() - 1)) * 1000);
        }
        throw new IllegalArgumentException("duration must end in ms or s: " + text);
    }
}
