package io.mustardusher.gate;

import java.util.EnumSet;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.mustardusher.admission.Admission;
import io.mustardusher.admission.ColdPolicy;
import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.admission.RetryDelay;
import io.mustardusher.admission.Ticket;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.PrecedenceHeaders;
import io.mustardusher.call.Problem;
import io.mustardusher.call.Timeout;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.generated.Announcement;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.instance.ConditionsTracker;
import io.mustardusher.instance.InstanceConditions;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.log.DecisionLog;
import io.mustardusher.log.LoggedName;
import io.mustardusher.log.NodeLog;
import io.mustardusher.nested.RunningCall;
import io.mustardusher.nested.RunningCalls;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.LoadReport;
import io.mustardusher.server.ReportedServerLoad;
import io.mustardusher.server.ServerLink;
import io.mustardusher.time.Clock;

/** Admits calls to the backend server beside the node, or rejects them without running them. */
public final class Gate {

    /** Service class of a call without the class header. */
    private static final String DEFAULT_CLASS = "standard";

    /** Rejections after which callers return when the queue is shorter. */
    private static final Set<ResultCode> LACK_OF_ROOM =
            EnumSet.of(ResultCode.OVERLOADED, ResultCode.LIMIT_REACHED, ResultCode.DEADLINE_UNREACHABLE);

    /**
     * Time after which a caller returns whose call was refused because of its nested calls, in milliseconds; as long as
     * the nested calls that showed it keep half of their weight.
     */
    private static final long DEPENDENCY_RETRY_MILLIS = 1_000;

    private final Clock clock;

    private final Admission admission;

    /** Calls suspected of crashing servers. */
    private final SuspectTable suspects;

    private final ServerLink.Factory links;

    private final ScheduledExecutorService timers;

    private final CrashDetector crashDetector;

    private final Function<RequestHeaders, String> callNames;

    private final EventLoopDelay eventLoopDelay;

    private final ServerProber prober;

    /** Calls at the backend server, by which the entry recognises their nested calls. */
    private final RunningCalls runningCalls;

    /** What the backend server states in its answers. */
    private final ConditionsTracker conditions = new ConditionsTracker();

    /** Receives the instance of a server that states that it is leaving. */
    private volatile Consumer<String> leavingListener = instance -> {};

    private final MetricRegistry metrics;

    private final ColdnessLog coldnessLog;

    private final Timer callTimer;

    /** Calls that were refused because their nested calls would be. */
    private final Counter rootsRefused;

    /** The backend server; {@code null} before its first announcement. */
    private volatile Backend backend;

    /**
     * Creates a gate without a backend server.
     *
     * @param clock          source of time
     * @param suspects       calls suspected of crashing servers
     * @param links          opens links to the announced backend servers
     * @param timers         schedules the removal of queued calls at their deadlines
     * @param crashDetector  detects crashes of the backend server
     * @param admission      queues calls and decides when they are dispatched
     * @param eventLoopDelay decides which calls are rejected while the node itself is delayed
     * @param callNames      returns the name of a call for the log, from its headers
     * @param metrics        registry of metrics
     */
    public Gate(
            Clock clock,
            SuspectTable suspects,
            ServerLink.Factory links,
            ScheduledExecutorService timers,
            CrashDetector crashDetector,
            Admission admission,
            EventLoopDelay eventLoopDelay,
            Function<RequestHeaders, String> callNames,
            MetricRegistry metrics) {
        this.clock = clock;
        this.suspects = suspects;
        this.links = links;
        this.timers = timers;
        this.crashDetector = crashDetector;
        this.callNames = callNames;
        this.prober = new ServerProber(clock, admission, conditions);
        this.runningCalls = GateReports.createRunningCalls(clock, metrics);
        this.admission = admission;
        this.eventLoopDelay = eventLoopDelay;
        this.metrics = metrics;
        this.coldnessLog = new ColdnessLog(metrics);
        this.callTimer = metrics.timer("gate.calls");
        this.rootsRefused = metrics.counter("gate.rootsRefused");
        metrics.gauge("gate.busy", () -> () -> load().busy());
        metrics.gauge("gate.queued", () -> () -> load().queued());
        metrics.gauge("gate.limit", () -> () -> load().limit());
        metrics.gauge("gate.cold", () -> () -> admission.isCold() ? 1 : 0);
        metrics.gauge("gate.callsPerSecondLimit", () -> this::callsPerSecondLimit);
        metrics.gauge(
                "gate.slots",
                () -> () -> announcement().map(Announcement::getSlots).orElse(0L));
    }

    /**
     * Applies an announcement of the backend server: opens a link if the server is a new one, and admits or rejects
     * calls according to its state.
     *
     * @param announcement the announcement
     */
    public void applyAnnouncement(Announcement announcement) {
        Backend current = backend;
        conditions.setInstance(announcement.getInstance());
        admission.limitRate(conditions.current().maxCallsPerSecond());
        boolean newServer = current == null || !current.isSameServer(announcement);
        if (newServer) {
            backend = new Backend(announcement, links.open(announcement));
            if (current != null) {
                current.link().close();
            }
        } else {
            backend = new Backend(announcement, current.link());
        }
        long coldMillis = announcement.getColdMillis();
        admission.recordAnnouncement(
                newServer, coldMillis < 0 ? OptionalLong.empty() : OptionalLong.of(coldMillis * Clock.NANOS_PER_MILLI));
        coldnessLog.update(admission.isCold(), announcement.getInstance());
        if (announcement.getState() == Announcement.State.SERVING) {
            crashDetector.recordRecovery();
            admission.open();
        } else {
            admission.close();
        }
    }

    /**
     * Configures the limits of this gate. Has no effect before the first announcement.
     *
     * @param queuePerSlot maximum number of queued calls per slot of the backend server
     * @param share        this gate's share of the limit of the service, in calls; 0 for no such limit
     */
    public void configureLimits(int queuePerSlot, int share) {
        Backend current = backend;
        if (current != null) {
            admission.configure((int) current.announcement().getSlots(), queuePerSlot, share);
        }
    }

    /**
     * Records the load that the backend server reports.
     *
     * @param load load of the backend server
     */
    public void recordServerLoad(ReportedServerLoad load) {
        admission.updateServerLoad(load.running() + load.queued(), load.slownessPercent());
    }

    /**
     * Records the conditions that the backend server states in an answer.
     *
     * @param instance  identifier of the instance that answered
     * @param stated    the conditions
     * @param sentNanos time at which the call was sent to the server, in nanoseconds
     */
    public void recordConditions(String instance, ServerConditions stated, long sentNanos) {
        if (conditions.recordAnswer(instance, stated, sentNanos, clock.nanoTime())) {
            applyConditions(instance);
        }
    }

    /**
     * Sets how calls are paced while the backend server is cold.
     *
     * @param policy the policy
     */
    public void configureColdStart(ColdPolicy policy) {
        admission.onStatementNeeded(this::requestStatement);
        admission.configureColdStart(policy);
    }

    /**
     * Records the answer of the backend server to a health request.
     *
     * @param coldMillis time for which the server is still cold, in milliseconds; 0 if it is not
     * @param sentNanos  time at which the request was sent, in nanoseconds
     */
    public void recordHealth(long coldMillis, long sentNanos) {
        admission.recordHealth(coldMillis * Clock.NANOS_PER_MILLI, sentNanos);
        coldnessLog.update(
                admission.isCold(),
                announcement().map(Announcement::getInstance).orElse("-"));
    }

    private void requestStatement() {
        Backend current = backend;
        if (current != null) {
            prober.requestStatement(current.link(), current.announcement().getService());
        }
    }

    private void recordHint(InstanceConditions received) {
        if (conditions.recordHint(received, clock.nanoTime())) {
            applyConditions(received.instance());
        }
    }

    private void applyConditions(String instance) {
        ServerConditions current = conditions.current();
        NodeLog.LOG.serverStatedConditions(instance, current.maxCallsPerSecond(), current.leaving());
        admission.limitRate(current.maxCallsPerSecond());
        if (current.leaving()) {
            leavingListener.accept(instance);
        }
    }

    /**
     * Sets whether the failure domain of this gate is evacuated. New and queued calls are then rejected; calls at the
     * backend server continue.
     *
     * @param evacuated {@code true} if it is
     */
    public void setEvacuated(boolean evacuated) {
        admission.setEvacuated(evacuated);
    }

    /** Rejects new calls; calls in flight continue. */
    public void close() {
        admission.close();
    }

    /**
     * Rejects new calls and those in flight that have not reached the backend server, so that other gates can take them
     * at once. Calls at the backend server continue.
     *
     * @param endNanos time at which the node ends, in nanoseconds of its clock
     */
    public void stop(long endNanos) {
        admission.stop();
        Backend current = backend;
        if (current != null) {
            current.link().stop(endNanos);
        }
    }

    /**
     * Returns the announcement applied last.
     *
     * @return the announcement, or empty before the first
     */
    public Optional<Announcement> announcement() {
        return Optional.ofNullable(backend).map(Backend::announcement);
    }

    /**
     * Returns the load of this gate.
     *
     * @return the load, as reported to the nodes that send calls here
     */
    public LoadReport load() {
        return admission.load();
    }

    /**
     * Returns the number of calls in flight: queued or at the backend server.
     *
     * @return number of calls
     */
    public int inFlight() {
        return admission.inFlight();
    }

    /**
     * Handles a call.
     *
     * @param request   the call, with the headers that nodes set
     * @param cancelled completes when the caller has cancelled the call
     * @return response of the backend server, or a rejection
     */
    public HttpResponse handle(HttpRequest request, CompletionStage<?> cancelled) {
        Backend current = backend;
        String service = request.headers().get(CallHeaders.SERVICE, "");
        if (current == null || !current.announcement().getService().equals(service)) {
            return Problem.response(ResultCode.NO_SERVER, "no such backend server here");
        }
        InstanceConditions.parse(request.headers().get(CallHeaders.CONDITIONS)).ifPresent(this::recordHint);
        ServiceClass serviceClass = ServiceClass.of(request.headers().get(CallHeaders.CLASS, DEFAULT_CLASS));
        if (eventLoopDelay.rejects(serviceClass)) {
            return reject(ResultCode.OVERLOADED, request.headers());
        }
        long fingerprint = Long.parseUnsignedLong(request.headers().get(CallHeaders.FINGERPRINT, "0"), 16);
        SuspectTable.Action action = suspects.actionFor(fingerprint);
        if (action == SuspectTable.Action.REJECT) {
            return reject(ResultCode.SUSPECT_REFUSED, request.headers());
        }
        // While slots are free, a run that may fail takes nothing from other calls.
        if (load().queued() > 0
                && runningCalls.forecast().refuses(request.headers().get(CallHeaders.OWNER, ""))) {
            rootsRefused.inc();
            return reject(ResultCode.DEPENDENCY_REFUSED, request.headers());
        }
        long now = clock.nanoTime();
        long remainingNanos =
                Timeout.parse(request.headers().get(CallHeaders.TIMEOUT, "0n")).orElse(0);
        boolean exclusive = action == SuspectTable.Action.RUN_EXCLUSIVELY;
        RunningCall running = new RunningCall(
                callNames.apply(request.headers()),
                request.headers().get(CallHeaders.OWNER, ""),
                serviceClass,
                PrecedenceHeaders.read(request.headers()),
                now + remainingNanos);
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        Dispatch dispatch =
                new Dispatch(this, current.link(), request, running, fingerprint, exclusive, response, cancelled);
        Ticket ticket = new Ticket(
                running.route(),
                serviceClass,
                now + remainingNanos,
                exclusive,
                dispatch,
                PrecedenceHeaders.readTarget(request.headers(), now),
                running.precedence());
        dispatch.bind(ticket);
        Runnable offer = () -> {
            admission.offer(ticket);
            if (!response.isDone() && !dispatch.isAdmitted()) {
                removeWhenCancelledOrExpired(ticket, response, request.headers(), remainingNanos, cancelled);
            }
        };
        boolean hasTargetLatency = request.headers().contains(CallHeaders.TARGET);
        if (hasTargetLatency && prober.mayProbe()) {
            prober.probe(current.link(), service).thenRun(offer);
        } else {
            offer.run();
        }
        return HttpResponse.of(response);
    }

    /**
     * Probes a slow server whose reported load is out of date, and dispatches the calls that no longer have to wait for
     * it or for the maximum rate.
     */
    public void poll() {
        if (!admission.isDeferring()) {
            return;
        }
        Backend current = backend;
        if (current != null && prober.mayProbe()) {
            prober.probe(current.link(), current.announcement().getService());
        }
        admission.poll();
    }

    /**
     * Sets the trigger of polls, which is called whenever calls wait for a slow server or for the maximum rate.
     *
     * @param trigger causes a call of {@link #poll()} shortly afterwards
     */
    public void pollDeferredCalls(Runnable trigger) {
        admission.onDeferral(trigger);
    }

    /**
     * Sets the listener for servers that are leaving. It has to announce the server to this gate as draining.
     *
     * @param listener receives the identifier of the server instance
     */
    public void onServerLeaving(Consumer<String> listener) {
        leavingListener = listener;
    }

    /**
     * Enables health probes of the backend server, which are disabled by default.
     *
     * @param paths     returns the health path of a service
     * @param perSecond maximum number of probes per second
     */
    public void enableProbes(Function<String, String> paths, double perSecond) {
        prober.enable(paths, perSecond);
    }

    // The metric of an unlimited server is 0, because not all readers of metrics understand infinity.
    private double callsPerSecondLimit() {
        ServerConditions current = conditions.current();
        return current.isLimited() ? current.maxCallsPerSecond() : 0;
    }

    private void removeWhenCancelledOrExpired(
            Ticket ticket,
            CompletableFuture<HttpResponse> response,
            RequestHeaders headers,
            long remainingNanos,
            CompletionStage<?> cancelled) {
        cancelled.thenRun(() -> removeFromQueue(ticket, response, headers, ResultCode.CANCELLED));
        ScheduledFuture<?> expiry = timers.schedule(
                () -> removeFromQueue(ticket, response, headers, ResultCode.DEADLINE_UNREACHABLE),
                remainingNanos,
                TimeUnit.NANOSECONDS);
        // The task holds the response.
        response.whenComplete((answered, failure) -> expiry.cancel(false));
    }

    // Has no effect on a call that is no longer queued.
    private void removeFromQueue(
            Ticket ticket, CompletableFuture<HttpResponse> response, RequestHeaders headers, ResultCode code) {
        if (admission.cancel(ticket)) {
            response.complete(reject(code, headers));
        }
    }

    /**
     * Logs the rejection of a call and returns the response to it.
     *
     * @param code    reason of the rejection
     * @param headers headers of the call
     * @return response that carries the code and the load of the gate
     */
    HttpResponse reject(ResultCode code, RequestHeaders headers) {
        LoadReport load = load();
        coldnessLog.recordRejection(code, admission);
        DecisionLog.INSTANCE.gateRefused(
                callNames.apply(headers),
                headers.get(CallHeaders.SERVICE, ""),
                code.number(),
                load.busy(),
                load.queued(),
                load.limit());
        ResponseHeadersBuilder response = Problem.gateResponse(code, load.toHeader());
        if (code == ResultCode.DEPENDENCY_REFUSED) {
            response.setLong(CallHeaders.RETRY_DELAY, DEPENDENCY_RETRY_MILLIS);
        } else if (LACK_OF_ROOM.contains(code)) {
            long targetNanos =
                    Timeout.parse(headers.get(CallHeaders.TARGET, "0n")).orElse(0);
            long roomNanos = admission.roomDelayNanos(headers.get(CallHeaders.OWNER, ""), targetNanos);
            response.setLong(CallHeaders.RETRY_DELAY, RetryDelay.untilRoom(roomNanos));
        }
        return HttpResponse.of(response.build());
    }

    /**
     * Logs that a call sent to the backend server received no response.
     *
     * @param headers         headers of the call
     * @param dispatchedNanos time at which it was sent, in nanoseconds
     * @param failure         reason for the missing response
     */
    void logServerFailure(RequestHeaders headers, long dispatchedNanos, MustardusherException failure) {
        NodeLog.DECISIONS.dispatchFailed(
                LoggedName.of(callNames.apply(headers)),
                headers.get(CallHeaders.SERVICE, ""),
                failure.code().number(),
                (clock.nanoTime() - dispatchedNanos) / Clock.NANOS_PER_MILLI,
                failure.getMessage());
    }

    /**
     * Returns the conditions that the backend server stated, for the entry of a call.
     *
     * @return the conditions, or empty if there are none
     */
    Optional<InstanceConditions> statedConditions() {
        return conditions.toHint();
    }

    /**
     * Returns the calls at the backend server.
     *
     * @return the calls
     */
    public RunningCalls runningCalls() {
        return runningCalls;
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
     * Returns the admission that queues and dispatches the calls of this gate.
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
    CrashDetector crashDetector() {
        return crashDetector;
    }

    /**
     * Returns the metric of the time from dispatch to end of calls.
     *
     * @return the metric
     */
    Timer callTimer() {
        return callTimer;
    }

    /**
     * The backend server as it was announced last, with the link to it.
     *
     * @param announcement announcement of the server
     * @param link         link to the server
     */
    private record Backend(Announcement announcement, ServerLink link) {

        /**
         * Returns whether an announcement describes the same server.
         *
         * @param other the announcement
         * @return {@code true} if address, service, instance and start are the same
         */
        boolean isSameServer(Announcement other) {
            return announcement.getHost().equals(other.getHost())
                    && announcement.getPort() == other.getPort()
                    && announcement.getService().equals(other.getService())
                    && Objects.equals(announcement.getInstance(), other.getInstance())
                    && isSameStart(announcement.getStart(), other.getStart());
        }

        // An answer to a probe does not contain the start.
        private static boolean isSameStart(long one, long other) {
            return one == other || one == 0 || other == 0;
        }
    }
}
