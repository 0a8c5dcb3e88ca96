package io.mustardusher.lab.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the calls that a backend server runs at the same time; further calls wait in an unbounded FIFO queue. */
final class Slots {

    private final int size;

    private final Deque<Runnable> queued = new ArrayDeque<>();

    /** Number of calls that hold a slot. */
    private int running;

    /**
     * Creates a pool of unoccupied slots.
     *
     * @param size number of calls that may run at the same time
     */
    Slots(int size) {
        this.size = size;
    }

    /**
     * Returns the number of slots, occupied or not.
     *
     * @return number of slots
     */
    int size() {
        return size;
    }

    /**
     * Returns the number of running and queued calls.
     *
     * @return number of calls
     */
    synchronized int currentCalls() {
        return running + queued.size();
    }

    /**
     * Runs a call at once on the calling thread if a slot is free, and enqueues it otherwise.
     *
     * @param call task that starts the call; {@link #release()} is to be called when the call ends
     */
    void submit(Runnable call) {
        synchronized (this) {
            if (running >= size) {
                queued.addLast(call);
                return;
            }
            running++;
        }
        call.run();
    }

    /** Releases a slot; if calls are queued, the first of them gets it and runs on the calling thread. */
    void release() {
        Runnable next;
        synchronized (this) {
            next = queued.pollFirst();
            if (next == null) {
                running = Math.max(0, running - 1);
            }
        }
        if (next != null) {
            next.run();
        }
    }

    /** Drops all queued calls and marks all slots as free. */
    synchronized void clear() {
        queued.clear();
        running = 0;
    }
}
