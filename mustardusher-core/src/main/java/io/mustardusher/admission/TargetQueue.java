package io.mustardusher.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

import io.mustardusher.catalogue.ServiceClass;

/**
 * Queue that dispatches calls by service class and, within a class, by latency target: calls that can still meet their
 * target precede those that cannot, and each of these groups is ordered by earliest target first. Not thread-safe.
 */
final class TargetQueue implements WaitingQueue {

    private final ToLongFunction<Ticket> serviceNanos;
    private final List<Ticket> queued = new ArrayList<>();

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
        return queued.size();
    }

    @Override
    public int countAhead(ServiceClass serviceClass) {
        int count = 0;
        for (Ticket ticket : queued) {
            count += ticket.serviceClass.compareTo(serviceClass) <= 0 ? 1 : 0;
        }
        return count;
    }

    @Override
    public void add(Ticket ticket) {
        queued.add(ticket);
    }

    @Override
    public boolean remove(Ticket ticket) {
        return queued.remove(ticket);
    }

    @Override
    public Ticket removeNext(long now) {
        Ticket best = null;
        for (Ticket ticket : queued) {
            if (best == null || precedes(ticket, best, now)) {
                best = ticket;
            }
        }
        queued.remove(best);
        return best;
    }

    @Override
    public Ticket findEvictionCandidate(Ticket newcomer) {
        Ticket worst = newcomer;
        for (Ticket ticket : queued) {
            if (precedes(worst, ticket, newcomer.arrivedNanos)) {
                worst = ticket;
            }
        }
        return worst == newcomer ? null : worst;
    }

    @Override
    public void onDispatch(String owner) {
        // the order does not depend on running calls
    }

    @Override
    public void onCompletion(String owner) {
        // the order does not depend on running calls
    }

    private boolean precedes(Ticket one, Ticket other, long now) {
        int byClass = one.serviceClass.compareTo(other.serviceClass);
        if (byClass != 0) {
            return byClass < 0;
        }
        boolean meetsTarget = canMeetTarget(one, now);
        if (meetsTarget != canMeetTarget(other, now)) {
            return meetsTarget;
        }
        return one.latencyTarget.targetNanos() < other.latencyTarget.targetNanos();
    }

    private boolean canMeetTarget(Ticket ticket, long now) {
        return now + serviceNanos.applyAsLong(ticket) <= ticket.latencyTarget.targetNanos();
    }
}
