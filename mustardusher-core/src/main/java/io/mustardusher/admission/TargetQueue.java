package io.mustardusher.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import io.mustardusher.catalogue.ServiceClass;

/**
 * Queue that dispatches calls by rank (service class, then route priority) and, within a rank, nested calls before
 * others, calls that can still meet their target before those that cannot, calls of accounts with few calls at this
 * gate before those of accounts with many, and finally the earliest target first. Not thread-safe.
 *
 * <p>Once a call with a precedence of its own has arrived, a lower rank that waits is served at least once in
 * {@value #MAX_PASSED_OVER} dispatches, and one of as many dispatches within a rank ignores the accounts.
 */
final class TargetQueue implements WaitingQueue {

    /** Number of dispatches of which at least one goes to a lower rank that waits. */
    private static final int MAX_PASSED_OVER = 16;

    private final ToLongFunction<Ticket> serviceNanos;
    private final List<Ticket> queued = new ArrayList<>();

    /** Calls by account, queued or running. */
    private final Map<String, Integer> callsByAccount = new HashMap<>();

    /** Consecutive dispatches of higher ranks, by lower rank that waited meanwhile. */
    private final Map<Rank, Integer> passedOver = new HashMap<>();

    /** Consecutive dispatches that would have gone to another call without regard to accounts. */
    private int accountsPreferred;

    /** Whether a call with a precedence of its own has arrived; until then the order is that of classes and targets. */
    private boolean ordersByPrecedence;

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
    public int countAhead(Ticket newcomer) {
        int count = 0;
        for (Ticket ticket : queued) {
            count += isAhead(ticket, newcomer) ? 1 : 0;
        }
        return count;
    }

    @Override
    public void add(Ticket ticket) {
        ordersByPrecedence |= !ticket.precedence.equals(Ticket.Precedence.NONE);
        queued.add(ticket);
        countAccount(ticket, 1);
    }

    @Override
    public boolean remove(Ticket ticket) {
        boolean removed = queued.remove(ticket);
        if (removed) {
            countAccount(ticket, -1);
        }
        return removed;
    }

    @Override
    public List<Ticket> removeIf(Predicate<Ticket> condition) {
        List<Ticket> matching = queued.stream().filter(condition).toList();
        matching.forEach(this::remove);
        return matching;
    }

    @Override
    public Ticket removeNext(long now) {
        Ticket next = next(now);
        remove(next);
        return next;
    }

    @Override
    public boolean defer(Ticket ticket) {
        boolean outOfTurn = passedOver.getOrDefault(Rank.of(ticket), 0) >= MAX_PASSED_OVER - 1
                || accountsPreferred >= MAX_PASSED_OVER - 1;
        passedOver.remove(Rank.of(ticket));
        accountsPreferred = 0;
        add(ticket);
        return outOfTurn;
    }

    @Override
    public Ticket findEvictionCandidate(Ticket newcomer) {
        ordersByPrecedence |= !newcomer.precedence.equals(Ticket.Precedence.NONE);
        queued.add(newcomer);
        countAccount(newcomer, 1);
        long now = newcomer.arrivedNanos;
        Set<Ticket> reserved = reservedPlaces(now);
        Ticket worst = last(ticket -> !reserved.contains(ticket), newcomer, now);
        queued.remove(queued.size() - 1);
        countAccount(newcomer, -1);
        return worst == newcomer ? null : worst;
    }

    @Override
    public void onDispatch(Ticket ticket) {
        countAccount(ticket, 1);
        if (!ordersByPrecedence) {
            return;
        }
        Rank dispatched = Rank.of(ticket);
        Set<Rank> waiting = new HashSet<>();
        queued.forEach(other -> waiting.add(Rank.of(other)));
        passedOver.keySet().retainAll(waiting);
        passedOver.remove(dispatched);
        for (Rank rank : waiting) {
            if (rank.isBelow(dispatched)) {
                passedOver.merge(rank, 1, Integer::sum);
            }
        }
        boolean preferred = queued.stream()
                .anyMatch(other -> Rank.of(other).equals(dispatched)
                        && precedesRegardlessOfAccount(other, ticket, ticket.dispatchedNanos));
        accountsPreferred = preferred ? accountsPreferred + 1 : 0;
    }

    @Override
    public void onCompletion(Ticket ticket) {
        countAccount(ticket, -1);
    }

    private Ticket next(long now) {
        for (Map.Entry<Rank, Integer> lower : passedOver.entrySet()) {
            if (lower.getValue() >= MAX_PASSED_OVER - 1) {
                Ticket due = first(ticket -> Rank.of(ticket).equals(lower.getKey()), this::precedes, now);
                if (due != null) {
                    return due;
                }
            }
        }
        return accountsPreferred >= MAX_PASSED_OVER - 1
                ? first(ticket -> true, this::precedesRegardlessOfAccount, now)
                : first(ticket -> true, this::precedes, now);
    }

    private Ticket first(Predicate<Ticket> condition, Order order, long now) {
        Ticket best = null;
        for (Ticket ticket : queued) {
            if (condition.test(ticket) && (best == null || order.precedes(ticket, best, now))) {
                best = ticket;
            }
        }
        return best;
    }

    // Returns the last call in the order; of equal ones the newcomer.
    private Ticket last(Predicate<Ticket> condition, Ticket newcomer, long now) {
        Ticket worst = condition.test(newcomer) ? newcomer : null;
        for (Ticket ticket : queued) {
            if (condition.test(ticket) && (worst == null || precedes(worst, ticket, now))) {
                worst = ticket;
            }
        }
        return worst;
    }

    // Each lower rank keeps one place in a full queue, because it would never wait for its turn otherwise.
    private Set<Ticket> reservedPlaces(long now) {
        if (!ordersByPrecedence) {
            return Set.of();
        }
        Map<Rank, Ticket> firstByRank = new HashMap<>();
        for (Ticket ticket : queued) {
            firstByRank.merge(Rank.of(ticket), ticket, (best, other) -> precedes(other, best, now) ? other : best);
        }
        Rank highest = firstByRank.keySet().stream().min(Rank::compareTo).orElseThrow();
        firstByRank.remove(highest);
        return Set.copyOf(firstByRank.values());
    }

    private boolean isAhead(Ticket ticket, Ticket newcomer) {
        int byRank = Rank.compare(ticket, newcomer);
        if (byRank != 0) {
            return byRank < 0;
        }
        if (ticket.precedence.nested() != newcomer.precedence.nested()) {
            return ticket.precedence.nested();
        }
        return calls(ticket) <= calls(newcomer) + 1;
    }

    private boolean precedes(Ticket one, Ticket other, long now) {
        return precedes(one, other, now, calls(one) - calls(other));
    }

    private boolean precedesRegardlessOfAccount(Ticket one, Ticket other, long now) {
        return precedes(one, other, now, 0);
    }

    private boolean precedes(Ticket one, Ticket other, long now, int byAccount) {
        int byRank = Rank.compare(one, other);
        if (byRank != 0) {
            return byRank < 0;
        }
        if (one.precedence.nested() != other.precedence.nested()) {
            return one.precedence.nested();
        }
        boolean meetsTarget = canMeetTarget(one, now);
        if (meetsTarget != canMeetTarget(other, now)) {
            return meetsTarget;
        }
        if (byAccount != 0) {
            return byAccount < 0;
        }
        return one.latencyTarget.targetNanos() < other.latencyTarget.targetNanos();
    }

    private boolean canMeetTarget(Ticket ticket, long now) {
        return now + serviceNanos.applyAsLong(ticket) <= ticket.latencyTarget.targetNanos();
    }

    private int calls(Ticket ticket) {
        return callsByAccount.getOrDefault(ticket.precedence.account(), 0);
    }

    private void countAccount(Ticket ticket, int change) {
        callsByAccount.merge(
                ticket.precedence.account(), change, (calls, added) -> calls + added == 0 ? null : calls + added);
    }

    /** Order of two calls at a time. */
    private interface Order {

        boolean precedes(Ticket one, Ticket other, long now);
    }

    /**
     * Rank of a call.
     *
     * @param serviceClass  class of the call, which precedes the priority of its route
     * @param routePriority priority of its route
     */
    private record Rank(ServiceClass serviceClass, int routePriority) implements Comparable<Rank> {

        static Rank of(Ticket ticket) {
            return new Rank(ticket.serviceClass, ticket.precedence.routePriority());
        }

        static int compare(Ticket one, Ticket other) {
            int byClass = one.serviceClass.compareTo(other.serviceClass);
            return byClass != 0
                    ? byClass
                    : Integer.compare(one.precedence.routePriority(), other.precedence.routePriority());
        }

        @Override
        public int compareTo(Rank other) {
            int byClass = serviceClass.compareTo(other.serviceClass);
            return byClass != 0 ? byClass : Integer.compare(routePriority, other.routePriority);
        }

        boolean isBelow(Rank other) {
            return compareTo(other) > 0;
        }
    }
}
