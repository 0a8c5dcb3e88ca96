package io.mustardusher.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.LoadReport;
import io.mustardusher.time.Clock;

/**
 * The exact count of calls at one backend server, with a short queue in front of it.
 *
 * <p>All methods hold the object's own lock, which is taken last of all locks; waiters are told after it is released.
 */
public final class Admission {

    private final Clock clock;

    /** Waiting calls. */
    private final WaitingQueue queue;

    /** Waiting calls that must run alone. */
    private final Deque<Ticket> aloneQueue = new ArrayDeque<>();

    /** Calls dispatched at the same time. */
    private final ConcurrencyLimit limit = new ConcurrencyLimit(1);

    /** Slots that the server announced. */
    private int slots = 1;

    /** Share of the service's limit that this gate may use. */
    private int share = Integer.MAX_VALUE;

    /** Calls that may wait. */
    private int queueCapacity;

    /** Whether new calls are refused. */
    private boolean closed = true;

    /** Calls at the server. */
    private int busy;

    /** Whether a call runs alone. */
    private boolean aloneRunning;

    private final ServiceTimes times = new ServiceTimes();

    /** Share of the announced slots that is used. */
    private final double usableShare;

    /**
     * Creates a closed gate.
     *
     * @param clock source of time
     */
    public Admission(Clock clock) {
        this.clock = clock;
        this.queue = new FairQueue();
        this.usableShare = 1;
    }

    private Admission(Clock clock, double usableShare) {
        this.clock = clock;
        this.queue = new TargetQueue(ticket -> (long) times.expected(ticket.owner, clock.nanoTime()));
        this.usableShare = usableShare;
    }

    /**
     * Creates a closed gate at which calls wait by their targets.
     *
     * @param clock       source of time
     * @param usableShare share of the announced slots that is used; servers slow down when they are nearly full
     * @return the gate
     */
    public static Admission byTargets(Clock clock, double usableShare) {
        return new Admission(clock, usableShare);
    }

    /**
     * Takes over the server's announcement and the limits of the catalogue.
     *
     * @param announcedSlots slots that the server announced
     * @param queuePerSlot   calls that may wait for each slot
     * @param gateShare      share of the service's limit; 0 for none
     */
    public void configure(int announcedSlots, int queuePerSlot, int gateShare) {
        change(told -> {
            slots = Math.max(1, (int) (announcedSlots * usableShare));
            limit.resize(slots);
            queueCapacity = slots * queuePerSlot;
            share = gateShare <= 0 ? Integer.MAX_VALUE : gateShare;
            dispatch(told);
        });
    }

    /** Lets new calls in. */
    public synchronized void open() {
        closed = false;
    }

    /** Refuses new calls; those inside go on. */
    public synchronized void close() {
        closed = true;
    }

    /**
     * Tells whether new calls are refused.
     *
     * @return {@code true} if they are
     */
    public synchronized boolean isClosed() {
        return closed;
    }

    /**
     * Asks to let a call through.
     *
     * @param ticket the call
     */
    public void offer(Ticket ticket) {
        change(told -> {
            ticket.arrivedNanos = clock.nanoTime();
            ResultCode refusal = refusalOnArrival(ticket);
            if (refusal == null) {
                enqueue(ticket, told);
                dispatch(told);
            } else {
                refuse(ticket, refusal, told);
            }
        });
    }

    /**
     * Ends a dispatched call.
     *
     * @param ticket the call
     * @param end    how it ended
     */
    public void release(Ticket ticket, CallEnd end) {
        change(told -> {
            if (ticket.phase != Ticket.Phase.DISPATCHED) {
                return;
            }
            ticket.phase = Ticket.Phase.ENDED;
            busy--;
            aloneRunning &= !ticket.alone;
            queue.ended(ticket.owner);
            observe(ticket, end);
            dispatch(told);
        });
    }

    /**
     * Gives up a waiting call.
     *
     * @param ticket the call
     * @return {@code true} if it was waiting, and so never runs
     */
    public synchronized boolean cancel(Ticket ticket) {
        if (ticket.phase != Ticket.Phase.WAITING) {
            return false;
        }
        ticket.phase = Ticket.Phase.ENDED;
        return ticket.alone ? aloneQueue.remove(ticket) : queue.remove(ticket);
    }

    /**
     * Takes over how slow the server is at present.
     *
     * @param percent time that work takes, as a percentage of the usual time
     */
    public void observed(int percent) {
        change(told -> {
            times.said(percent, clock.nanoTime());
            dispatch(told);
        });
    }

    /** Dispatches calls that have waited long enough for a slow server. */
    public void poll() {
        change(this::dispatch);
    }

    /**
     * Tells whether calls wait although there is room, because the server is slow at the moment.
     *
     * @return {@code true} if they do
     */
    public synchronized boolean isHolding() {
        return queue.size() > 0 && busy < effectiveLimit();
    }

    /**
     * Tells whether the server's word on its slowness is too old to be believed.
     *
     * @return {@code true} if it is
     */
    public synchronized boolean isStale() {
        return times.isStale(clock.nanoTime());
    }

    /**
     * Returns the load.
     *
     * @return the load
     */
    public synchronized LoadReport load() {
        long micros = (long) (times.overall() / Clock.NANOS_PER_MICRO);
        return new LoadReport(busy, waiting(), effectiveLimit(), micros, closed, times.isSlow(clock.nanoTime()));
    }

    /**
     * Returns the calls inside, waiting or at the server.
     *
     * @return number of calls
     */
    public synchronized int inside() {
        return busy + waiting();
    }

    // Waiters are told after the lock is released, as they may come back here.
    private void change(Consumer<List<Runnable>> step) {
        List<Runnable> told = new ArrayList<>(2);
        synchronized (this) {
            step.accept(told);
        }
        told.forEach(Runnable::run);
    }

    /**
     * Tells why a call is refused on arrival.
     *
     * @param ticket the call
     * @return the code, or {@code null} if it may wait
     */
    private ResultCode refusalOnArrival(Ticket ticket) {
        if (closed) {
            return ResultCode.DRAINING;
        }
        long now = clock.nanoTime();
        if (now - ticket.deadlineNanos >= 0) {
            return ResultCode.DEADLINE_EXPIRED;
        }
        int ahead = queue.ahead(ticket.serviceClass) + aloneQueue.size();
        int free = effectiveLimit() - busy;
        double rounds = Math.max(0, ahead + 1 - free) / (double) effectiveLimit();
        double held =
                Math.min(times.expected(ticket.owner, now), times.holdNanos(ticket.owner) + times.usual(ticket.owner));
        double expected = now + held + times.overall() * rounds;
        boolean better = times.isSlow(now) || expected > ticket.wish.targetNanos();
        if (ticket.wish.movable() && better) {
            return ResultCode.SLOWER_THAN_TARGET;
        }
        return busy > 0 && expected > ticket.deadlineNanos ? ResultCode.DEADLINE_UNREACHABLE : null;
    }

    /**
     * Puts a call into the queue; where the queue is full the weakest call gives way.
     *
     * @param ticket the call
     * @param told   what to run after the lock is released
     */
    private void enqueue(Ticket ticket, List<Runnable> told) {
        boolean full = busy >= effectiveLimit() && waiting() >= queueCapacity;
        if (full) {
            ResultCode code = share < limit.value() ? ResultCode.LIMIT_REACHED : ResultCode.OVERLOADED;
            Ticket victim = queue.victimFor(ticket);
            if (victim == null) {
                refuse(ticket, code, told);
                return;
            }
            queue.remove(victim);
            refuse(victim, code, told);
        }
        if (ticket.alone) {
            aloneQueue.addLast(ticket);
        } else {
            queue.add(ticket);
        }
    }

    /**
     * Dispatches what may go.
     *
     * @param told what to run after the lock is released
     */
    private void dispatch(List<Runnable> told) {
        while (!aloneRunning && busy < effectiveLimit()) {
            if (!aloneQueue.isEmpty() && busy > 0) {
                return;
            }
            Ticket ticket = aloneQueue.isEmpty() ? queue.next(clock.nanoTime()) : aloneQueue.removeFirst();
            if (ticket == null) {
                return;
            }
            if (mayHold(ticket)) {
                queue.add(ticket);
                return;
            }
            start(ticket, told);
        }
    }

    private boolean mayHold(Ticket ticket) {
        long now = clock.nanoTime();
        return !ticket.alone
                && ticket.wish.hasTarget()
                && times.isSlow(now)
                && now - ticket.arrivedNanos < times.holdNanos(ticket.owner);
    }

    /**
     * Starts a call, or refuses it if its deadline can no longer be met.
     *
     * @param ticket the call
     * @param told   what to run after the lock is released
     */
    private void start(Ticket ticket, List<Runnable> told) {
        long now = clock.nanoTime();
        long needed = busy == 0 ? 0 : (long) times.expected(ticket.owner, now);
        if (now + needed - ticket.deadlineNanos >= 0) {
            refuse(ticket, ResultCode.DEADLINE_UNREACHABLE, told);
            return;
        }
        ticket.phase = Ticket.Phase.DISPATCHED;
        ticket.dispatchedNanos = now;
        ticket.dispatchedSlow = times.isSlow(now);
        busy++;
        aloneRunning |= ticket.alone;
        queue.started(ticket.owner);
        told.add(ticket.waiter::admitted);
    }

    /**
     * Refuses a call.
     *
     * @param ticket the call
     * @param code   why
     * @param told   what to run after the lock is released
     */
    private static void refuse(Ticket ticket, ResultCode code, List<Runnable> told) {
        ticket.phase = Ticket.Phase.ENDED;
        told.add(() -> ticket.waiter.refused(code));
    }

    /**
     * Learns from a call that ended.
     *
     * @param ticket the call
     * @param end    how it ended
     */
    private void observe(Ticket ticket, CallEnd end) {
        long now = clock.nanoTime();
        switch (end) {
            case ANSWERED -> {
                double took = now - ticket.dispatchedNanos;
                times.ended(ticket.owner, took, ticket.dispatchedSlow);
                limit.answered();
            }
            case OVERLOADED -> limit.overloaded(now, (long) times.overall());
            default -> {
                // says nothing about the server
            }
        }
    }

    /**
     * Returns the calls that may be at the server.
     *
     * @return number of calls, at least 1
     */
    private int effectiveLimit() {
        return Math.max(1, Math.min(limit.value(), share));
    }

    /**
     * Returns the waiting calls.
     *
     * @return number of calls
     */
    private int waiting() {
        return queue.size() + aloneQueue.size();
    }
}
