package io.mustardusher.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import io.mustardusher.health.Ejection;
import io.mustardusher.membership.NodeId;
import io.mustardusher.time.Clock;

/**
 * Load of one backend server as seen by one entry. The number of the entry's own calls in flight is exact. The calls of
 * other entries are only known from the last load report of the server's gate, which is stale.
 */
public final class ServerLoad {

    /** Service time assumed before the first report, in microseconds. */
    private static final long INITIAL_SERVICE_MICROS = 5_000L;

    /** Time in which the reported number of other entries' calls is discounted by half, in nanoseconds. */
    private static final double OTHER_CALLS_HALF_LIFE_NANOS = 500e6;

    /** Duration of the slow start of a server, in nanoseconds. */
    private static final double SLOW_START_NANOS = 5e9;

    /** Fraction of its limit that a server is assumed to have at the beginning of its slow start. */
    private static final double MIN_SLOW_START_FRACTION = 0.1;

    /** Penalty for a server that fails every call, in service times; it is proportional to the failure rate. */
    private static final double FAILURE_PENALTY = 20;

    /** Validity of a report that a server is slow, in nanoseconds; noisy neighbours come and go in 150 ms. */
    private static final long SLOW_REPORT_NANOS = 100 * Clock.NANOS_PER_MILLI;

    /** Penalty for a slow server, in service times; such a server takes about five times as long. */
    private static final double SLOW_PENALTY = 4;

    /** Usual length of the time in which a server is slow, in nanoseconds. */
    private static final double SLOW_SPELL_NANOS = 150.0 * Clock.NANOS_PER_MILLI;

    /** Number of calls per slot, running or queued, from which a server is expected to have no room. */
    private static final int MAX_CALLS_PER_SLOT = 2;

    private final NodeId node;

    private final long roundTripNanos;

    /** Time at which the server started serving, in nanoseconds. */
    private final long servingSinceNanos;

    /** Calls of this entry in flight at the server. */
    private final AtomicInteger inFlight = new AtomicInteger();

    /** Failure rate and ejection of the server as seen by this entry. */
    private final Ejection ejection = new Ejection();

    private final TransferRate transferRate;

    private volatile ReportedLoad lastReport;

    private final UsualServiceTime usualServiceTime;

    /** Service time that was reported last, in nanoseconds; 0 before the first report of one. */
    private volatile long measuredNanos;

    /** Whether the server accepts new calls according to the latest information. */
    private volatile boolean serving = true;

    private volatile long slowUntilNanos = Long.MIN_VALUE / 2;

    /** Current load of the gate if it belongs to the node of this entry; {@code null} for gates of other nodes. */
    private volatile Supplier<LoadReport> ownGate;

    /**
     * Creates the load of a server that has not sent a report yet.
     *
     * @param node              node beside the server
     * @param slots             slots that the server announced
     * @param oneWayMicros      one-way network latency to the node, in microseconds
     * @param servingSinceNanos time at which the server started serving, in nanoseconds
     */
    public ServerLoad(NodeId node, int slots, long oneWayMicros, long servingSinceNanos) {
        this(node, slots, oneWayMicros, servingSinceNanos, new UsualServiceTime(false), new TransferRate());
    }

    /**
     * Creates the load of a server that has not sent a report yet.
     *
     * @param node              node beside the server
     * @param slots             slots that the server announced
     * @param oneWayMicros      one-way network latency to the node, in microseconds
     * @param servingSinceNanos time at which the server started serving, in nanoseconds
     * @param usualServiceTime  usual service time of the servers of its service
     * @param transferRate      rate of large answers from the node
     */
    public ServerLoad(
            NodeId node,
            int slots,
            long oneWayMicros,
            long servingSinceNanos,
            UsualServiceTime usualServiceTime,
            TransferRate transferRate) {
        this.transferRate = transferRate;
        this.node = node;
        this.usualServiceTime = usualServiceTime;
        this.roundTripNanos = 2 * oneWayMicros * Clock.NANOS_PER_MICRO;
        this.servingSinceNanos = servingSinceNanos;
        this.lastReport =
                new ReportedLoad(0, Math.max(1, slots), INITIAL_SERVICE_MICROS * Clock.NANOS_PER_MICRO, Long.MIN_VALUE);
    }

    /**
     * Returns the node beside the server.
     *
     * @return the node
     */
    public NodeId node() {
        return node;
    }

    /**
     * Returns the rate of large answers from the node.
     *
     * @return the rate
     */
    public TransferRate transferRate() {
        return transferRate;
    }

    /**
     * Returns the failure rate and the ejection of the server as seen by this entry.
     *
     * @return the ejection
     */
    public Ejection ejection() {
        return ejection;
    }

    /**
     * Returns the number of calls of this entry in flight at the server.
     *
     * @return number of calls
     */
    public int inFlight() {
        return inFlight.get();
    }

    /** Records that a call of this entry was sent to the server. */
    public void recordCallStart() {
        inFlight.incrementAndGet();
    }

    /** Records that a call of this entry has ended. */
    public void recordCallEnd() {
        inFlight.decrementAndGet();
    }

    /**
     * Updates the load from a report.
     *
     * @param report the report
     * @param now    time at which it was received, in nanoseconds
     */
    public void update(LoadReport report, long now) {
        int otherCalls = Math.max(0, report.busy() + report.queued() - inFlight.get());
        long service =
                report.serviceMicros() > 0 ? report.serviceMicros() * Clock.NANOS_PER_MICRO : lastReport.serviceNanos;
        lastReport = new ReportedLoad(otherCalls, Math.max(1, report.limit()), service, now);
        if (report.serviceMicros() > 0) {
            measuredNanos = service;
            if (now - servingSinceNanos >= SLOW_START_NANOS) {
                usualServiceTime.record(service);
            }
        }
        if (report.draining()) {
            serving = false;
        }
        if (report.slow()) {
            slowUntilNanos = now + SLOW_REPORT_NANOS;
        }
    }

    /**
     * Marks the server as the one beside the node of this entry, whose load is known exactly at any time.
     *
     * @param load supplies the current load of the node's gate
     */
    public void readLoadFrom(Supplier<LoadReport> load) {
        ownGate = load;
    }

    /**
     * Returns whether the server is beside the node of this entry.
     *
     * @return {@code true} if its load is read from the gate of this node
     */
    boolean isOwn() {
        return ownGate != null;
    }

    /**
     * Updates the load of the own server from its gate.
     *
     * @param now current time, in nanoseconds
     */
    void refresh(long now) {
        update(ownGate.get(), now);
    }

    /**
     * Replaces the last report, which is out of date, by an assumption.
     *
     * @param serviceNanos assumed service time, in nanoseconds
     */
    public void assumeServiceTime(long serviceNanos) {
        lastReport = new ReportedLoad(0, lastReport.limit, serviceNanos, Long.MIN_VALUE);
    }

    /**
     * Returns the service time that the server is expected to have.
     *
     * @return time in nanoseconds
     */
    public long serviceNanos() {
        return lastReport.serviceNanos;
    }

    /**
     * Sets whether the server accepts new calls.
     *
     * @param value {@code true} if it does
     */
    public void setServing(boolean value) {
        serving = value;
    }

    /**
     * Returns whether the server accepts new calls according to the latest information.
     *
     * @return {@code true} if it does
     */
    public boolean isServing() {
        return serving;
    }

    /**
     * Returns the age of the last report.
     *
     * @param now current time, in nanoseconds
     * @return age in nanoseconds, or {@link Long#MAX_VALUE} before the first report
     */
    public long reportAgeNanos(long now) {
        long received = lastReport.receivedNanos;
        return received == Long.MIN_VALUE ? Long.MAX_VALUE : now - received;
    }

    /**
     * Estimates the number of calls of all entries at the server, dispatched or queued.
     *
     * @param now current time, in nanoseconds
     * @return number of calls
     */
    public double estimatedCalls(long now) {
        ReportedLoad last = lastReport;
        if (last.otherCalls == 0) {
            return inFlight.get();
        }
        return inFlight.get()
                + last.otherCalls * Math.pow(0.5, (now - last.receivedNanos) / OTHER_CALLS_HALF_LIFE_NANOS);
    }

    /**
     * Returns whether the server is expected to start a new call at once.
     *
     * @param now current time, in nanoseconds
     * @return {@code true} if it has a free slot and is not known to be slow
     */
    boolean startsCallsAtOnce(long now) {
        return now - slowUntilNanos >= 0 && estimatedCalls(now) + 1 <= lastReport.limit;
    }

    /**
     * Returns whether the server is expected to have room for a new call.
     *
     * @param now current time, in nanoseconds
     * @return {@code true} if it has at most one queued call per slot
     */
    boolean hasRoom(long now) {
        return estimatedCalls(now) + 1 <= MAX_CALLS_PER_SLOT * lastReport.limit;
    }

    /**
     * Estimates the response time for a new call. Failures and slowness of the server count as further service times.
     *
     * @param now current time, in nanoseconds
     * @return time in nanoseconds
     */
    public double estimatedNanos(long now) {
        return estimatedNanos(now, SLOW_PENALTY);
    }

    /**
     * Estimates the response time for a new call that outlasts the spell in which the server is slow: the call takes
     * longer by about the length of the spell, which is less than {@link #estimatedNanos} adds for long calls.
     *
     * @param now current time, in nanoseconds
     * @return time in nanoseconds
     */
    double estimatedNanosBeyondSlowSpell(long now) {
        return estimatedNanos(now, Math.min(SLOW_PENALTY, SLOW_SPELL_NANOS / lastReport.serviceNanos));
    }

    private double estimatedNanos(long now, double slownessPenalty) {
        ReportedLoad last = lastReport;
        double limit = Math.max(1, last.limit * slowStartFraction(now));
        double calls = estimatedCalls(now) + 1;
        double queueing = Math.max(0, calls - limit) / limit;
        double utilization = calls / limit;
        double failurePenalty = ejection.failureRate(now) * FAILURE_PENALTY;
        double slowPenalty = now - slowUntilNanos < 0 ? slownessPenalty : 0;
        return roundTripNanos + last.serviceNanos * (1 + queueing + utilization / 2 + failurePenalty + slowPenalty);
    }

    /**
     * Estimates the cost of sending a call to the server: the response time and, if the server is farther away than the
     * nearest one, the cost of traffic between failure domains.
     *
     * @param now               current time, in nanoseconds
     * @param minRoundTripNanos round-trip time to the nearest server, in nanoseconds
     * @param crossDomainCost   cost of leaving the failure domain, in service times
     * @return cost as time in nanoseconds
     */
    double costNanos(long now, long minRoundTripNanos, double crossDomainCost) {
        double estimate = estimatedNanos(now);
        return roundTripNanos > minRoundTripNanos ? estimate + lastReport.serviceNanos * crossDomainCost : estimate;
    }

    long roundTripNanos() {
        return roundTripNanos;
    }

    /**
     * Returns the fraction of its limit that the server is assumed to have, which grows during its slow start. The slow
     * start ends early if the server reports the usual service time. The report of a server that has started beside a
     * running gate still contains earlier calls; its gate limits the calls itself while the server is cold.
     *
     * @param now current time, in nanoseconds
     * @return fraction between {@value #MIN_SLOW_START_FRACTION} and 1
     */
    private double slowStartFraction(long now) {
        double fraction = (now - servingSinceNanos) / SLOW_START_NANOS;
        return fraction >= 1 || usualServiceTime.isUsual(measuredNanos)
                ? 1
                : Math.max(MIN_SLOW_START_FRACTION, fraction);
    }

    /**
     * Load of the server according to its last report, or the assumptions made before the first one.
     *
     * @param otherCalls    calls of other entries at the server
     * @param limit         concurrency limit of the gate
     * @param serviceNanos  smoothed service time, in nanoseconds
     * @param receivedNanos time at which the report was received, in nanoseconds, or {@link Long#MIN_VALUE} without one
     */
    private record ReportedLoad(int otherCalls, int limit, long serviceNanos, long receivedNanos) {}
}
