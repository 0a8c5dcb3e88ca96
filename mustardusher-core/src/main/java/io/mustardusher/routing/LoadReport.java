package io.mustardusher.routing;

import java.util.Optional;

/**
 * Load of a gate and of its backend server, as carried by the load header of answers and probes.
 *
 * @param busy          calls dispatched to the backend server
 * @param queued        calls queued at the gate
 * @param limit         concurrency limit of the gate
 * @param serviceMicros smoothed service time, in microseconds
 * @param draining      whether the gate accepts no new calls
 * @param slow          whether the backend server currently reports that it is slow
 */
public record LoadReport(int busy, int queued, int limit, long serviceMicros, boolean draining, boolean slow) {

    private static final int FIELD_COUNT = 6;

    /**
     * Creates a report of a server that is not slow.
     *
     * @param busy          calls dispatched to the backend server
     * @param queued        calls queued at the gate
     * @param limit         concurrency limit of the gate
     * @param serviceMicros smoothed service time, in microseconds
     * @param draining      whether the gate accepts no new calls
     */
    public LoadReport(int busy, int queued, int limit, long serviceMicros, boolean draining) {
        this(busy, queued, limit, serviceMicros, draining, false);
    }

    /**
     * Returns whether the gate could dispatch another call at once.
     *
     * @return {@code true} if a slot is free and no call is queued
     */
    public boolean hasFreeSlots() {
        return busy < limit && queued == 0;
    }

    /**
     * Formats this report as the value of the load header.
     *
     * @return the fields, separated by commas
     */
    public String toHeader() {
        return busy + "," + queued + "," + limit + "," + serviceMicros + "," + (draining ? 1 : 0) + ","
                + (slow ? 1 : 0);
    }

    /**
     * Parses the value of the load header.
     *
     * @param text value of the header, or {@code null}
     * @return the report, or empty if the header is absent or malformed
     */
    public static Optional<LoadReport> parse(String text) {
        if (text == null) {
            return Optional.empty();
        }
        String[] fields = text.split(",");
        if (fields.length != FIELD_COUNT) {
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
