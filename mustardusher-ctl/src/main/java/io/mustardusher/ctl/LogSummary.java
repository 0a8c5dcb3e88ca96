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
 * Statistics over the events that several nodes logged.
 *
 * @param lines logged events, ordered by time
 */
record LogSummary(List<LogLine> lines) {

    /** Width of the longest bar of the plot, in characters. */
    private static final int MAX_BAR_LENGTH = 40;

    /** Number of result codes listed in each section. */
    private static final int MAX_CODES_LISTED = 10;

    /**
     * Counts the completed calls by their outcome.
     *
     * @return number of calls by description of the outcome
     */
    Map<String, Long> countsByOutcome() {
        return lines.stream()
                .filter(line -> line.event() == LogLine.ANSWERED || line.event() == LogLine.CALL_FAILED)
                .collect(Collectors.groupingBy(LogSummary::describeOutcome, TreeMap::new, Collectors.counting()));
    }

    /**
     * Counts the events of one type by the result code they report.
     *
     * @param event number of the event
     * @return number of events by result code; events without a known code are omitted
     */
    Map<ResultCode, Long> countsByCode(int event) {
        return lines.stream()
                .filter(line -> line.event() == event)
                .flatMap(line -> line.code().stream())
                .collect(Collectors.groupingBy(code -> code, TreeMap::new, Collectors.counting()));
    }

    /**
     * Prints the counts and a histogram of calls without an answer per second.
     *
     * @param out destination of the output
     */
    void print(PrintWriter out) {
        out.println("HOW CALLS ENDED");
        countsByOutcome().forEach((outcome, count) -> out.printf("%8d  %s%n", count, outcome));
        printCodes(out, "WHY CALLS HAD NO ANSWER", LogLine.CALL_FAILED);
        printCodes(out, "WHY GATES REFUSED", LogLine.GATE_REFUSED);
        out.println("CALLS WITHOUT AN ANSWER, BY SECOND");
        Map<Object, Long> countsBySecond = lines.stream()
                .filter(line -> line.event() == LogLine.CALL_FAILED)
                .collect(Collectors.groupingBy(
                        line -> line.time().truncatedTo(ChronoUnit.SECONDS), TreeMap::new, Collectors.counting()));
        long maxCount = countsBySecond.values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(1);
        countsBySecond.forEach((second, count) -> out.printf(
                "%s %6d  %s%n", second, count, "#".repeat((int) Math.max(1, count * MAX_BAR_LENGTH / maxCount))));
    }

    private void printCodes(PrintWriter out, String heading, int event) {
        out.println(heading);
        countsByCode(event).entrySet().stream()
                .sorted(Map.Entry.<ResultCode, Long>comparingByValue(Comparator.reverseOrder()))
                .limit(MAX_CODES_LISTED)
                .forEach(entry -> out.printf(
                        "%8d  %d %s%n",
                        entry.getValue(),
                        entry.getKey().number(),
                        entry.getKey().title()));
    }

    private static String describeOutcome(LogLine line) {
        if (line.event() == LogLine.CALL_FAILED) {
            return line.code()
                    .map(code -> "no answer, " + code.outcome().token())
                    .orElse("no answer");
        }
        return line.isServerFailure() ? "failed by a server" : "answered";
    }
}
