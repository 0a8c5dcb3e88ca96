package io.mustardusher.admission;

import io.mustardusher.catalogue.ServiceClass;

/** Calls that wait at a gate, and whose turn it is. Not safe for threads. */
interface WaitingQueue {

    int size();

    // Counts the calls that would go before a newcomer of a class.
    int ahead(ServiceClass serviceClass);

    void add(Ticket ticket);

    boolean remove(Ticket ticket);

    // Takes the call whose turn it is, or returns {@code null}.
    Ticket next(long now);

    // Finds the call that gives way to a newcomer when the queue is full, or returns {@code null} for the newcomer.
    Ticket victimFor(Ticket newcomer);

    void started(String owner);

    void ended(String owner);
}
