package io.mustardusher.gate;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.admission.Admission;
import io.mustardusher.admission.Stall;
import io.mustardusher.admission.Ticket;
import io.mustardusher.budget.TokenBucket;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.Problem;
import io.mustardusher.call.Timeout;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.generated.Announcement;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.log.NodeLog;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.LoadReport;
import io.mustardusher.server.ServerLink;
import io.mustardusher.server.ServerReading;
import io.mustardusher.time.Clock;

/** Admits calls to the backend server beside the node, or refuses them before anything ran. */
public final class Gate {

    /** Class assumed where the header is absent. */
    private static final String DEFAULT_CLASS = "standard";

    private final Clock clock;

    /** Exact count of calls. */
    private final Admission admission;

    /** Calls suspected of crashing servers. */
    private final SuspectTable suspects;

    private final ServerLink.Factory servers;

    private final ScheduledExecutorService timers;

    /** Detects crashes. */
    private final CrashDetector crashes;

    private final Function<RequestHeaders, String> callNames;

    private final Stall stall;

    private final TokenBucket probes;

    private volatile Function<String, String> healthPaths = service -> "/";

    /** Time of calls at the gate. */
    private final Timer served;

    /** The backend server; {@code null} before its first announcement. */
    private volatile Target target;

    /**
     * Creates a gate without a backend server.
     *
     * @param clock       source of time
     * @param suspects    calls suspected of crashing servers
     * @param servers     opens the way to the backend server
     * @param timers      runs timers
     * @param crashes     detects crashes
     * @param admission   admits calls
     * @param stall       how far the node is behind
     * @param callNames   finds the name of a call in its headers
     * @param metrics     registry of metrics
     */
    public Gate(
            Clock clock,
            SuspectTable suspects,
            ServerLink.Factory servers,
            ScheduledExecutorService timers,
            CrashDetector crashes,
            Admission admission,
            Stall stall,
            Function<RequestHeaders, String> callNames,
            MetricRegistry metrics) {
        this.clock = clock;
        this.suspects = suspects;
        this.servers = servers;
        this.timers = timers;
        this.crashes = crashes;
        this.callNames = callNames;
        this.probes = new TokenBucket(clock, 0, 0);
        this.admission = admission;
        this.stall = stall;
        this.served = metrics.timer("gate.calls");
        metrics.gauge("gate.busy", () -> () -> load().busy());
        metrics.gauge("gate.queued", () -> () -> load().queued());
        metrics.gauge("gate.limit", () -> () -> load().limit());
    }

    /**
     * Takes over an announcement.
     *
     * @param announced the announcement
     */
    public void announced(Announcement announced) {
        Target present = target;
        if (present == null || !present.isSame(announced)) {
            target = new Target(announced, servers.open(announced));
            if (present != null) {
                present.link().close();
            }
        } else {
            target = new Target(announced, present.link());
        }
        if (announced.getState() == Announcement.State.SERVING) {
            crashes.recovered();
            admission.open();
        } else {
            admission.close();
        }
    }

    /**
     * Takes over the limits of the catalogue.
     *
     * @param queuePerSlot calls that may wait for each slot
     * @param share        share of the service's limit; 0 for none
     */
    public void limits(int queuePerSlot, int share) {
        Target present = target;
        if (present != null) {
            admission.configure((int) present.announced().getSlots(), queuePerSlot, share);
        }
    }

    /**
     * Takes over what the backend server says of its own load.
     *
     * @param reading the reading
     */
    public void observed(ServerReading reading) {
        admission.observed(reading.slownessPercent());
    }

    /** Refuses new calls. */
    public void close() {
        admission.close();
    }

    /**
     * Returns the announcement in force.
     *
     * @return the announcement, or empty before the first
     */
    public Optional<Announcement> announcement() {
        return Optional.ofNullable(target).map(Target::announced);
    }

    /**
     * Returns the load.
     *
     * @return the load
     */
    public LoadReport load() {
        return admission.load();
    }

    /**
     * Returns the calls inside.
     *
     * @return number of calls
     */
    public int inside() {
        return admission.inside();
    }

    /**
     * Handles a call.
     *
     * @param request   the call, with the headers that nodes set
     * @param cancelled completes when the caller has given up
     * @return the answer
     */
    public HttpResponse handle(HttpRequest request, CompletionStage<?> cancelled) {
        Target present = target;
        String service = request.headers().get(CallHeaders.SERVICE, "");
        if (present == null || !present.announced().getService().equals(service)) {
            return Problem.response(ResultCode.NO_SERVER, "no such backend server here");
        }
        ServiceClass serviceClass = ServiceClass.of(request.headers().get(CallHeaders.CLASS, DEFAULT_CLASS));
        if (stall.refuses(serviceClass)) {
            return refuse(ResultCode.OVERLOADED, request.headers());
        }
        long fingerprint = Long.parseUnsignedLong(request.headers().get(CallHeaders.FINGERPRINT, "0"), 16);
        SuspectTable.Judgement judgement = suspects.judge(fingerprint);
        if (judgement == SuspectTable.Judgement.REFUSE) {
            return refuse(ResultCode.SUSPECT_REFUSED, request.headers());
        }
        long now = clock.nanoTime();
        long left =
                Timeout.parse(request.headers().get(CallHeaders.TIMEOUT, "0n")).orElse(0);
        boolean alone = judgement == SuspectTable.Judgement.RUN_ALONE;
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        Dispatch dispatch =
                new Dispatch(this, present.link(), request, now + left, fingerprint, alone, answer, cancelled);
        Ticket ticket = new Ticket(
                request.headers().get(CallHeaders.OWNER, ""),
                serviceClass,
                now + left,
                alone,
                dispatch,
                wish(request.headers(), now));
        dispatch.bind(ticket);
        Runnable offer = () -> {
            admission.offer(ticket);
            if (!answer.isDone() && !dispatch.isStarted()) {
                awaitTurn(ticket, answer, request.headers(), left, cancelled);
            }
        };
        boolean hasTarget = request.headers().contains(CallHeaders.TARGET);
        if (hasTarget && admission.isStale() && probes.tryTake()) {
            present.link().probe(healthPaths.apply(service)).thenRun(offer);
        } else {
            offer.run();
        }
        return HttpResponse.of(answer);
    }

    /** Looks after calls that wait for a slow server. */
    public void poll() {
        if (!admission.isHolding()) {
            return;
        }
        Target present = target;
        if (present != null && admission.isStale() && probes.tryTake()) {
            present.link().probe(healthPaths.apply(present.announced().getService()));
        }
        admission.poll();
    }

    /**
     * Sets where servers tell their health; without it they are not asked.
     *
     * @param paths     path of each service
     * @param perSecond most probes of the server beside the node in a second
     */
    public void probeAt(Function<String, String> paths, double perSecond) {
        healthPaths = paths;
        probes.resize(perSecond, perSecond / 4);
    }

    private static Ticket.Wish wish(RequestHeaders call, long now) {
        String target = call.get(CallHeaders.TARGET);
        if (target == null) {
            return Ticket.Wish.NONE;
        }
        long left = Timeout.parse(target).orElse(0);
        return new Ticket.Wish(now + left, "1".equals(call.get(CallHeaders.MOVABLE)));
    }

    /**
     * Ends the wait of a call whose caller has given up or whose deadline passes.
     *
     * @param ticket    the call
     * @param answer    its answer
     * @param call      its headers
     * @param leftNanos time left, in nanoseconds
     * @param cancelled completes when the caller has given up
     */
    private void awaitTurn(
            Ticket ticket,
            CompletableFuture<HttpResponse> answer,
            RequestHeaders call,
            long leftNanos,
            CompletionStage<?> cancelled) {
        cancelled.thenRun(() -> giveUp(ticket, answer, call, ResultCode.CANCELLED));
        timers.schedule(
                () -> giveUp(ticket, answer, call, ResultCode.DEADLINE_UNREACHABLE), leftNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Gives up a call that still waits.
     *
     * @param ticket  the call
     * @param answer  its answer
     * @param call    its headers
     * @param code    why
     */
    private void giveUp(Ticket ticket, CompletableFuture<HttpResponse> answer, RequestHeaders call, ResultCode code) {
        if (admission.cancel(ticket)) {
            answer.complete(refuse(code, call));
        }
    }

    /**
     * Refuses a call.
     *
     * @param code why
     * @param call its headers
     * @return the answer
     */
    HttpResponse refuse(ResultCode code, RequestHeaders call) {
        LoadReport load = load();
        NodeLog.DECISIONS.gateRefused(
                callNames.apply(call),
                call.get(CallHeaders.SERVICE, ""),
                code.number(),
                load.busy(),
                load.queued(),
                load.limit());
        return Problem.response(code, "refused by the gate", load.toHeader());
    }

    /**
     * Notes that a call that was sent to the server has no answer of it.
     *
     * @param call            its headers
     * @param dispatchedNanos time at which it was sent, in nanoseconds
     * @param failure         why
     */
    void noteLost(RequestHeaders call, long dispatchedNanos, MustardusherException failure) {
        NodeLog.DECISIONS.dispatchFailed(
                callNames.apply(call),
                call.get(CallHeaders.SERVICE, ""),
                failure.code().number(),
                (clock.nanoTime() - dispatchedNanos) / Clock.NANOS_PER_MILLI,
                failure.getMessage());
    }

    /**
     * Returns the source of time.
     *
     * @return the clock
     */
    Clock clock() {
        return clock;
    }

    /**
     * Returns the exact count of calls.
     *
     * @return the admission
     */
    Admission admission() {
        return admission;
    }

    /**
     * Returns the calls suspected of crashing servers.
     *
     * @return the table
     */
    SuspectTable suspects() {
        return suspects;
    }

    /**
     * Returns the crash detector.
     *
     * @return the detector
     */
    CrashDetector crashes() {
        return crashes;
    }

    /**
     * Returns the timer of calls.
     *
     * @return the timer
     */
    Timer served() {
        return served;
    }

    /**
     * A backend server and its client.
     *
     * @param announced its announcement
     * @param link      the way to it
     */
    private record Target(Announcement announced, ServerLink link) {

        /**
         * Tells whether an announcement is of the same server.
         *
         * @param other the announcement
         * @return {@code true} if address, service and instance are the same
         */
        boolean isSame(Announcement other) {
            return announced.getHost().equals(other.getHost())
                    && announced.getPort() == other.getPort()
                    && announced.getService().equals(other.getService())
                    && Objects.equals(announced.getInstance(), other.getInstance());
        }
    }
}
