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
import io.mustardusher.health.ServiceShedding;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.log.NodeLog;
import io.mustardusher.result.ResultCode;
import io.mustardusher.retry.RetryPolicy;
import io.mustardusher.routing.TransferCost;
import io.mustardusher.time.Clock;
import io.mustardusher.time.GraceTime;

/** Routes calls to gates, with retries and hedging where these are safe. */
public final class Router {

    /** Servers and links to their gates. */
    private final ServerDirectory directory;

    /** Calls suspected of crashing servers. */
    private final SuspectTable suspects;

    /** Receives a report for each crash during which a suspect call was in flight. */
    private final Consumer<SuspectTable.SuspectReport> suspectListener;

    private final Clock clock;

    private final RetryPolicyFactory policyFactory;

    private final StatedConditions statedConditions = new StatedConditions();

    private final Map<String, TransferCost> transferCosts = new ConcurrentHashMap<>();

    /** Retry policies by service. */
    private final Map<ServiceName, RetryPolicy> retryPolicies = new ConcurrentHashMap<>();

    /** Services that refuse calls as a whole. */
    private final Map<ServiceName, ServiceShedding> shedding = new ConcurrentHashMap<>();

    /** Hedging budgets by service. */
    private final Map<ServiceName, RatioBudget> hedgeBudgets = new ConcurrentHashMap<>();

    private final GraceTime graceTime = new GraceTime();

    private final ScheduledExecutorService timers;

    private final MetricRegistry metrics;

    private final Map<AnswerKey, Counter> answers = new ConcurrentHashMap<>();

    /** Calls to route. Retries by this entry are not counted. */
    private final Meter calls;

    /** Retries by this entry. */
    private final Meter retries;

    /**
     * Creates a router.
     *
     * @param directory       servers and links to their gates
     * @param suspects        calls suspected of crashing servers
     * @param suspectListener receives a report for each crash during which a suspect call was in flight
     * @param policyFactory   creates the retry policy of a service
     * @param timers          executor of timers
     * @param clock           source of time
     * @param metrics         registry of metrics
     */
    public Router(
            ServerDirectory directory,
            SuspectTable suspects,
            Consumer<SuspectTable.SuspectReport> suspectListener,
            RetryPolicyFactory policyFactory,
            ScheduledExecutorService timers,
            Clock clock,
            MetricRegistry metrics) {
        this.directory = directory;
        this.suspects = suspects;
        this.suspectListener = suspectListener;
        this.policyFactory = policyFactory;
        this.timers = timers;
        this.clock = clock;
        this.metrics = metrics;
        this.calls = metrics.meter("entry.calls");
        this.retries = metrics.meter("entry.resends");
    }

    /**
     * Begins the grace time of the node, in which calls are sent to gates only if they end before it.
     *
     * @param endNanos end of the grace time, in nanoseconds
     */
    void stop(long endNanos) {
        graceTime.begin(endNanos);
    }

    /**
     * Returns whether a call may be sent to a gate.
     *
     * @param deadlineNanos deadline of the call, in nanoseconds
     * @return {@code true} unless the node stops before
     */
    boolean maySend(long deadlineNanos) {
        return graceTime.permits(deadlineNanos);
    }

    /**
     * Routes a call to a gate, without a line that tells how it ended.
     *
     * @param call       the call
     * @param body       body of the call
     * @param idempotent whether the call may run more than once
     * @param cancelled  completes when the caller has cancelled the call
     * @return response for the caller
     */
    HttpResponse route(Call call, CallBody body, boolean idempotent, CompletionStage<?> cancelled) {
        return route(call, body, idempotent, cancelled, CallTrace.Off.INSTANCE);
    }

    /**
     * Routes a call to a gate.
     *
     * @param call       the call
     * @param body       body of the call
     * @param idempotent whether the call may run more than once
     * @param cancelled  completes when the caller has cancelled the call
     * @param trace      records what happens to the call
     * @return response for the caller
     */
    HttpResponse route(Call call, CallBody body, boolean idempotent, CompletionStage<?> cancelled, CallTrace trace) {
        calls.mark();
        trace.routed(call, idempotent);
        RetryPolicy policy = retryPolicies.computeIfAbsent(call.service(), policyFactory::create);
        policy.budget().earn(call.entry().retryPercent(), call.serviceClass());
        int hedgePercent = call.entry().hedgePercent();
        if (hedgePercent == 0 || !idempotent || !body.isReplayable() || call.retry()) {
            return new RoutedCall(this, call, body, idempotent, policy, cancelled, trace).start();
        }
        RatioBudget budget = hedgeBudgets.computeIfAbsent(call.service(), name -> new RatioBudget());
        budget.earn(hedgePercent);
        Function<CompletionStage<?>, HedgedCall.Attempt> attempts =
                cancelStage -> new RoutedCall(this, call, body, true, policy, cancelStage, trace);
        return new HedgedCall(attempts, budget, timers, cancelled).start();
    }

    /**
     * Returns the network traffic statistics of a route.
     *
     * @param route name of the route
     * @return traffic of the calls of the route
     */
    TransferCost transferCost(String route) {
        return transferCosts.computeIfAbsent(route, name -> new TransferCost());
    }

    /**
     * Returns whether a service refuses calls as a whole.
     *
     * @param service name of the service
     * @return the state of the service
     */
    ServiceShedding shedding(ServiceName service) {
        return shedding.computeIfAbsent(
                service,
                name -> new ServiceShedding(clock, (refuses, refusing, used) -> {
                    NodeLog.LOG.serviceRefuses(name.value(), refuses, refusing, used);
                    metrics.counter(refuses ? "entry.refusingServices.begun" : "entry.refusingServices.ended")
                            .inc();
                }));
    }

    /**
     * Returns what backend servers stated in their answers.
     *
     * @return the conditions
     */
    StatedConditions statedConditions() {
        return statedConditions;
    }

    /**
     * Returns the servers and the links to their gates.
     *
     * @return the directory
     */
    ServerDirectory directory() {
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

    /** Counts a retry. */
    void countRetry() {
        retries.mark();
    }

    /**
     * Counts an answer. Both attempts of a hedged call are counted.
     *
     * @param route  name of the route
     * @param result how the attempt ended: {@code ok}, {@code client_error}, {@code server_error} or the label of a
     *     result code
     */
    void countAnswer(String route, String result) {
        answers.computeIfAbsent(new AnswerKey(route, result), this::createCounter)
                .inc();
    }

    private Counter createCounter(AnswerKey answer) {
        return metrics.counter("entry.answers." + answer.route.replace('.', '_') + "." + answer.result);
    }

    /**
     * Records that a call was in flight when its server crashed.
     *
     * @param fingerprint fingerprint of the call
     * @param crashId     id of the crash
     */
    void recordSuspect(long fingerprint, long crashId) {
        suspectListener.accept(new SuspectTable.SuspectReport(fingerprint, crashId));
    }

    /**
     * Decides whether a call is rejected because it is suspected of crashing servers.
     *
     * @param fingerprint fingerprint of the call
     * @return {@link ResultCode#SUSPECT_REFUSED}, or {@code null} if the call is not rejected
     */
    ResultCode rejection(long fingerprint) {
        boolean rejected = suspects.actionFor(fingerprint) == SuspectTable.Action.REJECT;
        return rejected ? ResultCode.SUSPECT_REFUSED : null;
    }

    private record AnswerKey(String route, String result) {}
}
