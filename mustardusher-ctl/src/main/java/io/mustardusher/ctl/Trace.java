package io.mustardusher.ctl;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import io.mustardusher.result.ResultCode;

/**
 * What the logs of all nodes tell of one call.
 *
 * @param lines events of the call by their time
 */
record Trace(List<LogLine> lines) {

    /**
     * Picks the events of a call.
     *
     * @param call name of the call
     * @param all  events of all nodes
     * @return the trace; without lines if the logs do not know the call
     */
    static Trace of(String call, List<LogLine> all) {
        return new Trace(all.stream()
                .filter(line -> line.call().filter(call::equals).isPresent())
                .toList());
    }

    /**
     * Names the cause of how the call ended.
     *
     * @return one sentence, and what the gates said where they refused
     */
    String cause() {
        if (lines.isEmpty()) {
            return "no node logged the call: it never arrived, or its lines were dropped";
        }
        Optional<LogLine> answered = last(LogLine.ANSWERED);
        Optional<LogLine> failed = last(LogLine.NOT_ROUTED);
        if (failed.isPresent()) {
            return failure(failed.get());
        }
        if (answered.isPresent()) {
            int status = answered.get().status();
            return answered.get().isServerFailure()
                    ? "the backend server itself failed the call with " + status
                    : "a backend server answered with " + status;
        }
        return "the call has no end in these logs: its entry ended, or its caller left before an answer";
    }

    private String failure(LogLine end) {
        String reason = end.code()
                .map(code -> code.number() + " " + code.name() + ": " + code.title() + " " + code.advice())
                .orElse("a code that is not in this version's list");
        Map<ResultCode, Long> refusals = new LogSummary(lines).codes(LogLine.GATE_REFUSED);
        Optional<LogLine> lost = last(LogLine.SERVER_LOST);
        if (lost.isPresent()) {
            String seen = lost.get().text();
            reason += " Its last gate saw: " + seen.substring(seen.lastIndexOf(": ") + 2) + ".";
        }
        if (refusals.isEmpty()) {
            return reason;
        }
        return reason + " Gates refused: "
                + refusals.entrySet().stream()
                        .map(entry ->
                                entry.getKey().number() + " " + entry.getKey().name() + " x" + entry.getValue())
                        .collect(Collectors.joining(", "));
    }

    private Optional<LogLine> last(int event) {
        return lines.stream().filter(line -> line.event() == event).reduce((first, second) -> second);
    }
}
