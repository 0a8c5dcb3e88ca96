package io.mustardusher.ctl;

import java.io.PrintWriter;
import java.time.temporal.ChronoUnit;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.mustardusher.result.ResultCode;

/**
 * Counts over the logs of all nodes.
 *
 * @param lines events by their time
 */
record LogSummary(List<LogLine> lines) {

    /** Width of the longest bar of the plot, in characters. */
    private static final int BAR = 40;

    private static final int CAUSES = 10;

    /**
     * Counts how calls ended.
     *
     * @return number of calls by the way they ended
     */
    Map<String, Long> ends() {
        return lines.stream()
                .filter(line -> line.event() == LogLine.ANSWERED || line.event() == LogLine.NOT_ROUTED)
                .collect(Collectors.groupingBy(LogSummary::end, TreeMap::new, Collectors.counting()));
    }

    /**
     * Counts refusals and failures.
     *
     * @param event event that tells them
     * @return number of events by code
     */
    Map<ResultCode, Long> codes(int event) {
        return lines.stream()
                .filter(line -> line.event() == event)
                .flatMap(line -> line.code().stream())
                .collect(Collectors.groupingBy(code -> code, TreeMap::new, Collectors.counting()));
    }

    /**
     * Prints the counts and a plot of calls without an answer over time.
     *
     * @param out where to print
     */
    void print(PrintWriter out) {
        out.println("HOW CALLS ENDED");
        ends().forEach((end, count) -> out.printf("%8d  %s%n", count, end));
        printCodes(out, "WHY CALLS HAD NO ANSWER", LogLine.NOT_ROUTED);
        printCodes(out, "WHY GATES REFUSED", LogLine.GATE_REFUSED);
        out.println("CALLS WITHOUT AN ANSWER, BY SECOND");
        Map<Object, Long> seconds = lines.stream()
                .filter(line -> line.event() == LogLine.NOT_ROUTED)
                .collect(Collectors.groupingBy(
                        line -> line.time().truncatedTo(ChronoUnit.SECONDS), TreeMap::new, Collectors.counting()));
        long most = seconds.values().stream().mapToLong(Long::longValue).max().orElse(1);
        seconds.forEach((second, count) ->
                out.printf("%s %6d  %s%n", second, count, "#".repeat((int) Math.max(1, count * BAR / most))));
    }

    private void printCodes(PrintWriter out, String heading, int event) {
        out.println(heading);
        codes(event).entrySet().stream()
                .sorted(Map.Entry.<ResultCode, Long>comparingByValue(Comparator.reverseOrder()))
                .limit(CAUSES)
                .forEach(entry -> out.printf(
                        "%8d  %d %s%n",
                        entry.getValue(),
                        entry.getKey().number(),
                        entry.getKey().title()));
    }

    private static String end(LogLine line) {
        if (line.event() == LogLine.NOT_ROUTED) {
            return line.code()
                    .map(code -> "no answer, " + code.outcome().token())
                    .orElse("no answer");
        }
        return line.isServerFailure() ? "failed by a server" : "answered";
    }
}
