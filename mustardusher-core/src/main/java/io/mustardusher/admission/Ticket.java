package io.mustardusher.admission;

import io.mustardusher.catalogue.ServiceClass;

/** A call's place at a gate. */
public final class Ticket {

    /** Owner on whose behalf the call comes. */
    final String owner;

    /** Class of the call. */
    final ServiceClass serviceClass;

    /** Time by which the call must be answered, in nanoseconds. */
    final long deadlineNanos;

    /** Whether no other call may run beside this one. */
    final boolean alone;

    /** Who waits. */
    final Waiter waiter;

    /** What the caller would like beside an answer by the deadline. */
    final Wish wish;

    /** Whether the server was known to be slow on dispatch. */
    boolean dispatchedSlow;

    /** Where the call stands. */
    Phase phase = Phase.WAITING;

    /** Time of arrival at the gate, in nanoseconds. */
    long arrivedNanos;

    /** Time of dispatch, in nanoseconds. */
    long dispatchedNanos;

    /**
     * Creates a ticket.
     *
     * @param owner         owner on whose behalf the call comes
     * @param serviceClass  class of the call
     * @param deadlineNanos time by which it must be answered, in nanoseconds
     * @param alone         whether no other call may run beside it
     * @param waiter        who waits
     */
    public Ticket(String owner, ServiceClass serviceClass, long deadlineNanos, boolean alone, Waiter waiter) {
        this(owner, serviceClass, deadlineNanos, alone, waiter, Wish.NONE);
    }

    /**
     * Creates a ticket with a wish.
     *
     * @param owner         owner on whose behalf the call comes
     * @param serviceClass  class of the call
     * @param deadlineNanos time by which it must be answered, in nanoseconds
     * @param alone         whether no other call may run beside it
     * @param waiter        who waits
     * @param wish          what the caller would like beside an answer by the deadline
     */
    public Ticket(
            String owner, ServiceClass serviceClass, long deadlineNanos, boolean alone, Waiter waiter, Wish wish) {
        this.wish = wish;
        this.owner = owner;
        this.serviceClass = serviceClass;
        this.deadlineNanos = deadlineNanos;
        this.alone = alone;
        this.waiter = waiter;
    }

    /**
     * What a caller would like beside an answer by the deadline.
     *
     * @param targetNanos time by which the answer is of full use, in nanoseconds
     * @param movable     whether the call may be sent to another gate if it would miss its target at this one
     */
    public record Wish(long targetNanos, boolean movable) {

        /** Any time before the deadline is as good, at this gate. */
        public static final Wish NONE = new Wish(Long.MAX_VALUE, false);

        boolean hasTarget() {
            return targetNanos != Long.MAX_VALUE;
        }
    }

    /** Where a call stands. */
    enum Phase {
        /** In the queue. */
        WAITING,

        /** At the backend server. */
        DISPATCHED,

        /** Answered, refused or given up. */
        ENDED
    }
}
