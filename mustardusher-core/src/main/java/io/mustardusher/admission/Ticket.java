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

    /** Where the call stands. */
    Phase phase = Phase.WAITING;

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
        this.owner = owner;
        this.serviceClass = serviceClass;
        this.deadlineNanos = deadlineNanos;
        this.alone = alone;
        this.waiter = waiter;
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
