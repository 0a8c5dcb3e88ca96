package io.mustardusher.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

import io.mustardusher.catalogue.ServiceClass;

/**
 * Waiting calls by class; within a class those that can still meet their target go first, the nearest target before the
 * others, and after them those that are late already. Not safe for threads.
 */
final class TargetQueue implements WaitingQueue {

    private final ToLongFunction<Ticket> serviceNanos;
    private final List<Ticket> waiting = new ArrayList<>();

    /**
     * Creates an empty queue.
     *
     * @param serviceNanos expected service time of a call, in nanoseconds
     */
    TargetQueue(ToLongFunction<Ticket> serviceNanos) {
        this.serviceNanos = serviceNanos;
    }

    @Override
    public int size() {
        return waiting.size();
    }

    @Override
    public int ahead(ServiceClass serviceClass) {
        int count = 0;
        for (Ticket ticket : waiting) {
            count += ticket.serviceClass.compareTo(serviceClass) <= 0 ? 1 : 0;
        }
        return count;
    }

    @Override
    public void add(Ticket ticket) {
        waiting.add(ticket);
    }

    @Override
    public boolean remove(Ticket ticket) {
        return waiting.remove(ticket);
    }

    @Override
    public Ticket next(long now) {
        Ticket best = null;
        for (Ticket ticket : waiting) {
            if (best == null || goesBefore(ticket, best, now)) {
                best = ticket;
            }
        }
        waiting.remove(best);
        return best;
    }

    @Override
    public Ticket victimFor(Ticket newcomer) {
        Ticket worst = newcomer;
        for (Ticket ticket : waiting) {
            if (goesBefore(worst, ticket, newcomer.arrivedNanos)) {
                worst = ticket;
            }
        }
        return worst == newcomer ? null : worst;
    }

    @Override
    public void started(String owner) {
        // turns do not depend on what runs
    }

    @Override
    public void ended(String owner) {
        // turns do not depend on what runs
    }

    private boolean goesBefore(Ticket one, Ticket other, long now) {
        int byClass = one.serviceClass.compareTo(other.serviceClass);
        if (byClass != 0) {
            return byClass < 0;
        }
        boolean inTime = isInTime(one, now);
        if (inTime != isInTime(other, now)) {
            return inTime;
        }
        return one.wish.targetNanos() < other.wish.targetNanos();
    }

    private boolean isInTime(Ticket ticket, long now) {
        return now + serviceNanos.applyAsLong(ticket) <= ticket.wish.targetNanos();
    }
}
