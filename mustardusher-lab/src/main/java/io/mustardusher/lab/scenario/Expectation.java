package io.mustardusher.lab.scenario;

import java.util.Map;

/**
 * A condition on a measure that must hold at the end of a scenario.
 *
 * @param measure  name of the measure, as in the report
 * @param relation relation of the measured value to the bound: {@code =}, {@code <=} or {@code >=}
 * @param bound    value to compare with
 */
public record Expectation(String measure, String relation, double bound) {

    /**
     * Parses an expectation.
     *
     * @param words measure, relation and bound; a bound with a percent sign refers to the measure's share of all calls
     * @return the expectation
     */
    static Expectation parse(String[] words) {
        String bound = words[2].endsWith("%") ? words[2].substring(0, words[2].length() - 1) : words[2];
        String measure = words[2].endsWith("%") ? words[0] + "Percent" : words[0];
        return new Expectation(measure, words[1], Double.parseDouble(bound));
    }

    /**
     * Returns whether the expectation holds.
     *
     * @param measures measured values by name
     * @return {@code true} if it holds; {@code false} also if the measure is missing or not a number
     */
    public boolean holds(Map<String, Object> measures) {
        Object measured = measures.get(measure);
        if (!(measured instanceof Number)) {
            return false;
        }
        double value = ((Number) measured).doubleValue();
        return switch (relation) {
            case "=" -> value == bound;
            case "<=" -> value <= bound;
            case ">=" -> value >= bound;
            default -> throw new IllegalArgumentException("unknown relation " + relation);
        };
    }

    @Override
    public String toString() {
        return measure + " " + relation + " " + bound;
    }
}
