package io.mustardusher.lab.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.mustardusher.lab.load.LoadSpec;

/**
 * A scenario. Its language has one statement a line; {@code docs/SCENARIOS.md} describes it.
 *
 * @param deployment   name of the deployment
 * @param millis       length of the load, in milliseconds
 * @param warmMillis   length of the same loads before, whose latencies are not counted, in milliseconds
 * @param seed         seed of times and choices
 * @param loads        streams of calls
 * @param steps        what happens
 * @param expectations what must hold at the end
 */
public record Scenario(
        String deployment,
        long millis,
        long warmMillis,
        long seed,
        List<LoadSpec> loads,
        List<Step> steps,
        List<Expectation> expectations) {

    /**
     * Reads a scenario.
     *
     * @param file the file
     * @return the scenario
     * @throws IOException if the file cannot be read
     */
    public static Scenario read(Path file) throws IOException {
        return parse(Files.readString(file));
    }

    /**
     * Parses a scenario.
     *
     * @param text its text
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
                builder.add(statement.split("\\s+"));
            } catch (RuntimeException e) {
                throw new IllegalArgumentException("line " + number + ": " + line + ": " + e.getMessage(), e);
            }
        }
        return builder.build();
    }

    /**
     * Returns this scenario with another length; times of loads and steps are scaled.
     *
     * @param newMillis the length, in milliseconds
     * @return the scenario
     */
    public Scenario withMillis(long newMillis) {
        double factor = newMillis / (double) millis;
        List<LoadSpec> scaledLoads = loads.stream()
                .map(load -> load.withTimes((long) (load.fromMillis() * factor), (long) (load.toMillis() * factor)))
                .toList();
        List<Step> scaledSteps = steps.stream()
                .map(step -> new Step((long) (step.atMillis() * factor), step.action(), step.words()))
                .toList();
        return new Scenario(deployment, newMillis, warmMillis, seed, scaledLoads, scaledSteps, expectations);
    }

    /**
     * Returns the loads that warm everything up.
     *
     * @return the steady loads, for the length of the warm-up
     */
    List<LoadSpec> warmLoads() {
        return loads.stream()
                .filter(load -> load.fromMillis() == 0)
                .map(load -> load.withTimes(0, warmMillis))
                .toList();
    }

    /** Builds a scenario line by line. */
    private static final class Builder {

        /** Name of the deployment. */
        private String deployment = "gulf-skies";

        /** Length of the load, in milliseconds. */
        private long millis = 10_000;

        /** Length of the load before, in milliseconds. */
        private long warmMillis;

        /** Seed of times and choices. */
        private long seed = 1;

        /** Streams of calls. */
        private final List<LoadSpec> loads = new ArrayList<>();

        /** What happens. */
        private final List<Step> steps = new ArrayList<>();

        /** What must hold at the end. */
        private final List<Expectation> expectations = new ArrayList<>();

        /**
         * Adds a statement.
         *
         * @param words its words
         */
        void add(String[] words) {
            switch (words[0]) {
                case "deployment" -> deployment = words[1];
                case "length" -> millis = Duration.millis(words[1]);
                case "warm" -> warmMillis = Duration.millis(words[1]);
                case "seed" -> seed = Long.parseLong(words[1]);
                case "load" -> loads.add(load(words));
                case "at" -> steps.add(step(words));
                case "expect" -> expectations.add(Expectation.of(Arrays.copyOfRange(words, 1, words.length)));
                default -> throw new IllegalArgumentException("no statement " + words[0]);
            }
        }

        /**
         * Builds the scenario.
         *
         * @return the scenario
         */
        Scenario build() {
            return new Scenario(
                    deployment,
                    millis,
                    warmMillis,
                    seed,
                    List.copyOf(loads),
                    List.copyOf(steps),
                    List.copyOf(expectations));
        }

        /**
         * Reads a load: {@code load SERVICE N/s [writes N%] [bytes N] [deadline TIME] [from TIME] [to TIME]}.
         *
         * @param words its words
         * @return the load
         */
        private LoadSpec load(String[] words) {
            double rate = Double.parseDouble(words[2].replace("/s", ""));
            double writes = 0;
            int bytes = 0;
            long deadline = 2_000;
            long from = 0;
            long to = millis;
            for (int i = 3; i + 1 < words.length; i += 2) {
                String value = words[i + 1];
                switch (words[i]) {
                    case "writes" -> writes = Double.parseDouble(value.replace("%", "")) / 100;
                    case "bytes" -> bytes = Integer.parseInt(value);
                    case "deadline" -> deadline = Duration.millis(value);
                    case "from" -> from = Duration.millis(value);
                    case "to" -> to = Duration.millis(value);
                    default -> throw new IllegalArgumentException("no option " + words[i]);
                }
            }
            return new LoadSpec(words[1], rate, writes, bytes, deadline, from, to);
        }

        /**
         * Reads a step: {@code at TIME ACTION WORDS}.
         *
         * @param words its words
         * @return the step
         */
        private static Step step(String[] words) {
            List<String> rest = List.of(words).subList(3, words.length);
            return new Step(Duration.millis(words[1]), Action.of(words[2], rest.size()), rest);
        }
    }
}
