package io.mustardusher.lab.scenario;

import java.util.Map;

/**
 * What must hold at the end.
 *
 * @param measure  name of a measure in the report
 * @param relation {@code =}, {@code <=} or {@code >=}
 * @param bound    the bound
 */
public record Expectation(String measure, String relation, double bound) {

    /**
     * Reads an expectation.
     *
     * @param words measure, relation and bound; a bound in percent is of all calls
     * @return the expectation
     */
    static Expectation of(String[] words) {
        String bound = words[2].endsWith("%") ? words[2].substring(0, words[2].length() - 1) : words[2];
        String measure = words[2].endsWith("%") ? words[0] + "Percent" : words[0];
        return new Expectation(measure, words[1], Double.parseDouble(bound));
    }

    /**
     * Tells whether the expectation holds.
     *
     * @param measures measures by name
     * @return {@code true} if it holds
     */
    public boolean holds(Map<String, Object> measures) {
        Object seen = measures.get(measure);
        if (!(seen instanceof Number)) {
            return false;
        }
        double value = ((Number) seen).doubleValue();
        return switch (relation) {
            case "=" -> value == bound;
            case "<=" -> value <= bound;
            case ">=" -> value >= bound;
            default -> throw new IllegalArgumentException("no relation " + relation);
        };
    }

    @Override
    public String toString() {
        return measure + " " + relation + " " + bound;
    }
}
