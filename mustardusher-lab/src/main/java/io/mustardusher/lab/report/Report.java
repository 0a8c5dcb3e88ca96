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

/** Report of a scenario run: {@code report.json} and a plot of the latencies. */
public final class Report {

    /** Width of the plot, in pixels. */
    private static final int PLOT_WIDTH = 900;

    /** Height of the plot, in pixels. */
    private static final int PLOT_HEIGHT = 450;

    /** Percentiles of latency that are plotted over time. */
    private static final double[] PERCENTILES = {50, 99};

    /** Result to report. */
    private final ScenarioResult result;

    /**
     * Creates a report.
     *
     * @param result result to report
     */
    private Report(ScenarioResult result) {
        this.result = result;
    }

    /**
     * Creates a report of a scenario run.
     *
     * @param result result to report
     * @return the report
     */
    public static Report of(ScenarioResult result) {
        return new Report(result);
    }

    /**
     * Writes {@code report.json} and {@code latency.png}, replacing existing files.
     *
     * @param folder existing folder to write to
     * @throws IOException if a file cannot be written
     */
    public void write(Path folder) throws IOException {
        Map<String, Object> json = new LinkedHashMap<>(result.measures());
        json.put("steps", result.stepLog());
        json.put(
                "broken",
                result.unmetExpectations().stream().map(Expectation::toString).toList());
        Files.writeString(
                folder.resolve("report.json"), Schema.mapper().valueToTree(json).toPrettyString() + "\n");
        ChartUtils.saveChartAsPNG(folder.resolve("latency.png").toFile(), plotLatencies(), PLOT_WIDTH, PLOT_HEIGHT);
    }

    /**
     * Plots percentiles of latency by the second in which the calls were due.
     *
     * @return the plot
     */
    private JFreeChart plotLatencies() {
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
