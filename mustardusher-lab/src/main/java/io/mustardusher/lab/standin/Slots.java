package io.mustardusher.lab.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** The slots of a backend server, with the queue behind them. */
final class Slots {

    /** Number of slots. */
    private final int size;

    /** Waiting calls. */
    private final Deque<Runnable> waiting = new ArrayDeque<>();

    /** Running calls. */
    private int running;

    /**
     * Creates free slots.
     *
     * @param size number of slots
     */
    Slots(int size) {
        this.size = size;
    }

    /**
     * Returns the number of slots.
     *
     * @return the number
     */
    int size() {
        return size;
    }

    /**
     * Returns the calls inside.
     *
     * @return running and waiting calls
     */
    synchronized int inside() {
        return running + waiting.size();
    }

    /**
     * Runs a call once it has a slot.
     *
     * @param call the call
     */
    void enter(Runnable call) {
        synchronized (this) {
            if (running >= size) {
                waiting.addLast(call);
                return;
            }
            running++;
        }
        call.run();
    }

    /** Gives a slot back. */
    void leave() {
        Runnable next;
        synchronized (this) {
            next = waiting.pollFirst();
            if (next == null) {
                running = Math.max(0, running - 1);
            }
        }
        if (next != null) {
            next.run();
        }
    }

    /** Forgets all calls. */
    synchronized void clear() {
        waiting.clear();
        running = 0;
    }
}
