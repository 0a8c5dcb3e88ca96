package io.mustardusher.ctl;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.mustardusher.result.ResultCode;
import io.mustardusher.schema.Schema;

/**
 * One line of a node's log.
 *
 * @param time  time of day at the node
 * @param node  the node: the last word before the event, or else the name of the file without its ending
 * @param event number of the event
 * @param text  its text
 */
record LogLine(Instant time, String node, int event, String text) {

    /** A node chose a server for a call. */
    static final int ROUTED = 2001;

    /** A call ended without an answer of a server. */
    static final int NOT_ROUTED = 2002;

    /** A gate refused a call. */
    static final int GATE_REFUSED = 2003;

    /** A server answered a call. */
    static final int ANSWERED = 2005;

    /** A server gave no answer to a call that its gate had sent. */
    static final int SERVER_LOST = 2006;

    private static final int FIRST_SERVER_ERROR = 500;

    private static final Pattern CALL = Pattern.compile("call ([^ :]+): .*", Pattern.DOTALL);
    private static final Pattern CODE = Pattern.compile("(?:, code|refuses with) (\\d+)");
    private static final Pattern STATUS = Pattern.compile(" answers (\\d+) after attempt");
    private static final Pattern ENDING = Pattern.compile("\\.[a-z]+$");

    /**
     * Reads the logs of nodes. Lines that are no events, as of the runtime, are left out.
     *
     * @param files log files
     * @return the events by their time of day
     */
    static List<LogLine> read(List<Path> files) {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            String node = ENDING.matcher(file.getFileName().toString()).replaceFirst("");
            try (Stream<String> texts = Files.lines(file, StandardCharsets.ISO_8859_1)) {
                texts.forEach(text -> parse(text, node).ifPresent(lines::add));
            } catch (IOException e) {
                throw new UncheckedIOException("cannot read " + file, e);
            }
        }
        lines.sort(Comparator.comparing(LogLine::time));
        return lines;
    }

    /**
     * Reads one line.
     *
     * @param text     the line
     * @param fallback name of the node if the line has none
     * @return the event, or empty if the line is none
     */
    static Optional<LogLine> parse(String text, String fallback) {
        int begin = text.indexOf('{');
        if (begin < 0) {
            return Optional.empty();
        }
        try {
            JsonNode event = Schema.mapper().readTree(text.substring(begin));
            String before = text.substring(0, begin).strip();
            String node = before.isEmpty() ? fallback : before.substring(before.lastIndexOf(' ') + 1);
            return Optional.of(new LogLine(
                    Instant.parse(event.path("time").asText()),
                    node,
                    event.path("event").asInt(),
                    event.path("text").asText()));
        } catch (JsonProcessingException | DateTimeParseException e) {
            // the end of a file that is still written, or a line of another program
            return Optional.empty();
        }
    }

    /**
     * Returns the call that the event is about.
     *
     * @return its name, or empty if it is about none
     */
    Optional<String> call() {
        Matcher matcher = CALL.matcher(text);
        return matcher.matches() ? Optional.of(matcher.group(1)) : Optional.empty();
    }

    /**
     * Returns the code with which a call was refused or failed.
     *
     * @return the code, or empty if the event tells none
     */
    Optional<ResultCode> code() {
        Matcher matcher = CODE.matcher(text);
        return matcher.find() ? ResultCode.of(matcher.group(1)) : Optional.empty();
    }

    /**
     * Tells whether a server answered that it failed.
     *
     * @return {@code true} for the statuses from 500 on
     */
    boolean isServerFailure() {
        return status() >= FIRST_SERVER_ERROR;
    }

    /**
     * Returns the status with which a server answered.
     *
     * @return the HTTP status; 0 if the event tells none
     */
    int status() {
        Matcher matcher = STATUS.matcher(text);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
    }
}
