package io.mustardusher.instance;

import java.util.Optional;

/**
 * Conditions that one instance of a backend server stated, as nodes exchange them.
 *
 * @param instance   identifier of the instance
 * @param conditions the conditions
 */
public record InstanceConditions(String instance, ServerConditions conditions) {

    private static final int FIELD_COUNT = 3;

    private static final String LEAVING = "1";

    /**
     * Formats the conditions as the value of a header.
     *
     * @return rate, leaving and instance, separated by commas
     */
    public String toHeader() {
        return conditions.maxCallsPerSecond() + "," + (conditions.leaving() ? LEAVING : "0") + "," + instance;
    }

    /**
     * Parses the value of a header.
     *
     * @param text value of the header, or {@code null}
     * @return the conditions, or empty if the header is absent or malformed
     */
    public static Optional<InstanceConditions> parse(String text) {
        String[] fields = text == null ? new String[0] : text.split(",", FIELD_COUNT);
        if (fields.length != FIELD_COUNT) {
            return Optional.empty();
        }
        try {
            double limit = Double.parseDouble(fields[0]);
            return Optional.of(
                    new InstanceConditions(fields[2], new ServerConditions(limit, LEAVING.equals(fields[1]))));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
