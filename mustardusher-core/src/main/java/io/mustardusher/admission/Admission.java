package io.mustardusher.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.LoadReport;
import io.mustardusher.time.Clock;

/**
 * Admission control for one backend server: counts the calls dispatched to it, limits their number and queues a bounded
 * number of further calls.
 *
 * <p>All methods are synchronized on this instance. Its lock is the innermost one in the lock order; listeners are
 * notified after it is released.
 */
public final class Admission {

    /** Age from which a report of the calls at the server is ignored, in nanoseconds. */
    private static final long SERVER_REPORT_EXPIRY_NANOS = 200 * Clock.NANOS_PER_MILLI;

    private final Clock clock;

    /** Queued calls other than exclusive ones. */
    private final WaitingQueue queue;

    /** Queued calls that must not run concurrently with others, in order of arrival. */
    private final Deque<Ticket> exclusiveQueue = new ArrayDeque<>();

    /** Adaptive limit on the number of calls dispatched concurrently. */
    private final ConcurrencyLimit limit = new ConcurrencyLimit(1);

    /** Portion of the service's concurrency limit that is assigned to this gate, in calls. */
    private int serviceLimitShare = Integer.MAX_VALUE;

    /** Maximum number of queued calls for each slot. */
    private int queuePerSlot;

    /** Whether new calls are rejected because the server does not accept them. */
    private boolean closed = true;

    /** Whether all calls that are not running are rejected because the failure domain is evacuated. */
    private boolean evacuated;

    /** Number of calls dispatched to the server and not yet completed. */
    private int busy;

    /** Calls at the server by its own count, running or queued; negative before its first report. */
    private int callsAtServer = -1;

    /** Dispatched calls that the server no longer counted in its last report, although they have not been answered. */
    private int lostCalls;

    /** Time of the last report of the calls at the server, in nanoseconds. */
    private long callsReportedNanos;

    /** Whether an exclusive call is running. */
    private boolean exclusiveRunning;

    /** Rate at which calls are dispatched. */
    private final CallRate rate;

    /** Notified when a statement of the server is needed whether it is cold. */
    private volatile Runnable statementListener = () -> {};

    /** Notified after each change that leaves calls deferred. */
    private volatile Runnable deferralListener = () -> {};

    private final ServiceTimes times = new ServiceTimes();

    private final LatencyTargetPolicy targets = new LatencyTargetPolicy(times);

    /** Slots that the server announced. */
    private int announcedSlots = 1;

    /** Slots of the server that are worth using. */
    private final UsableSlots usableSlots;

    /**
     * Creates an instance that rejects all calls until it is opened and queues calls fairly by owner.
     *
     * @param clock source of time
     */
    public Admission(Clock clock) {
        this.clock = clock;
        this.queue = new FairQueue();
        this.rate = new CallRate(clock);
        this.usableSlots = new UsableSlots(1);
    }

    private Admission(Clock clock, double safeSlotFraction) {
        this.clock = clock;
        this.queue = new TargetQueue(ticket -> (long) times.expectedNanos(ticket.owner, clock.nanoTime()));
        this.rate = new CallRate(clock);
        this.usableSlots = new UsableSlots(safeSlotFraction);
    }

    /**
     * Creates an instance that rejects all calls until it is opened and orders queued calls by their latency targets.
     *
     * @param clock            source of time
     * @param safeSlotFraction fraction of the announced slots that is always used; the others are used only on a server
     *                         that does not slow down when it is nearly full
     * @return the new instance
     */
    public static Admission withLatencyTargets(Clock clock, double safeSlotFraction) {
        return new Admission(clock, safeSlotFraction);
    }

    /**
     * Applies the server's announced slots and the limits of the catalogue, and dispatches queued calls that now fit.
     *
     * @param announced   slots that the server announced
     * @param queueLength maximum number of queued calls for each slot
     * @param gateShare   portion of the service's concurrency limit for this gate, in calls; 0 for no limit
     */
    public void configure(int announced, int queueLength, int gateShare) {
        updateAndNotify(notifications -> {
            announcedSlots = announced;
            usableSlots.resize(announced);
            queuePerSlot = queueLength;
            serviceLimitShare = gateShare <= 0 ? Integer.MAX_VALUE : gateShare;
            dispatch(notifications);
        });
    }

    /**
     * Sets the maximum rate at which calls are dispatched, and dispatches queued calls that are now permitted.
     *
     * @param callsPerSecond the maximum rate; infinite for no limit
     */
    public void limitRate(double callsPerSecond) {
        updateAndNotify(notifications -> {
            rate.limit(callsPerSecond);
            dispatch(notifications);
        });
    }

    /**
     * Sets how calls to a cold server are paced, and dispatches queued calls that are now permitted.
     *
     * @param policy the policy
     */
    public void configureColdStart(ColdPolicy policy) {
        updateAndNotify(notifications -> {
            rate.cold().configure(policy);
            dispatch(notifications);
        });
    }

    /**
     * Records an announcement of the server.
     *
     * @param newServer      whether it is the first one of this server or of this process of the server
     * @param remainingNanos time for which the server is still cold, in nanoseconds; 0 if it is not, empty if it does
     *     not state it
     */
    public void recordAnnouncement(boolean newServer, OptionalLong remainingNanos) {
        updateAndNotify(notifications -> {
            if (newServer) {
                rate.cold().recordNewServer();
            }
            remainingNanos.ifPresent(rate.cold()::recordAnnouncement);
            dispatch(notifications);
        });
    }

    /**
     * Records the answer of the server to a health request.
     *
     * @param remainingNanos time for which the server is still cold, in nanoseconds; 0 if it is not
     * @param sentNanos      time at which the request was sent, in nanoseconds
     */
    public void recordHealth(long remainingNanos, long sentNanos) {
        updateAndNotify(notifications -> {
            rate.cold().recordHealth(remainingNanos, sentNanos);
            dispatch(notifications);
        });
    }

    /**
     * Returns whether the server is cold, as far as it is known.
     *
     * @return {@code true} if calls to it are paced
     */
    public synchronized boolean isCold() {
        return rate.cold().isCold();
    }

    /**
     * Sets the listener for calls whose dispatch depends on whether the server is cold.
     *
     * @param listener called, without a lock, after each change that leaves a statement of the server to be requested;
     *     the answer has to be passed to {@link #recordHealth}
     */
    public void onStatementNeeded(Runnable listener) {
        statementListener = listener;
    }

    /**
     * Sets whether the failure domain of the server is evacuated. New and queued calls are then rejected; dispatched
     * calls continue. This is independent of {@link #close()}, and load reports do not show it: entries decide about
     * evacuated servers by the orders alone, so that no stale report keeps them away after the end of an order. The
     * smoothed service time from before the order is discarded for the same reason.
     *
     * @param value {@code true} if it is
     */
    public void setEvacuated(boolean value) {
        updateAndNotify(notifications -> {
            if (evacuated && !value) {
                times.forgetSmoothed();
            }
            evacuated = value;
            if (evacuated) {
                rejectQueued(notifications);
            }
        });
    }

    private void rejectQueued(List<Runnable> notifications) {
        exclusiveQueue.forEach(ticket -> reject(ticket, ResultCode.DRAINING, notifications));
        exclusiveQueue.clear();
        while (queue.size() > 0) {
            reject(queue.removeNext(clock.nanoTime()), ResultCode.DRAINING, notifications);
        }
    }

    /** Starts accepting new calls. */
    public synchronized void open() {
        closed = false;
    }

    /** Rejects new calls; calls that are queued or dispatched continue. */
    public synchronized void close() {
        closed = true;
    }

    /** Rejects new and queued calls; dispatched calls continue. */
    public void stop() {
        updateAndNotify(notifications -> {
            closed = true;
            rejectQueued(notifications);
        });
    }

    /**
     * Returns whether new calls are rejected.
     *
     * @return {@code true} if they are
     */
    public synchronized boolean isClosed() {
        return closed;
    }

    /**
     * Dispatches, queues or rejects a new call.
     *
     * @param ticket the call
     */
    public void offer(Ticket ticket) {
        updateAndNotify(notifications -> {
            ticket.arrivedNanos = clock.nanoTime();
            ResultCode rejection = rejectionOnArrival(ticket);
            if (rejection == null) {
                enqueue(ticket, notifications);
                dispatch(notifications);
            } else {
                reject(ticket, rejection, notifications);
            }
        });
    }

    /**
     * Frees the slot of a dispatched call and dispatches queued calls that now fit. Does nothing for a call that is not
     * dispatched.
     *
     * @param ticket the call
     * @param end    how it ended
     */
    public void release(Ticket ticket, CallEnd end) {
        updateAndNotify(notifications -> {
            if (ticket.phase != Ticket.Phase.DISPATCHED) {
                return;
            }
            ticket.phase = Ticket.Phase.ENDED;
            busy--;
            exclusiveRunning &= !ticket.exclusive;
            queue.onCompletion(ticket);
            recordEnd(ticket, end);
            dispatch(notifications);
        });
    }

    /**
     * Cancels a queued call.
     *
     * @param ticket the call
     * @return {@code true} if the call was still queued, so that it never runs
     */
    public synchronized boolean cancel(Ticket ticket) {
        if (ticket.phase != Ticket.Phase.QUEUED) {
            return false;
        }
        ticket.phase = Ticket.Phase.ENDED;
        return ticket.exclusive ? exclusiveQueue.remove(ticket) : queue.remove(ticket);
    }

    /**
     * Updates the load that the server reports, and dispatches queued calls that now fit. A call whose answer was lost
     * keeps its place at this gate until its deadline, but no longer the slot of the server.
     *
     * @param calls   calls that the server is running or has queued
     * @param percent current processing time as a percentage of the normal processing time
     */
    public void updateServerLoad(int calls, int percent) {
        updateAndNotify(notifications -> {
            long now = clock.nanoTime();
            callsAtServer = calls;
            callsReportedNanos = now;
            // The report may still contain the call that it answers.
            lostCalls = Math.max(0, busy - calls - 1);
            times.updateSlowness(percent, now);
            dispatch(notifications);
        });
    }

    /**
     * Sets the listener for deferred calls. Nothing but a call of {@link #poll()} dispatches them if no other call
     * arrives or ends.
     *
     * @param listener called, without a lock, after each change that leaves calls deferred
     */
    public void onDeferral(Runnable listener) {
        deferralListener = listener;
    }

    /** Dispatches calls that no longer have to wait for a slow server or for the maximum rate. */
    public void poll() {
        updateAndNotify(this::dispatch);
    }

    /**
     * Returns whether calls are queued although slots are free, which happens while the server is slow or limits the
     * rate of calls.
     *
     * @return {@code true} if calls are being deferred
     */
    public synchronized boolean isDeferring() {
        boolean queued = queue.size() > 0 || !exclusiveQueue.isEmpty() && busy == 0;
        return queued && busy < effectiveLimit();
    }

    /**
     * Returns whether the server's last slowness report is due for a refresh.
     *
     * @return {@code true} if it is
     */
    public synchronized boolean isSlownessStale() {
        return times.isSlownessStale(clock.nanoTime());
    }

    /**
     * Returns the current load of this gate.
     *
     * @return calls dispatched and queued, the limit, the service time and the state of the server
     */
    public synchronized LoadReport load() {
        long micros = (long) (times.smoothedNanos() / Clock.NANOS_PER_MICRO);
        int usable = Math.min(effectiveLimit(), rate.concurrency(times.smoothedNanos()));
        return new LoadReport(busy, queuedCalls(), usable, micros, closed, times.isSlow(clock.nanoTime()));
    }

    /**
     * Returns the time after which a call that is refused now is expected to meet its target here: the wait behind the
     * queued calls, less the time that the call can wait.
     *
     * @param kind        kind of call
     * @param targetNanos time within which the call is to be answered, in nanoseconds; 0 if it has no target
     * @return time in nanoseconds; 0 if the call could be queued now
     */
    public synchronized long roomDelayNanos(String kind, long targetNanos) {
        int queuedNow = queuedCalls();
        double turnNanos = times.smoothedNanos() * queuedNow / effectiveLimit();
        double waitNanos = Math.max(turnNanos, rate.delayNanos(queuedNow));
        double acceptableNanos = Math.max(0, targetNanos - times.expectedNanos(kind, clock.nanoTime()));
        return (long) Math.max(0, waitNanos - acceptableNanos);
    }

    /**
     * Returns the number of calls in flight: queued or dispatched.
     *
     * @return number of calls
     */
    public synchronized int inFlight() {
        return busy + queuedCalls();
    }

    // Listeners are notified after the lock is released, as they may call this instance again.
    private void updateAndNotify(Consumer<List<Runnable>> step) {
        List<Runnable> notifications = new ArrayList<>(2);
        boolean deferring;
        boolean statementNeeded;
        synchronized (this) {
            step.accept(notifications);
            deferring = isDeferring();
            statementNeeded = rate.cold().needsStatement();
        }
        notifications.forEach(Runnable::run);
        if (statementNeeded) {
            statementListener.run();
        }
        if (deferring) {
            deferralListener.run();
        }
    }

    /**
     * Determines whether a call is rejected on arrival.
     *
     * @param ticket the call
     * @return the result code of the rejection, or {@code null} if the call may be queued
     */
    private ResultCode rejectionOnArrival(Ticket ticket) {
        if (closed || evacuated) {
            return ResultCode.DRAINING;
        }
        long now = clock.nanoTime();
        if (now - ticket.deadlineNanos >= 0) {
            return ResultCode.DEADLINE_EXPIRED;
        }
        int ahead = queue.countAhead(ticket) + exclusiveQueue.size();
        int free = effectiveLimit() - busy;
        double rounds = Math.max(0, ahead + 1 - free) / (double) effectiveLimit();
        double rateDelayNanos = rate.delayNanos(ahead);
        double waitNanos = Math.max(times.smoothedNanos() * rounds, rateDelayNanos);
        double answerNanos = now + times.completionNanos(ticket.owner, now) + waitNanos;
        if (targets.isWorthMoving(ticket, waitNanos, answerNanos, now)) {
            return ResultCode.SLOWER_THAN_TARGET;
        }
        // A cold server has no room for the calls whose turn comes too late.
        if (rate.cold().isCold() && now + rateDelayNanos > ticket.latencyTarget.targetNanos()) {
            return ResultCode.OVERLOADED;
        }
        boolean waits = busy > 0 || rateDelayNanos > 0;
        return waits && answerNanos > ticket.deadlineNanos ? ResultCode.DEADLINE_UNREACHABLE : null;
    }

    /**
     * Enqueues a call. If the queue is full, the call of the lowest precedence, which may be the new one, is rejected.
     *
     * @param ticket        the call
     * @param notifications collects the tasks to run after the lock is released
     */
    private void enqueue(Ticket ticket, List<Runnable> notifications) {
        boolean blocked = busy >= effectiveLimit() || rate.delayNanos(0) > 0;
        boolean full = blocked && queuedCalls() >= limit.slots() * queuePerSlot;
        if (full) {
            ResultCode code = serviceLimitShare < limit.value() ? ResultCode.LIMIT_REACHED : ResultCode.OVERLOADED;
            Ticket evicted = queue.findEvictionCandidate(ticket);
            if (evicted == null) {
                reject(ticket, code, notifications);
                return;
            }
            queue.remove(evicted);
            reject(evicted, code, notifications);
        }
        if (ticket.exclusive) {
            exclusiveQueue.addLast(ticket);
        } else {
            queue.add(ticket);
        }
    }

    /**
     * Dispatches queued calls while slots are free, the rate permits it, the next one is not deferred and no exclusive
     * call prevents it.
     *
     * @param notifications collects the tasks to run after the lock is released
     */
    private void dispatch(List<Runnable> notifications) {
        limit.resize(usableSlots.count(clock.nanoTime()));
        if (busy >= effectiveLimit()) {
            rejectOverdue(notifications);
            return;
        }
        while (!exclusiveRunning && busy < effectiveLimit() && rate.delayNanos(0) == 0) {
            if (!exclusiveQueue.isEmpty() && busy > 0) {
                return;
            }
            Ticket ticket =
                    exclusiveQueue.isEmpty() ? queue.removeNext(clock.nanoTime()) : exclusiveQueue.removeFirst();
            if (ticket == null) {
                return;
            }
            if (!targets.shouldDefer(ticket, clock.nanoTime())) {
                dispatchOrReject(ticket, notifications);
            } else if (!queue.defer(ticket)) {
                return;
            }
        }
    }

    // Calls of higher ranks that arrive later may keep a queued call waiting for longer than was expected on its
    // arrival.
    private void rejectOverdue(List<Runnable> notifications) {
        long now = clock.nanoTime();
        queue.removeIf(ticket -> targets.isOverdue(ticket, now))
                .forEach(ticket -> reject(ticket, ResultCode.OVERLOADED, notifications));
    }

    /**
     * Dispatches a call, or rejects it if its deadline can no longer be met.
     *
     * @param ticket        the call
     * @param notifications collects the tasks to run after the lock is released
     */
    private void dispatchOrReject(Ticket ticket, List<Runnable> notifications) {
        long now = clock.nanoTime();
        long neededNanos = busy == 0 ? 0 : (long) times.expectedNanos(ticket.owner, now);
        if (now + neededNanos - ticket.deadlineNanos >= 0) {
            reject(ticket, ResultCode.DEADLINE_UNREACHABLE, notifications);
            return;
        }
        ticket.phase = Ticket.Phase.DISPATCHED;
        ticket.dispatchedNanos = now;
        ticket.dispatchedSlow = times.isSlow(now);
        busy++;
        rate.recordDispatch();
        ticket.dispatchedNearlyFull = usableSlots.isNearlyFull(busy);
        exclusiveRunning |= ticket.exclusive;
        queue.onDispatch(ticket);
        notifications.add(ticket.listener::onAdmitted);
    }

    private static void reject(Ticket ticket, ResultCode code, List<Runnable> notifications) {
        ticket.phase = Ticket.Phase.ENDED;
        notifications.add(() -> ticket.listener.onRejected(code));
    }

    /**
     * Updates the service times and the concurrency limit after a call ended.
     *
     * @param ticket the call
     * @param end    how it ended
     */
    private void recordEnd(Ticket ticket, CallEnd end) {
        long now = clock.nanoTime();
        switch (end) {
            case ANSWERED -> {
                double serviceNanos = now - ticket.dispatchedNanos;
                times.recordServiceTime(ticket.owner, serviceNanos, ticket.dispatchedSlow);
                if (!ticket.dispatchedSlow) {
                    usableSlots.recordServiceTime(ticket.owner, serviceNanos, ticket.dispatchedNearlyFull, now);
                }
                limit.recordAnswer();
            }
            case OVERLOADED, UNANSWERED -> {
                // A server with free slots has not refused or dropped the call for lack of room.
                if (callsAtServer < 0 || callsAtServer >= announcedSlots) {
                    limit.recordOverload(now, (long) times.smoothedNanos());
                }
            }
            default -> {
                // an abandoned call carries no information about the server
            }
        }
    }

    /**
     * Returns the number of calls that may be dispatched concurrently.
     *
     * @return number of calls, at least 1
     */
    private int effectiveLimit() {
        boolean recent = clock.nanoTime() - callsReportedNanos < SERVER_REPORT_EXPIRY_NANOS;
        int lost = recent ? Math.min(lostCalls, busy) : 0;
        return Math.max(1, Math.min(limit.value() + lost, serviceLimitShare));
    }

    private int queuedCalls() {
        return queue.size() + exclusiveQueue.size();
    }
}
