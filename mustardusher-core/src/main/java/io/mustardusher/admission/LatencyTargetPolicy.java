package io.mustardusher.admission;

/**
 * Decides what a gate does with calls because of their latency targets: whether it returns a call to its entry, defers
 * it on a slow server, or rejects it after it has been queued for too long. Not thread-safe.
 */
final class LatencyTargetPolicy {

    /**
     * Longest wait for a slot of a call that may be sent to another gate, in service times. Another attempt costs more
     * processor time than a shorter wait is worth.
     */
    private static final double MAX_WAIT_FOR_SLOT = 0.5;

    /**
     * Part of the time between its target and its deadline after which a queued call is rejected. Later, its caller
     * would hardly have time to return, and until then a slot may become free.
     */
    private static final double MAX_OVERDUE_FRACTION = 0.4;

    private final ServiceTimes times;

    /**
     * Creates a policy.
     *
     * @param times expected service times at the server
     */
    LatencyTargetPolicy(ServiceTimes times) {
        this.times = times;
    }

    /**
     * Returns whether a call may be answered sooner at another gate. An entry that sees each server seldom chooses by
     * reports that are out of date, so it may have a call returned that would wait here, even if it could meet its
     * target. A call that is too late even for an idle server stays, because each further gate would cost time and work
     * for nothing.
     *
     * @param ticket      the call
     * @param waitNanos   time that the call is expected to wait for a slot, in nanoseconds
     * @param answerNanos time at which this gate expects the answer, in nanoseconds
     * @param now         current time, in nanoseconds
     * @return {@code true} if the call should be sent to another gate
     */
    boolean isWorthMoving(Ticket ticket, double waitNanos, double answerNanos, long now) {
        long targetNanos = ticket.latencyTarget.targetNanos();
        double serviceNanos = times.baselineNanos(ticket.owner);
        boolean reachable = now + serviceNanos <= targetNanos;
        boolean waits = waitNanos > MAX_WAIT_FOR_SLOT * serviceNanos;
        boolean late = times.isSlow(now) || answerNanos > targetNanos;
        return reachable && ticket.latencyTarget.mobility().permitsReturn(late, waits);
    }

    /**
     * Returns whether a queued call has missed its target by so much that it is to be rejected. A nested call is left
     * to its deadline: without it, the run that made it fails.
     *
     * @param ticket the call
     * @param now    current time, in nanoseconds
     * @return {@code true} if it has
     */
    boolean isOverdue(Ticket ticket, long now) {
        if (!ticket.latencyTarget.isPresent() || ticket.precedence.nested()) {
            return false;
        }
        long targetNanos = ticket.latencyTarget.targetNanos();
        double lateNanos = now + times.baselineNanos(ticket.owner) - targetNanos;
        return lateNanos > MAX_OVERDUE_FRACTION * (ticket.deadlineNanos - targetNanos);
    }

    /**
     * Returns whether a call is to wait although a slot is free, because the server is slow.
     *
     * @param ticket the call
     * @param now    current time, in nanoseconds
     * @return {@code true} if it is
     */
    boolean shouldDefer(Ticket ticket, long now) {
        return !ticket.exclusive
                && ticket.latencyTarget.isPresent()
                && times.isSlow(now)
                && now - ticket.arrivedNanos < times.maxDeferralNanos(ticket.owner, now);
    }
}
