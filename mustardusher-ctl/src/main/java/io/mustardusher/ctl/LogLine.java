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
 * An event in the log of a node.
 *
 * @param time  time of the event by the clock of the node
 * @param node  name of the node: the last word before the event, or else the file name without its extension
 * @param event number of the event
 * @param text  message of the event
 */
record LogLine(Instant time, String node, int event, String text) {

    /** A node selected a backend server for a call. */
    static final int ROUTED = 2001;

    /** A call ended without an answer from a backend server. */
    static final int CALL_FAILED = 2002;

    /** A gate refused a call. */
    static final int GATE_REFUSED = 2003;

    /** A backend server answered a call. */
    static final int ANSWERED = 2005;

    /** A backend server did not answer a call that its gate had sent to it. */
    static final int DISPATCH_FAILED = 2006;

    /** A call ended at its entry. */
    static final int ENDED = 2008;

    private static final int FIRST_SERVER_ERROR = 500;

    private static final Pattern CALL = Pattern.compile("call ([^ :]+): .*", Pattern.DOTALL);
    private static final Pattern CODE = Pattern.compile("(?:, code|refuses with) (\\d+)");
    private static final Pattern STATUS = Pattern.compile(" answers (\\d+) after attempt");
    private static final Pattern GIVEN = Pattern.compile("; caller got (.*? after \\d+ us), from ");
    private static final Pattern FILE_EXTENSION = Pattern.compile("\\.[a-z]+$");

    /**
     * Reads the logs of several nodes. Skips lines that are not events, such as messages of the Java runtime.
     *
     * @param files log files
     * @return the events of all files, ordered by time
     */
    static List<LogLine> read(List<Path> files) {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            String node = FILE_EXTENSION.matcher(file.getFileName().toString()).replaceFirst("");
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
     * Parses a line of a log.
     *
     * @param text        the line
     * @param defaultNode name of the node if the line does not name one
     * @return the event, or empty if the line is not an event
     */
    static Optional<LogLine> parse(String text, String defaultNode) {
        int jsonStart = text.indexOf('{');
        if (jsonStart < 0) {
            return Optional.empty();
        }
        try {
            JsonNode event = Schema.mapper().readTree(text.substring(jsonStart));
            String prefix = text.substring(0, jsonStart).strip();
            String node = prefix.isEmpty() ? defaultNode : prefix.substring(prefix.lastIndexOf(' ') + 1);
            return Optional.of(new LogLine(
                    Instant.parse(event.path("time").asText()),
                    node,
                    event.path("event").asInt(),
                    event.path("text").asText()));
        } catch (JsonProcessingException | DateTimeParseException e) {
            // An incomplete last line of a file that is still being written, or the output of another program.
            return Optional.empty();
        }
    }

    /**
     * Returns the call that the event concerns.
     *
     * @return name of the call, or empty if the event concerns no call
     */
    Optional<String> call() {
        Matcher matcher = CALL.matcher(text);
        return matcher.matches() ? Optional.of(matcher.group(1)) : Optional.empty();
    }

    /**
     * Returns the result code with which a call was refused or failed.
     *
     * @return the result code, or empty if the event has none or one unknown to this version
     */
    Optional<ResultCode> code() {
        Matcher matcher = CODE.matcher(text);
        return matcher.find() ? ResultCode.of(matcher.group(1)) : Optional.empty();
    }

    /**
     * Returns whether a backend server answered with a server error.
     *
     * @return {@code true} if the HTTP status is 500 or above
     */
    boolean isServerFailure() {
        return status() >= FIRST_SERVER_ERROR;
    }

    /**
     * Returns the HTTP status with which a backend server answered.
     *
     * @return the HTTP status; 0 if the event has none
     */
    int status() {
        Matcher matcher = STATUS.matcher(text);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
    }

    /**
     * Returns what the caller got when its call ended at the entry.
     *
     * @return status and time, or empty if the event is not the end of a call
     */
    Optional<String> given() {
        Matcher matcher = GIVEN.matcher(text);
        return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
    }
}
