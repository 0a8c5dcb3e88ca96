package review;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;

/** Tells apart where an answer that is not due came from, and which successes stand beside failures of other runs. */
final class RunLedger extends AnswerLedger {

    private static final String FOREIGN_SIGNATURE = "MIXED, signature of another run";

    private static final String UNASKED_ANSWER = "MIXED, bytes without a request";
    private static final String FOREIGN_BODY = "UNASKED, another body";

    /** Ids of the requests whose answers broke a rule. */
    final Set<String> brokenIds = new ConcurrentSkipListSet<>();

    /** Kinds of the requests that succeeded, by id. */
    private final Map<String, String> succeeded = new HashMap<>();

    RunLedger(Record record) {
        super(record);
    }

    /** Returns the text by which an answer names the run that it belongs to, also if it is a second answer. */
    static String runName(String id, Arrival arrival) {
        return "run " + arrival.number + " of " + id + " at " + arrival.upstream + ";";
    }

    @Override
    void broken(String rule, Received taken, List<Arrival> known) {
        brokenIds.add(taken.id());
        if (rule.equals("MIXED")) {
            count(true, "MIXED, " + origin(taken, known));
        }
    }

    private static String origin(Received taken, List<Arrival> known) {
        String text = new String(taken.answer().body(), StandardCharsets.ISO_8859_1);
        Arrival named = known.stream()
                .filter(arrival -> text.startsWith(runName(taken.id(), arrival)))
                .findFirst()
                .orElse(null);
        String kind = taken.answer().status() / 100 == 2 ? "success: " : "failure: ";
        if (named == null) {
            return kind + (text.startsWith("run ") ? "another id" : "no run");
        }
        if (text.contains("HTTP/1.")) {
            return kind + "bytes of two answers";
        }
        if (known.size() == 1) {
            return kind + "second answer of the only run";
        }
        boolean same =
                known.stream().anyMatch(other -> other != named && other.upstream.equals(named.upstream));
        return kind + (same ? "another run at the same upstream" : "a run beside one at another upstream");
    }

    @Override
    boolean isBroken() {
        return super.isBroken() || counted(FOREIGN_SIGNATURE) + counted(FOREIGN_BODY) + counted(UNASKED_ANSWER) > 0;
    }

    /** Notes that a client got bytes while it awaited no answer. */
    void noteUnasked(String machine) {
        count(true, UNASKED_ANSWER);
        record.add("%s: client on %s", UNASKED_ANSWER, machine);
    }

    /** Notes that the body of a request is not the one that its client sent. */
    void noteForeignBody(String id) {
        count(true, FOREIGN_BODY);
        brokenIds.add(id);
        record.add("%s: %s", FOREIGN_BODY, id);
    }

    @Override
    void judged(Received taken, List<Arrival> known) {
        Client.Answer answer = taken.answer();
        Arrival own = known.stream()
                .filter(arrival -> arrival.status == answer.status() && Arrays.equals(arrival.body, answer.body()))
                .findFirst()
                .orElse(null);
        if (own == null || own.body.length == 0) {
            return;
        }
        String signature = answer.head().field("X-Server-Signature");
        if (!Upstream.signature(own.upstream, taken.id()).equals(signature)) {
            count(true, FOREIGN_SIGNATURE);
            brokenIds.add(taken.id());
        }
        if (answer.status() / 100 == 2) {
            observe(known, own);
            String kind = taken.id().contains(".") ? "nested" : taken.idempotent() ? "repeatable" : "once only";
            succeeded.put(taken.id(), kind);
            compare(known, own, kind);
        }
    }

    /** Counts successes of requests that gates had returned before. */
    void compareReturned(Set<String> returnedIds) {
        for (String kind : List.of("repeatable", "nested", "once only")) {
            count(false, "COMPARED " + kind + ": a gate returned the call");
        }
        returnedIds.stream()
                .map(succeeded::get)
                .filter(Objects::nonNull)
                .forEach(kind -> count(true, "COMPARED " + kind + ": a gate returned the call"));
    }

    /** Counts successes that a comparison with other answers to the same id would take for wrong ones. */
    private void compare(List<Arrival> known, Arrival own, String kind) {
        count(true, "COMPARED " + kind);
        List<Arrival> others = known.stream()
                .filter(other -> !other.upstream.equals(own.upstream) && other.status >= 400)
                .toList();
        count(others.stream().anyMatch(other -> other.ran), "COMPARED " + kind + ": another upstream failed");
        count(others.stream().anyMatch(other -> !other.ran), "COMPARED " + kind + ": another upstream refused");
        boolean unwritten = own.written.stream().anyMatch(written -> written.second() && !written.open());
        count(unwritten, "COMPARED " + kind + ": its second answer met an ended connection");
        Arrival latest = own;
        Written last = null;
        for (Arrival arrival : known) {
            for (Written written : arrival.written) {
                if (written.open() && (last == null || written.nanos() > last.nanos())) {
                    last = written;
                    latest = arrival;
                }
            }
        }
        for (String where : List.of("the same", "another")) {
            for (boolean second : new boolean[] {false, true}) {
                boolean failed = last != null
                        && last.status() >= 400
                        && last.second() == second
                        && where.equals(latest.upstream.equals(own.upstream) ? "the same" : "another");
                String by = " is last as a " + (second ? "second" : "first") + " answer of " + where + " upstream";
                count(failed && last.status() != 503, "COMPARED " + kind + ": a failure" + by);
                count(failed && last.status() == 503, "COMPARED " + kind + ": a refusal" + by);
            }
        }
    }

    /** Counts what breaks no rule, but might be taken for a success of a request that has failed. */
    private void observe(List<Arrival> known, Arrival own) {
        for (boolean same : new boolean[] {true, false}) {
            List<Arrival> others = known.stream()
                    .filter(other -> other != own && other.upstream.equals(own.upstream) == same && other.status >= 400)
                    .toList();
            String where = same ? "at the same upstream" : "at another upstream";
            count(others.stream().anyMatch(other -> !other.ran), "OBSERVED success beside a refusal " + where);
            count(
                    others.stream().anyMatch(other -> other.ran && other.answeredNanos <= own.answeredNanos),
                    "OBSERVED success behind a failed run " + where);
            count(
                    others.stream().anyMatch(other -> other.ran && other.answeredNanos > own.answeredNanos),
                    "OBSERVED success before a failed run " + where);
        }
    }
}
