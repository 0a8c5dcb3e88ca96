package io.mustardusher.admission;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.routing.Mobility;

/** State of one call at a gate, from its arrival until it is answered, rejected or cancelled. */
public final class Ticket {

    /** Owner on whose behalf the call is made. */
    final String owner;

    /** Class of the call. */
    final ServiceClass serviceClass;

    /** Time by which the call must be answered, in nanoseconds. */
    final long deadlineNanos;

    /** Whether the call must not run concurrently with other calls. */
    final boolean exclusive;

    /** Receives the admission decision. */
    final AdmissionListener listener;

    /** Time by which an answer is desired, in addition to the deadline. */
    final LatencyTarget latencyTarget;

    /** Order of the call within its class. */
    final Precedence precedence;

    /** Whether the server was known to be slow when the call was dispatched. */
    boolean dispatchedSlow;

    /** Whether the server was nearly full when the call was dispatched. */
    boolean dispatchedNearlyFull;

    /** Current phase of the call. */
    Phase phase = Phase.QUEUED;

    /** Time of arrival at the gate, in nanoseconds. */
    long arrivedNanos;

    /** Time of dispatch, in nanoseconds. */
    long dispatchedNanos;

    /**
     * Creates a ticket without a latency target.
     *
     * @param owner         owner on whose behalf the call is made
     * @param serviceClass  class of the call
     * @param deadlineNanos time by which it must be answered, in nanoseconds
     * @param exclusive     whether the call must not run concurrently with other calls
     * @param listener      receives the admission decision
     */
    public Ticket(
            String owner,
            ServiceClass serviceClass,
            long deadlineNanos,
            boolean exclusive,
            AdmissionListener listener) {
        this(owner, serviceClass, deadlineNanos, exclusive, listener, LatencyTarget.NONE);
    }

    /**
     * Creates a ticket with a latency target.
     *
     * @param owner         owner on whose behalf the call is made
     * @param serviceClass  class of the call
     * @param deadlineNanos time by which it must be answered, in nanoseconds
     * @param exclusive     whether the call must not run concurrently with other calls
     * @param listener      receives the admission decision
     * @param latencyTarget time by which an answer is desired, in addition to the deadline
     */
    public Ticket(
            String owner,
            ServiceClass serviceClass,
            long deadlineNanos,
            boolean exclusive,
            AdmissionListener listener,
            LatencyTarget latencyTarget) {
        this(owner, serviceClass, deadlineNanos, exclusive, listener, latencyTarget, Precedence.NONE);
    }

    /**
     * Creates a ticket with a latency target and a precedence within its class.
     *
     * @param owner         owner on whose behalf the call is made
     * @param serviceClass  class of the call
     * @param deadlineNanos time by which it must be answered, in nanoseconds
     * @param exclusive     whether the call must not run concurrently with other calls
     * @param listener      receives the admission decision
     * @param latencyTarget time by which an answer is desired, in addition to the deadline
     * @param precedence    order of the call within its class
     */
    public Ticket(
            String owner,
            ServiceClass serviceClass,
            long deadlineNanos,
            boolean exclusive,
            AdmissionListener listener,
            LatencyTarget latencyTarget,
            Precedence precedence) {
        this.latencyTarget = latencyTarget;
        this.precedence = precedence;
        this.owner = owner;
        this.serviceClass = serviceClass;
        this.deadlineNanos = deadlineNanos;
        this.exclusive = exclusive;
        this.listener = listener;
    }

    /**
     * Time by which an answer is desired; unlike a deadline it may be missed.
     *
     * @param targetNanos time by which the answer is desired, in nanoseconds of the clock
     * @param mobility    when the call may be returned to be sent to another gate
     */
    public record LatencyTarget(long targetNanos, Mobility mobility) {

        /** No target: any answer before the deadline is equally useful, and the call stays at this gate. */
        public static final LatencyTarget NONE = new LatencyTarget(Long.MAX_VALUE, Mobility.FIXED);

        boolean isPresent() {
            return targetNanos != Long.MAX_VALUE;
        }
    }

    /**
     * Order of a call among those of its class.
     *
     * @param routePriority priority of the call's route; 0 is the highest
     * @param nested        whether a running request made the call, which already holds a slot of another server
     * @param account       name of the client account on whose behalf the call is made; empty if there is none
     */
    public record Precedence(int routePriority, boolean nested, String account) {

        /** A call of the highest route priority that is neither nested nor made on behalf of an account. */
        public static final Precedence NONE = new Precedence(0, false, "");
    }

    /** Phase of a call. */
    enum Phase {
        /** In the queue. */
        QUEUED,

        /** At the backend server. */
        DISPATCHED,

        /** Answered, rejected or cancelled. */
        ENDED
    }
}
