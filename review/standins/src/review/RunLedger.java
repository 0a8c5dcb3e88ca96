package review;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Tells apart where an answer that is not due came from, and which successes stand beside failures of other runs. */
final class RunLedger extends AnswerLedger {

    /** Ids of the requests whose answers broke a rule. */
    final Set<String> brokenIds = new TreeSet<>();

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
        if (known.size() == 1) {
            return kind + "second answer of the only run";
        }
        boolean same =
                known.stream().anyMatch(other -> other != named && other.upstream.equals(named.upstream));
        return kind + (same ? "another run at the same upstream" : "a run beside one at another upstream");
    }

    @Override
    void judged(Received taken, List<Arrival> known) {
        Client.Answer answer = taken.answer();
        if (answer.status() / 100 != 2) {
            return;
        }
        for (Arrival own : known) {
            if (own.status == answer.status() && Arrays.equals(own.body, answer.body())) {
                count(anyOther(known, own, true, true), "OBSERVED success beside a failed run at the same upstream");
                count(anyOther(known, own, false, true), "OBSERVED success beside a failed run at another upstream");
                count(anyOther(known, own, true, false), "OBSERVED success beside a refusal by the same upstream");
                count(anyOther(known, own, false, false), "OBSERVED success beside a refusal by another upstream");
                return;
            }
        }
    }

    private static boolean anyOther(List<Arrival> known, Arrival own, boolean sameUpstream, boolean ran) {
        return known.stream()
                .anyMatch(other -> other != own
                        && other.upstream.equals(own.upstream) == sameUpstream
                        && other.ran == ran
                        && other.status >= 400);
    }
}
