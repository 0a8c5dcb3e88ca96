package io.mustardusher.routing;

import java.util.Optional;

/**
 * Load of a gate as it travels with answers and probes.
 *
 * @param busy          calls dispatched to the backend server
 * @param queued        calls waiting at the gate
 * @param limit         calls that the gate dispatches at the same time
 * @param serviceMicros smoothed service time, in microseconds
 * @param draining      whether the gate takes no new work
 * @param slow          whether the backend server says that it is slow at this moment
 */
public record LoadReport(int busy, int queued, int limit, long serviceMicros, boolean draining, boolean slow) {

    /** Number of fields in the header. */
    private static final int FIELDS = 6;

    /**
     * Creates a report of a server that is not slow.
     *
     * @param busy          calls dispatched to the backend server
     * @param queued        calls waiting at the gate
     * @param limit         calls that the gate dispatches at the same time
     * @param serviceMicros smoothed service time, in microseconds
     * @param draining      whether the gate takes no new work
     */
    public LoadReport(int busy, int queued, int limit, long serviceMicros, boolean draining) {
        this(busy, queued, limit, serviceMicros, draining, false);
    }

    /**
     * Returns the header form.
     *
     * @return fields separated by commas
     */
    public String toHeader() {
        return busy + "," + queued + "," + limit + "," + serviceMicros + "," + (draining ? 1 : 0) + ","
                + (slow ? 1 : 0);
    }

    /**
     * Reads the header form.
     *
     * @param text the header, or {@code null}
     * @return the load, or empty if the header is absent or malformed
     */
    public static Optional<LoadReport> parse(String text) {
        if (text == null) {
            return Optional.empty();
        }
        String[] fields = text.split(",");
        if (fields.length != FIELDS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new LoadReport(
                    Integer.parseInt(fields[0]),
                    Integer.parseInt(fields[1]),
                    Integer.parseInt(fields[2]),
                    Long.parseLong(fields[3]),
                    "1".equals(fields[4]),
                    "1".equals(fields[5])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
