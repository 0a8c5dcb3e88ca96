package io.mustardusher.routing;

import java.util.concurrent.atomic.AtomicInteger;

import io.mustardusher.health.Ejection;
import io.mustardusher.membership.NodeId;
import io.mustardusher.time.Clock;

/**
 * What one entry knows of the load of one backend server: its own calls in flight, which are exact, and the last load
 * that the server's gate reported, which is stale.
 */
public final class ServerLoad {

    /** Service time assumed before the first report, in microseconds. */
    private static final long INITIAL_SERVICE_MICROS = 5_000L;

    /** Time in which what is known of others' calls loses half its weight, in nanoseconds. */
    private static final double HALF_LIFE_NANOS = 500e6;

    /** Time in which a server that starts is given its full share, in nanoseconds. */
    private static final double RAMP_NANOS = 5e9;

    /** Share that a server is given at its start. */
    private static final double RAMP_START = 0.1;

    /** Service times that a certain failure is worth. */
    private static final double FAILURE_COST = 20;

    /** Node beside the server. */
    /** Time for which a report of slowness counts, in nanoseconds: neighbours come and go in 150 ms. */
    private static final long SLOW_NANOS = 100 * Clock.NANOS_PER_MILLI;

    /** Cost of a slow server, in service times: it takes about five times as long. */
    private static final double SLOW_COST = 4;

    private final NodeId node;

    /** Time to the node and back, in nanoseconds. */
    private final long roundTripNanos;

    /** Time at which the server began to serve, in nanoseconds of the clock. */
    private final long servingSinceNanos;

    /** Calls of this entry in flight at the server. */
    private final AtomicInteger inFlight = new AtomicInteger();

    /** Failures and ejection as seen by this entry. */
    private final Ejection ejection = new Ejection();

    /** Last report and when it came. */
    private volatile Known known;

    /** Whether the server takes new work as far as is known. */
    private volatile boolean serving = true;

    private volatile long slowUntilNanos = Long.MIN_VALUE / 2;

    /**
     * Creates the load of a server of which nothing has been heard.
     *
     * @param node              node beside the server
     * @param slots             slots that the server announced
     * @param oneWayMicros      network time to the node, in microseconds
     * @param servingSinceNanos time at which the server began to serve, in nanoseconds of the clock
     */
    public ServerLoad(NodeId node, int slots, long oneWayMicros, long servingSinceNanos) {
        this.node = node;
        this.roundTripNanos = 2 * oneWayMicros * Clock.NANOS_PER_MICRO;
        this.servingSinceNanos = servingSinceNanos;
        this.known = new Known(0, Math.max(1, slots), INITIAL_SERVICE_MICROS * Clock.NANOS_PER_MICRO, Long.MIN_VALUE);
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
     * Returns the failures and the ejection as seen by this entry.
     *
     * @return the ejection
     */
    public Ejection ejection() {
        return ejection;
    }

    /**
     * Returns the calls of this entry in flight at the server.
     *
     * @return number of calls
     */
    public int inFlight() {
        return inFlight.get();
    }

    /** Notes that a call was sent. */
    public void sent() {
        inFlight.incrementAndGet();
    }

    /** Notes that a call ended. */
    public void ended() {
        inFlight.decrementAndGet();
    }

    /**
     * Takes over a report.
     *
     * @param report the report
     * @param now    time of its arrival, in nanoseconds
     */
    public void report(LoadReport report, long now) {
        int others = Math.max(0, report.busy() + report.queued() - inFlight.get());
        long service = report.serviceMicros() > 0 ? report.serviceMicros() * Clock.NANOS_PER_MICRO : known.serviceNanos;
        known = new Known(others, Math.max(1, report.limit()), service, now);
        if (report.draining()) {
            serving = false;
        }
        if (report.slow()) {
            slowUntilNanos = now + SLOW_NANOS;
        }
    }

    /**
     * Notes whether the server takes new work.
     *
     * @param value {@code true} if it does
     */
    public void serving(boolean value) {
        serving = value;
    }

    /**
     * Tells whether the server takes new work as far as is known.
     *
     * @return {@code true} if it does
     */
    public boolean isServing() {
        return serving;
    }

    /**
     * Returns the age of the last report.
     *
     * @param now present time, in nanoseconds
     * @return age in nanoseconds, or {@link Long#MAX_VALUE} before the first report
     */
    public long reportAge(long now) {
        long at = known.atNanos;
        return at == Long.MIN_VALUE ? Long.MAX_VALUE : now - at;
    }

    /**
     * Estimates the calls at the server.
     *
     * @param now present time, in nanoseconds
     * @return number of calls, dispatched and waiting
     */
    public double busy(long now) {
        Known last = known;
        if (last.others == 0) {
            return inFlight.get();
        }
        return inFlight.get() + last.others * Math.pow(0.5, (now - last.atNanos) / HALF_LIFE_NANOS);
    }

    /**
     * Estimates the time to an answer; failures count as the time that they waste.
     *
     * @param now present time, in nanoseconds
     * @return time in nanoseconds
     */
    public double score(long now) {
        Known last = known;
        double limit = Math.max(1, last.limit * ramp(now));
        double busy = busy(now) + 1;
        double waiting = Math.max(0, busy - limit) / limit;
        double crowding = busy / limit;
        double failing = ejection.failureRate(now) * FAILURE_COST;
        double slow = now - slowUntilNanos < 0 ? SLOW_COST : 0;
        return roundTripNanos + last.serviceNanos * (1 + waiting + crowding / 2 + failing + slow);
    }

    /**
     * Estimates the cost of sending a call here: the time to an answer, and for a server beyond the failure domain the
     * traffic between failure domains.
     *
     * @param now           present time, in nanoseconds
     * @param nearestNanos  round trip to the nearest server, in nanoseconds
     * @param distanceCost  cost of leaving the failure domain, in service times
     * @return cost as time in nanoseconds
     */
    double cost(long now, long nearestNanos, double distanceCost) {
        double score = score(now);
        return roundTripNanos > nearestNanos ? score + known.serviceNanos * distanceCost : score;
    }

    long roundTripNanos() {
        return roundTripNanos;
    }

    /**
     * Returns the share of its limit that the server is given.
     *
     * @param now present time, in nanoseconds
     * @return share between {@value #RAMP_START} and 1
     */
    private double ramp(long now) {
        double share = (now - servingSinceNanos) / RAMP_NANOS;
        return share >= 1 ? 1 : Math.max(RAMP_START, share);
    }

    /**
     * A report as kept.
     *
     * @param others       calls of other entries at the server
     * @param limit        calls that the gate dispatches at the same time
     * @param serviceNanos smoothed service time, in nanoseconds
     * @param atNanos      time of arrival, in nanoseconds
     */
    private record Known(int others, int limit, long serviceNanos, long atNanos) {}
}
