package io.mustardusher.lab.scenario;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.mustardusher.lab.load.Tally;
import org.HdrHistogram.Histogram;

/**
 * Result of running a scenario.
 *
 * @param scenario the scenario
 * @param measures measured values by name
 * @param tally    counts and latencies of the calls, without the warm-up
 * @param stepLog  a line for each completed step, with its result
 */
public record ScenarioResult(Scenario scenario, Map<String, Object> measures, Tally tally, List<String> stepLog) {

    /**
     * Lists the expectations that do not hold.
     *
     * @return the unmet expectations, in the order of the scenario
     */
    public List<Expectation> unmetExpectations() {
        List<Expectation> unmet = new ArrayList<>();
        for (Expectation expectation : scenario.expectations()) {
            if (!expectation.holds(measures)) {
                unmet.add(expectation);
            }
        }
        return unmet;
    }

    /**
     * Prints the measures, the latencies by service and the expectations with their verdicts.
     *
     * @param out destination of the output
     */
    public void print(PrintStream out) {
        out.println();
        measures.forEach((name, value) -> out.printf(
                "  %-28s %s%n", name, value instanceof Double number ? String.format("%.3f", number) : value));
        out.println();
        out.printf("  %-16s %10s %10s %10s %10s%n", "service", "answered", "p50 us", "p99 us", "p99.9 us");
        for (Map.Entry<String, Histogram> entry : tally.latenciesByService().entrySet()) {
            Histogram latencies = entry.getValue();
            out.printf(
                    "  %-16s %10d %10d %10d %10d%n",
                    entry.getKey(),
                    latencies.getTotalCount(),
                    latencies.getValueAtPercentile(50),
                    latencies.getValueAtPercentile(99),
                    latencies.getValueAtPercentile(99.9));
        }
        out.println();
        for (Expectation expectation : scenario.expectations()) {
            String verdict = expectation.holds(measures) ? "holds " : "BROKEN";
            out.println("  " + verdict + "  " + expectation + "  (seen " + measures.get(expectation.measure()) + ")");
        }
    }
}
