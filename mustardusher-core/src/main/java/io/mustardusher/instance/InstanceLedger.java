package io.mustardusher.instance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.mustardusher.time.Clock;

/**
 * The newest believable announcement of the server beside a node. Later starts replace earlier ones, whatever the order
 * of arrival; within one start the sequence rises and the phase never goes back.
 */
public final class InstanceLedger {

    /**
     * Silence after which a server is believed to be replaced by another of the same age, in nanoseconds: two
     * announcements at the usual interval of 1.5 s.
     */
    private static final long SILENCE_NANOS = 3_000 * Clock.NANOS_PER_MILLI;

    /** Highest number of an announcement that shows a server to have just started. */
    private static final long FIRST_SEQUENCES = 3;

    /** Replaced servers whose late announcements are recognized. */
    private static final int REPLACED = 16;

    private final Clock clock;
    private final Deque<String> replaced = new ArrayDeque<>();
    private Sighting current;
    private long heardNanos;

    /**
     * Creates a ledger without announcements.
     *
     * @param clock source of time
     */
    public InstanceLedger(Clock clock) {
        this.clock = clock;
    }

    /**
     * Takes an announcement.
     *
     * @param seen the announcement
     * @return {@code true} if it is news: the current state is now what it says
     */
    public synchronized boolean offer(Sighting seen) {
        if (!isNews(seen)) {
            return false;
        }
        boolean same = current != null && current.isSameStart(seen);
        if (current != null && !current.instance().equals(seen.instance())) {
            replaced.addLast(current.instance());
            if (replaced.size() > REPLACED) {
                replaced.removeFirst();
            }
        }
        heardNanos = clock.nanoTime();
        boolean back = same && seen.phase().compareTo(current.phase()) < 0;
        current = back ? new Sighting(seen.instance(), seen.born(), seen.sequence(), current.phase()) : seen;
        return true;
    }

    /**
     * Takes the farewell of a server, which may not say when it was started.
     *
     * @param instance name of the server
     * @param born     its start in milliseconds since the epoch, or empty if the farewell does not tell
     * @return {@code true} if the server that is known now is gone
     */
    public synchronized boolean leave(String instance, Optional<Long> born) {
        boolean known = current != null && current.instance().equals(instance);
        if (known && born.map(start -> start < current.born()).orElse(false)) {
            return false;
        }
        if (known) {
            long start = born.orElse(current.born());
            current = new Sighting(instance, start, Long.MAX_VALUE, Sighting.Phase.GONE);
            return true;
        }
        if (current == null) {
            current = new Sighting(instance, born.orElse(0L), Long.MAX_VALUE, Sighting.Phase.GONE);
        }
        return false;
    }

    /**
     * Returns the newest announcement.
     *
     * @return the announcement, or empty before the first
     */
    public synchronized Optional<Sighting> current() {
        return Optional.ofNullable(current);
    }

    private boolean isNews(Sighting seen) {
        if (current == null) {
            return true;
        }
        if (current.isSameStart(seen)) {
            return seen.sequence() > current.sequence();
        }
        if (seen.born() != current.born()) {
            return seen.born() > current.born();
        }
        if (replaced.contains(seen.instance())) {
            return false;
        }
        boolean silent = clock.nanoTime() - heardNanos > SILENCE_NANOS;
        return silent || current.phase() == Sighting.Phase.GONE || seen.sequence() <= FIRST_SEQUENCES;
    }
}
