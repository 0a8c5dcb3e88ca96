package io.mustardusher.ctl;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import io.mustardusher.result.ResultCode;

/**
 * The events that several nodes logged for one call.
 *
 * @param lines events of the call, ordered by time
 */
record Trace(List<LogLine> lines) {

    /**
     * Creates the trace of a call from the logs of several nodes.
     *
     * @param call name of the call
     * @param all  events of all nodes, ordered by time
     * @return the trace; without lines if no event names the call
     */
    static Trace of(String call, List<LogLine> all) {
        return new Trace(all.stream()
                .filter(line -> line.call().filter(call::equals).isPresent())
                .toList());
    }

    /**
     * Describes why the call ended as it did.
     *
     * @return the cause, followed by the failure its last gate logged and the codes with which gates refused it, if any
     */
    String cause() {
        return last(LogLine.ENDED)
                .flatMap(LogLine::given)
                .map(given -> ending() + "; its caller got " + given)
                .orElseGet(this::ending);
    }

    private String ending() {
        if (lines.isEmpty()) {
            return "no node logged the call: it never arrived, or its lines were dropped";
        }
        Optional<LogLine> answered = last(LogLine.ANSWERED);
        Optional<LogLine> callFailed = last(LogLine.CALL_FAILED);
        if (callFailed.isPresent()) {
            return failureCause(callFailed.get());
        }
        if (answered.isPresent()) {
            int status = answered.get().status();
            return answered.get().isServerFailure()
                    ? "the backend server itself failed the call with " + status
                    : "a backend server answered with " + status;
        }
        return "the call has no end in these logs: its entry ended, or its caller left before an answer";
    }

    private String failureCause(LogLine callFailed) {
        String reason = callFailed
                .code()
                .map(code -> code.number() + " " + code.name() + ": " + code.title() + " " + code.advice())
                .orElse("a code that is not in this version's list");
        Map<ResultCode, Long> refusals = new LogSummary(lines).countsByCode(LogLine.GATE_REFUSED);
        Optional<LogLine> dispatchFailed = last(LogLine.DISPATCH_FAILED);
        if (dispatchFailed.isPresent()) {
            String text = dispatchFailed.get().text();
            reason += " Its last gate saw: " + text.substring(text.lastIndexOf(": ") + 2) + ".";
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
