package io.mustardusher.entry;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpResponse;
import io.mustardusher.budget.RatioBudget;
import io.mustardusher.call.Call;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.result.ResultCode;
import io.mustardusher.retry.RetryPolicy;
import io.mustardusher.routing.Transfer;
import io.mustardusher.time.Clock;

/** Brings calls to gates: chooses, sends, and sends again where that is safe. */
public final class Router {

    /** Servers and ways to their gates. */
    private final Directory directory;

    /** Calls suspected of crashing servers. */
    private final SuspectTable suspects;

    /** Told of each new suspect. */
    private final Consumer<SuspectTable.SuspectReport> sightings;

    private final Clock clock;

    private final RetryPolicies policies;

    private final Map<String, Transfer> transfers = new ConcurrentHashMap<>();

    /** Retry policies by service. */
    private final Map<ServiceName, RetryPolicy> retries = new ConcurrentHashMap<>();

    /** Budgets of hedged calls by service. */
    private final Map<ServiceName, RatioBudget> hedges = new ConcurrentHashMap<>();

    private final ScheduledExecutorService timers;

    private final MetricRegistry metrics;

    private final Map<Answer, Counter> answers = new ConcurrentHashMap<>();

    /** Fresh calls. */
    private final Meter calls;

    /** Further sends. */
    private final Meter resends;

    /**
     * Creates a router.
     *
     * @param directory servers and ways to their gates
     * @param suspects  calls suspected of crashing servers
     * @param sightings told of each new suspect
     * @param policies  makes the retry policy of a service
     * @param timers    runs timers
     * @param clock     source of time
     * @param metrics   registry of metrics
     */
    public Router(
            Directory directory,
            SuspectTable suspects,
            Consumer<SuspectTable.SuspectReport> sightings,
            RetryPolicies policies,
            ScheduledExecutorService timers,
            Clock clock,
            MetricRegistry metrics) {
        this.directory = directory;
        this.suspects = suspects;
        this.sightings = sightings;
        this.policies = policies;
        this.timers = timers;
        this.clock = clock;
        this.metrics = metrics;
        this.calls = metrics.meter("entry.calls");
        this.resends = metrics.meter("entry.resends");
    }

    /**
     * Brings a call to a gate.
     *
     * @param call       the call
     * @param body       its body
     * @param idempotent whether it may run more than once
     * @param cancelled  completes when the caller has given up
     * @return the answer
     */
    HttpResponse route(Call call, CallBody body, boolean idempotent, CompletionStage<?> cancelled) {
        calls.mark();
        RetryPolicy policy = retries.computeIfAbsent(call.service(), policies::create);
        policy.budget().earn(call.entry().retryPercent());
        int hedgePercent = call.entry().hedgePercent();
        if (hedgePercent == 0 || !idempotent || !body.isReplayable() || call.resent()) {
            return new RoutedCall(this, call, body, idempotent, policy, cancelled).start();
        }
        RatioBudget budget = hedges.computeIfAbsent(call.service(), name -> new RatioBudget());
        budget.earn(hedgePercent);
        Function<CompletionStage<?>, RoutedCall> sends = given -> new RoutedCall(this, call, body, true, policy, given);
        return new HedgedCall(sends, budget, timers, cancelled).start();
    }

    /**
     * Returns what the calls of a route move.
     *
     * @param route name of the route
     * @return what they move
     */
    Transfer transfer(String route) {
        return transfers.computeIfAbsent(route, name -> new Transfer());
    }

    /**
     * Returns the servers and the ways to their gates.
     *
     * @return the directory
     */
    Directory directory() {
        return directory;
    }

    /**
     * Returns the source of time.
     *
     * @return the clock
     */
    Clock clock() {
        return clock;
    }

    /** Counts a further send. */
    void countResend() {
        resends.mark();
    }

    /**
     * Counts an answer. A hedged call counts both of its sends.
     *
     * @param route  name of its route
     * @param result how it ended: {@code ok}, {@code server_error} or the name of a code
     */
    void countAnswer(String route, String result) {
        answers.computeIfAbsent(new Answer(route, result), this::counter).inc();
    }

    private Counter counter(Answer answer) {
        return metrics.counter("entry.answers." + answer.route.replace('.', '_') + "." + answer.result);
    }

    /**
     * Notes that a call was in flight in a crash.
     *
     * @param fingerprint fingerprint of the call
     * @param crash       number of the crash
     */
    void suspect(long fingerprint, long crash) {
        sightings.accept(new SuspectTable.SuspectReport(fingerprint, crash));
    }

    /**
     * Tells whether a call is refused for the crashes it was seen in.
     *
     * @param fingerprint fingerprint of the call
     * @return {@link ResultCode#SUSPECT_REFUSED}, or {@code null}
     */
    ResultCode refusal(long fingerprint) {
        boolean refused = suspects.actionFor(fingerprint) == SuspectTable.Action.REJECT;
        return refused ? ResultCode.SUSPECT_REFUSED : null;
    }

    private record Answer(String route, String result) {}
}
