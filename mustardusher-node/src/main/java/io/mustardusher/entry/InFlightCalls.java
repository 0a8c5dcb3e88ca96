package io.mustardusher.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the calls whose response is not complete. */
final class InFlightCalls {

    private final AtomicInteger count = new AtomicInteger();

    /**
     * Counts a call.
     *
     * @return ends the call; further runs have no effect, so that each event that ends a call may run it
     */
    Runnable start() {
        count.incrementAndGet();
        AtomicBoolean ended = new AtomicBoolean();
        return () -> {
            if (ended.compareAndSet(false, true)) {
                count.decrementAndGet();
            }
        };
    }

    /**
     * Returns the number of calls that have not ended.
     *
     * @return number of calls
     */
    int count() {
        return count.get();
    }
}
