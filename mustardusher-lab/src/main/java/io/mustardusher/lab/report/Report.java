package io.mustardusher.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

import io.mustardusher.lab.scenario.Expectation;
import io.mustardusher.lab.scenario.ScenarioResult;
import io.mustardusher.schema.Schema;
import org.HdrHistogram.Histogram;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Report of one scenario: {@code report.json} and plots of its latencies. */
public final class Report {

    /** Width of a plot, in pixels. */
    private static final int WIDTH = 900;

    /** Height of a plot, in pixels. */
    private static final int HEIGHT = 450;

    /** Percentiles plotted over time. */
    private static final double[] PERCENTILES = {50, 99};

    /** What the scenario showed. */
    private final ScenarioResult result;

    /**
     * Creates a report.
     *
     * @param result what the scenario showed
     */
    private Report(ScenarioResult result) {
        this.result = result;
    }

    /**
     * Creates a report.
     *
     * @param result what the scenario showed
     * @return the report
     */
    public static Report of(ScenarioResult result) {
        return new Report(result);
    }

    /**
     * Writes the report.
     *
     * @param folder where to write
     * @throws IOException if a file cannot be written
     */
    public void write(Path folder) throws IOException {
        Map<String, Object> json = new LinkedHashMap<>(result.measures());
        json.put("steps", result.seen());
        json.put("broken", result.broken().stream().map(Expectation::toString).toList());
        Files.writeString(
                folder.resolve("report.json"), Schema.mapper().valueToTree(json).toPrettyString() + "\n");
        ChartUtils.saveChartAsPNG(folder.resolve("latency.png").toFile(), overTime(), WIDTH, HEIGHT);
    }

    /**
     * Plots latencies over time.
     *
     * @return the plot
     */
    private JFreeChart overTime() {
        XYSeriesCollection series = new XYSeriesCollection();
        for (double percentile : PERCENTILES) {
            XYSeries line = new XYSeries("p" + (int) percentile);
            for (Map.Entry<Integer, Histogram> second :
                    result.tally().latenciesBySecond().entrySet()) {
                line.add(second.getKey().doubleValue(), second.getValue().getValueAtPercentile(percentile) / 1000.0);
            }
            series.addSeries(line);
        }
        return ChartFactory.createXYLineChart(result.scenario().deployment(), "seconds", "latency in ms", series);
    }
}
