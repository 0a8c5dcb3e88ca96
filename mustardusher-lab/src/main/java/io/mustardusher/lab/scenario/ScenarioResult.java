package io.mustardusher.lab.scenario;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.mustardusher.lab.load.Tally;
import org.HdrHistogram.Histogram;

/**
 * What a scenario showed.
 *
 * @param scenario the scenario
 * @param measures measures by name
 * @param tally    counts of calls
 * @param seen     what the steps saw
 */
public record ScenarioResult(Scenario scenario, Map<String, Object> measures, Tally tally, List<String> seen) {

    /**
     * Lists the expectations that do not hold.
     *
     * @return the expectations
     */
    public List<Expectation> broken() {
        List<Expectation> broken = new ArrayList<>();
        for (Expectation expectation : scenario.expectations()) {
            if (!expectation.holds(measures)) {
                broken.add(expectation);
            }
        }
        return broken;
    }

    /**
     * Prints a table.
     *
     * @param out where to print
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
