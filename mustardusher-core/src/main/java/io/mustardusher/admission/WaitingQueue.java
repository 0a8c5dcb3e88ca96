package io.mustardusher.admission;

import java.util.List;
import java.util.function.Predicate;

/** Calls queued at a gate, and the order in which they are dispatched. Not thread-safe. */
interface WaitingQueue {

    int size();

    // Counts the queued calls that are expected to be dispatched before a new call.
    int countAhead(Ticket newcomer);

    void add(Ticket ticket);

    boolean remove(Ticket ticket);

    // Removes and returns the call to dispatch next, or returns null if the queue is empty.
    Ticket removeNext(long now);

    // Adds a removed call again because it is deferred. Returns whether it was removed out of turn; it then loses this
    // turn, and the next call by order may be dispatched.
    default boolean defer(Ticket ticket) {
        add(ticket);
        return false;
    }

    // Removes and returns the calls that meet a condition. Queues without latency targets have no overdue calls.
    default List<Ticket> removeIf(Predicate<Ticket> condition) {
        return List.of();
    }

    // Returns the call to evict from a full queue in favour of a new one, or null if the new one is to be rejected.
    Ticket findEvictionCandidate(Ticket newcomer);

    void onDispatch(Ticket ticket);

    void onCompletion(Ticket ticket);
}
