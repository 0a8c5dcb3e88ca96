package io.mustardusher.ctl;

import java.io.PrintWriter;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.HdrHistogram.Histogram;

/**
 * Shows where the time of answered calls goes, by service, from the decisions that entries logged. Log times are
 * precise to a millisecond.
 */
final class CallProfile {

    private static final Pattern ROUTED = Pattern.compile(": route (\\S+) to ");
    private static final Pattern TOTAL = Pattern.compile(", (\\d+) us$");

    /** Longest time that is told apart, in milliseconds; longer ones count as this. */
    private static final long MAX_MILLIS = 60_000;

    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double MEDIAN = 50;
    private static final double NINETY_NINTH = 99;
    private static final long MICROS_PER_MILLI = 1_000;

    private final Map<String, OpenCall> openCalls = new HashMap<>();
    private final Map<String, ServiceProfile> services = new TreeMap<>();

    private CallProfile() {}

    /**
     * Creates a profile.
     *
     * @param lines logged events, ordered by time
     * @return the profile
     */
    static CallProfile of(List<LogLine> lines) {
        CallProfile profile = new CallProfile();
        lines.forEach(line -> line.call().ifPresent(call -> profile.add(call, line)));
        return profile;
    }

    private void add(String call, LogLine line) {
        switch (line.event()) {
            case LogLine.ROUTED -> addAttempt(call, line);
            case LogLine.ANSWERED -> addAnswer(call, line);
            case LogLine.CALL_FAILED -> openCalls.remove(call);
            default -> {
                // other events are no stage of a call at its entry
            }
        }
    }

    private void addAttempt(String call, LogLine line) {
        Matcher matcher = ROUTED.matcher(line.text());
        if (!matcher.find()) {
            return;
        }
        OpenCall open = openCalls.computeIfAbsent(call, name -> new OpenCall(matcher.group(1), line.time()));
        open.lastAttempt = line.time();
        services.computeIfAbsent(open.service, name -> new ServiceProfile()).attempts++;
    }

    private void addAnswer(String call, LogLine line) {
        OpenCall open = openCalls.remove(call);
        Matcher matcher = TOTAL.matcher(line.text());
        if (open == null || !matcher.find()) {
            return;
        }
        long totalMillis = Long.parseLong(matcher.group(1)) / MICROS_PER_MILLI;
        long sinceFirstMillis = millisBetween(open.firstAttempt, line.time());
        ServiceProfile profile = services.get(open.service);
        profile.answered++;
        profile.record(Stage.TOTAL, totalMillis);
        profile.record(Stage.BEFORE_CHOICE, totalMillis - sinceFirstMillis);
        profile.record(Stage.EARLIER_ATTEMPTS, millisBetween(open.firstAttempt, open.lastAttempt));
        profile.record(Stage.LAST_ATTEMPT, millisBetween(open.lastAttempt, line.time()));
    }

    private static long millisBetween(Instant from, Instant to) {
        return Duration.between(from, to).toMillis();
    }

    /**
     * Returns the time that a stage took for a share of the answered calls of a service.
     *
     * @param service    name of the service
     * @param stage      the stage
     * @param percentile share of the calls that took at most the returned time, in percent
     * @return time in milliseconds; 0 if no call of the service was answered
     */
    long millis(String service, Stage stage, double percentile) {
        ServiceProfile profile = services.get(service);
        return profile == null ? 0 : profile.millis(stage, percentile);
    }

    /**
     * Prints a table with a row for each service: attempts, answered calls, and the median and 99th percentile of each
     * stage in milliseconds.
     *
     * @param out destination of the output
     */
    void print(PrintWriter out) {
        out.printf("%-20s %9s %9s", "SERVICE", "ATTEMPTS", "ANSWERED");
        for (Stage stage : Stage.values()) {
            out.printf("  %26s", stage.heading + " p50 p99 ms");
        }
        out.println();
        services.forEach((name, profile) -> {
            out.printf("%-20s %9d %9d", name, profile.attempts, profile.answered);
            for (Stage stage : Stage.values()) {
                out.printf("  %19d %6d", profile.millis(stage, MEDIAN), profile.millis(stage, NINETY_NINTH));
            }
            out.println();
        });
    }

    /** Stages of an answered call. */
    enum Stage {
        /** From the arrival of the call at its entry to the answer. */
        TOTAL("total"),

        /** Until the first server is chosen. */
        BEFORE_CHOICE("entry"),

        /** From the first choice to the last one: at gates that refused or returned the call. */
        EARLIER_ATTEMPTS("earlier attempts"),

        /** From the last choice to the answer: queue of the gate, server, and network. */
        LAST_ATTEMPT("last attempt");

        private final String heading;

        /**
         * Creates a stage.
         *
         * @param heading heading of its column
         */
        Stage(String heading) {
            this.heading = heading;
        }
    }

    private static final class OpenCall {

        private final String service;
        private final Instant firstAttempt;
        private Instant lastAttempt;

        OpenCall(String service, Instant firstAttempt) {
            this.service = service;
            this.firstAttempt = firstAttempt;
        }
    }

    private static final class ServiceProfile {

        private final Map<Stage, Histogram> histograms = new EnumMap<>(Stage.class);
        private long attempts;
        private long answered;

        void record(Stage stage, long millis) {
            histograms
                    .computeIfAbsent(stage, key -> new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS))
                    .recordValue(Math.max(0, Math.min(MAX_MILLIS, millis)));
        }

        long millis(Stage stage, double percentile) {
            Histogram histogram = histograms.get(stage);
            return histogram == null ? 0 : histogram.getValueAtPercentile(percentile);
        }
    }
}
