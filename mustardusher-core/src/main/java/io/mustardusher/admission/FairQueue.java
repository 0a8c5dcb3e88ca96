package io.mustardusher.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import io.mustardusher.catalogue.ServiceClass;

/**
 * Queue that dispatches calls by service class and, within a class, from the owner with the fewest running calls. Not
 * thread-safe.
 */
final class FairQueue implements WaitingQueue {

    /** Queued calls by class and owner, in order of arrival. */
    private final Map<ServiceClass, Map<String, Deque<Ticket>>> queued = new EnumMap<>(ServiceClass.class);

    /** Running calls by owner. */
    private final Map<String, Integer> running = new HashMap<>();

    /** Number of queued calls. */
    private int size;

    /** Creates an empty queue. */
    FairQueue() {
        for (ServiceClass serviceClass : ServiceClass.values()) {
            queued.put(serviceClass, new LinkedHashMap<>());
        }
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public int countAhead(Ticket newcomer) {
        int count = 0;
        for (Map.Entry<ServiceClass, Map<String, Deque<Ticket>>> entry : queued.entrySet()) {
            if (entry.getKey().compareTo(newcomer.serviceClass) <= 0) {
                count +=
                        entry.getValue().values().stream().mapToInt(Deque::size).sum();
            }
        }
        return count;
    }

    @Override
    public void add(Ticket ticket) {
        queued.get(ticket.serviceClass)
                .computeIfAbsent(ticket.owner, owner -> new ArrayDeque<>())
                .addLast(ticket);
        size++;
    }

    @Override
    public boolean remove(Ticket ticket) {
        Deque<Ticket> queue = queued.get(ticket.serviceClass).get(ticket.owner);
        if (queue == null || !queue.remove(ticket)) {
            return false;
        }
        updateAfterRemoval(ticket, queue);
        return true;
    }

    @Override
    public Ticket removeNext(long now) {
        for (Map<String, Deque<Ticket>> owners : queued.values()) {
            Deque<Ticket> best = null;
            int fewest = Integer.MAX_VALUE;
            for (Map.Entry<String, Deque<Ticket>> entry : owners.entrySet()) {
                int count = running.getOrDefault(entry.getKey(), 0);
                if (count < fewest) {
                    fewest = count;
                    best = entry.getValue();
                }
            }
            if (best != null) {
                Ticket ticket = best.removeFirst();
                updateAfterRemoval(ticket, best);
                return ticket;
            }
        }
        return null;
    }

    @Override
    public Ticket findEvictionCandidate(Ticket newcomer) {
        ServiceClass[] classes = ServiceClass.values();
        for (int i = classes.length - 1; i >= newcomer.serviceClass.ordinal(); i--) {
            Deque<Ticket> longest = longest(queued.get(classes[i]));
            if (longest == null) {
                continue;
            }
            if (classes[i] != newcomer.serviceClass) {
                return longest.peekLast();
            }
            Deque<Ticket> own = queued.get(classes[i]).get(newcomer.owner);
            int ownSize = own == null ? 0 : own.size();
            return longest.size() > ownSize + 1 ? longest.peekLast() : null;
        }
        return null;
    }

    @Override
    public void onDispatch(Ticket ticket) {
        running.merge(ticket.owner, 1, Integer::sum);
    }

    @Override
    public void onCompletion(Ticket ticket) {
        running.computeIfPresent(ticket.owner, (key, count) -> count == 1 ? null : count - 1);
    }

    /**
     * Returns the longest queue.
     *
     * @param owners queues by owner
     * @return the queue, or {@code null} if there is none
     */
    private static Deque<Ticket> longest(Map<String, Deque<Ticket>> owners) {
        Deque<Ticket> longest = null;
        for (Deque<Ticket> queue : owners.values()) {
            if (longest == null || queue.size() > longest.size()) {
                longest = queue;
            }
        }
        return longest;
    }

    /**
     * Updates the size after a call was removed, and moves its owner behind the other owners of its class.
     *
     * @param ticket the removed call
     * @param queue  the queue of its owner
     */
    private void updateAfterRemoval(Ticket ticket, Deque<Ticket> queue) {
        size--;
        Map<String, Deque<Ticket>> owners = queued.get(ticket.serviceClass);
        owners.remove(ticket.owner);
        if (!queue.isEmpty()) {
            owners.put(ticket.owner, queue);
        }
    }
}
