package review;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** What upstreams did with each request and what its client got, and the rules that the two break. */
class AnswerLedger {

    /** One arrival of a request at an upstream. */
    static final class Arrival {

        final String upstream;
        final int connection;
        final int number;

        /** Whether the upstream began to work on the request. */
        volatile boolean ran;

        /** Status of the answer that the upstream gave to this arrival; 0 if it gave none that is whole. */
        volatile int status;

        volatile byte[] body = new byte[0];

        /** Time of that answer, as {@link System#nanoTime()}, if the upstream states it. */
        volatile long answeredNanos;

        /** Time at which the upstream ends its work on the request, as {@link System#nanoTime()}, if it has a limit. */
        volatile long limitNanos;

        /** Answers that the upstream wrote to this arrival, or tried to. */
        final Queue<Written> written = new ConcurrentLinkedQueue<>();

        Arrival(String upstream, int connection, int number) {
            this.upstream = upstream;
            this.connection = connection;
            this.number = number;
        }

        String describe() {
            return "#" + number + " " + upstream + " connection " + connection + (ran ? " ran, " : " not run, ")
                    + (status == 0 ? "no whole answer" : "answered " + status);
        }
    }

    /**
     * An answer that was written to a connection, at a time as {@link System#nanoTime()}; whether it is the second to
     * its run, and whether the node had not ended the connection.
     */
    record Written(long nanos, int status, boolean second, boolean open) {}

    /** Notes that a client sends a request once more under the same id, so that a refusal may follow a run. */
    void noteRepeated(String id) {
        repeated.add(id);
        count(true, "requests repeated by clients");
    }

    record Received(String machine, String id, boolean idempotent, Client.Answer answer) {}

    final Record record;
    private final Queue<Received> received = new ConcurrentLinkedQueue<>();
    private final Map<String, List<Arrival>> arrivals = new ConcurrentHashMap<>();
    private final Set<String> repeated = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> counts = new TreeMap<>();

    AnswerLedger(Record record) {
        this.record = record;
    }

    Arrival arrive(String id, String upstream, int connection) {
        List<Arrival> known = arrivals.computeIfAbsent(id, key -> new ArrayList<>());
        synchronized (known) {
            boolean sameUpstream = known.stream().anyMatch(other -> other.upstream.equals(upstream));
            boolean sameConnection = known.stream()
                    .anyMatch(other -> other.upstream.equals(upstream) && other.connection == connection);
            Arrival arrival = new Arrival(upstream, connection, known.size() + 1);
            known.add(arrival);
            count(known.size() > 1, "ids sent again");
            count(sameUpstream, "ids sent again to the same upstream");
            count(sameConnection, "ids sent again over the same connection");
            return arrival;
        }
    }

    /** Notes the answer that a client got. */
    void noteAnswer(String machine, String id, boolean idempotent, Client.Answer answer) {
        received.add(new Received(machine, id, idempotent, answer));
    }

    /** Compares the answers that clients got with what the upstreams did. Called when no request is at work. */
    void judge() {
        received.forEach(this::judge);
    }

    private void judge(Received taken) {
        List<Arrival> known = arrivals.getOrDefault(taken.id, List.of());
        Client.Answer answer = taken.answer;
        int status = answer.status();
        long runs = known.stream().filter(arrival -> arrival.ran).count();
        boolean success = status / 100 == 2;
        boolean refusal = status == 429 || status == 503 || status == 408 || status == 421;
        boolean own = known.stream()
                .anyMatch(arrival -> arrival.status == status && Arrays.equals(arrival.body, answer.body()));
        boolean signed = answer.head() != null && answer.head().field("X-Server-Signature") != null;
        count(true, "answers");
        count(success, "successes");
        count(refusal, "refusals");
        count(status <= 0, "lost connections");
        breaks(success ? !own || !signed : signed && !own, "MIXED", taken, known);
        boolean refusedRun = refusal && runs > 0 && !repeated.contains(taken.id);
        breaks(refusedRun, taken.idempotent ? "REFUSED idempotent" : "REFUSED", taken, known);
        breaks(!taken.idempotent && runs > 1, "TWICE", taken, known);
        judged(taken, known);
    }

    /** Called for each answer that has been judged, with the arrivals of its request. */
    void judged(Received taken, List<Arrival> known) {}

    /** Called for each rule that an answer broke. */
    void broken(String rule, Received taken, List<Arrival> known) {}

    private void breaks(boolean broken, String rule, Received taken, List<Arrival> known) {
        if (broken) {
            count(true, rule);
            StringBuilder runs = new StringBuilder();
            known.forEach(arrival -> runs.append("; ").append(arrival.describe()));
            record.add("%s: client on %s: %s got %s%s", rule, taken.machine, taken.id, taken.answer.describe(), runs);
            broken(rule, taken, known);
        }
    }

    /** Adds to a counter, also if by nothing, so that it is listed. */
    void count(boolean happened, String what) {
        synchronized (counts) {
            AtomicInteger counter = counts.computeIfAbsent(what, key -> new AtomicInteger());
            if (happened) {
                counter.incrementAndGet();
            }
        }
    }

    int counted(String what) {
        synchronized (counts) {
            AtomicInteger counter = counts.get(what);
            return counter == null ? 0 : counter.get();
        }
    }

    boolean isBroken() {
        return counted("MIXED") + counted("REFUSED") + counted("REFUSED idempotent") + counted("TWICE") > 0;
    }

    String summary() {
        synchronized (counts) {
            StringBuilder text = new StringBuilder();
            counts.forEach((what, counter) ->
                    text.append(text.isEmpty() ? "" : ", ").append(what).append(" ").append(counter));
            return text.toString();
        }
    }
}
