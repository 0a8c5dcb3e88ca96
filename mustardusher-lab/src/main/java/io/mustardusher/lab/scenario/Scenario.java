package io.mustardusher.lab.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.mustardusher.lab.load.LoadSpec;

/**
 * A scripted run of a deployment under load. Scenario files have one statement per line; {@code docs/SCENARIOS.md}
 * describes the language.
 *
 * @param deployment     name of the deployment
 * @param durationMillis duration of the load, in milliseconds
 * @param warmUpMillis   duration of the warm-up before the load, in milliseconds; its latencies are not counted
 * @param seed           seed of arrival times and random choices
 * @param loads          streams of calls
 * @param steps          actions to perform during the load
 * @param expectations   conditions that must hold at the end
 */
public record Scenario(
        String deployment,
        long durationMillis,
        long warmUpMillis,
        long seed,
        List<LoadSpec> loads,
        List<Step> steps,
        List<Expectation> expectations) {

    /**
     * Reads a scenario from a file.
     *
     * @param file scenario file
     * @return the scenario
     * @throws IOException if the file cannot be read
     */
    public static Scenario read(Path file) throws IOException {
        return parse(Files.readString(file));
    }

    /**
     * Parses a scenario.
     *
     * @param text text of a scenario file
     * @return the scenario
     */
    public static Scenario parse(String text) {
        Builder builder = new Builder();
        int number = 0;
        for (String line : text.split("\n")) {
            number++;
            String statement = line.replaceFirst("#.*", "").strip();
            if (statement.isEmpty()) {
                continue;
            }
            try {
                builder.addStatement(statement.split("\\s+"));
            } catch (RuntimeException e) {
                throw new IllegalArgumentException("line " + number + ": " + line + ": " + e.getMessage(), e);
            }
        }
        return builder.build();
    }

    /**
     * Returns this scenario with another duration. Scales the times of loads and steps proportionally; the warm-up
     * stays.
     *
     * @param newDurationMillis duration of the load, in milliseconds
     * @return the scaled scenario
     */
    public Scenario withDurationMillis(long newDurationMillis) {
        double factor = newDurationMillis / (double) durationMillis;
        List<LoadSpec> scaledLoads = loads.stream()
                .map(load -> load.withTimes((long) (load.fromMillis() * factor), (long) (load.toMillis() * factor)))
                .toList();
        List<Step> scaledSteps = steps.stream()
                .map(step -> new Step((long) (step.atMillis() * factor), step.action(), step.arguments()))
                .toList();
        return new Scenario(deployment, newDurationMillis, warmUpMillis, seed, scaledLoads, scaledSteps, expectations);
    }

    /**
     * Returns the loads of the warm-up.
     *
     * @return the loads that start with the scenario, running for the duration of the warm-up
     */
    List<LoadSpec> warmUpLoads() {
        return loads.stream()
                .filter(load -> load.fromMillis() == 0)
                .map(load -> load.withTimes(0, warmUpMillis))
                .toList();
    }

    /** Builds a scenario from its statements. */
    private static final class Builder {

        /** Name of the deployment. */
        private String deployment = "gulf-skies";

        /** Duration of the load, in milliseconds. */
        private long durationMillis = 10_000;

        /** Duration of the warm-up, in milliseconds. */
        private long warmUpMillis;

        /** Seed of arrival times and random choices. */
        private long seed = 1;

        /** Streams of calls. */
        private final List<LoadSpec> loads = new ArrayList<>();

        /** Actions to perform during the load. */
        private final List<Step> steps = new ArrayList<>();

        /** Conditions that must hold at the end. */
        private final List<Expectation> expectations = new ArrayList<>();

        /**
         * Parses a statement and adds it to the scenario.
         *
         * @param words words of the statement
         */
        void addStatement(String[] words) {
            switch (words[0]) {
                case "deployment" -> deployment = words[1];
                case "length" -> durationMillis = DurationParser.parseMillis(words[1]);
                case "warm" -> warmUpMillis = DurationParser.parseMillis(words[1]);
                case "seed" -> seed = Long.parseLong(words[1]);
                case "load" -> loads.add(parseLoad(words));
                case "at" -> steps.add(parseStep(words));
                case "expect" -> expectations.add(Expectation.parse(Arrays.copyOfRange(words, 1, words.length)));
                default -> throw new IllegalArgumentException("unknown statement " + words[0]);
            }
        }

        /**
         * Creates the scenario from the statements added so far.
         *
         * @return the scenario
         */
        Scenario build() {
            return new Scenario(
                    deployment,
                    durationMillis,
                    warmUpMillis,
                    seed,
                    List.copyOf(loads),
                    List.copyOf(steps),
                    List.copyOf(expectations));
        }

        /**
         * Parses a load: {@code load SERVICE N/s [writes N%] [bytes N] [deadline TIME] [from TIME] [to TIME]}.
         *
         * @param words words of the statement
         * @return the load
         */
        private LoadSpec parseLoad(String[] words) {
            double perSecond = Double.parseDouble(words[2].replace("/s", ""));
            double writeShare = 0;
            int answerBytes = 0;
            long deadlineMillis = 2_000;
            long fromMillis = 0;
            long toMillis = durationMillis;
            for (int i = 3; i + 1 < words.length; i += 2) {
                String value = words[i + 1];
                switch (words[i]) {
                    case "writes" -> writeShare = Double.parseDouble(value.replace("%", "")) / 100;
                    case "bytes" -> answerBytes = Integer.parseInt(value);
                    case "deadline" -> deadlineMillis = DurationParser.parseMillis(value);
                    case "from" -> fromMillis = DurationParser.parseMillis(value);
                    case "to" -> toMillis = DurationParser.parseMillis(value);
                    default -> throw new IllegalArgumentException("unknown option " + words[i]);
                }
            }
            return new LoadSpec(words[1], perSecond, writeShare, answerBytes, deadlineMillis, fromMillis, toMillis);
        }

        /**
         * Parses a step: {@code at TIME ACTION ARGUMENTS}.
         *
         * @param words words of the statement
         * @return the step
         */
        private static Step parseStep(String[] words) {
            List<String> arguments = List.of(words).subList(3, words.length);
            return new Step(DurationParser.parseMillis(words[1]), Action.of(words[2], arguments.size()), arguments);
        }
    }
}
