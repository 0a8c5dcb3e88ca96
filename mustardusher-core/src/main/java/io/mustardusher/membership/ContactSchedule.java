package io.mustardusher.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import io.mustardusher.time.Clock;

/**
 * Decides which nodes a node contacts to join the cluster, and when it tries again. Where a node cannot be reached, the
 * next one is tried immediately. Nodes that could not be reached are tried again after growing pauses, because after a
 * loss of power they start within seconds of this one.
 */
public final class ContactSchedule {

    /** Number of nodes that are tried for each contact wanted. */
    public static final int CANDIDATES_PER_CONTACT = 4;

    /** Maximum number of attempts to reach a node. With the pauses between them they span 1.9 s. */
    private static final int MAX_ATTEMPTS = 6;

    /** Pause after the first failed attempt to reach a node, in nanoseconds. */
    private static final long FIRST_PAUSE_NANOS = 100 * Clock.NANOS_PER_MILLI;

    /** Factor by which the pause grows with each further failed attempt. */
    private static final double PAUSE_GROWTH = 1.7;

    private final Clock clock;

    /** Number of nodes to reach. */
    private final int wanted;

    /** Nodes that have been neither reached nor given up, in order of their first attempt. */
    private final List<Candidate> candidates = new ArrayList<>();

    private int reached;

    private int inProgress;

    /**
     * Creates a schedule.
     *
     * @param clock      source of time
     * @param wanted     number of nodes to reach
     * @param candidates addresses of nodes, in order of preference; those beyond {@value #CANDIDATES_PER_CONTACT} for
     *     each node to reach are ignored
     */
    public ContactSchedule(Clock clock, int wanted, List<InetSocketAddress> candidates) {
        this.clock = clock;
        this.wanted = wanted;
        candidates.stream()
                .distinct()
                .limit((long) wanted * CANDIDATES_PER_CONTACT)
                .forEach(address -> this.candidates.add(new Candidate(address, clock.nanoTime())));
    }

    /**
     * Returns the nodes to contact now. The result of each attempt has to be passed to {@link #recordResult}.
     *
     * @param known addresses of known active members; an earlier attempt to reach one of them is not repeated, because
     *     it has reached this node meanwhile
     * @return their addresses
     */
    public synchronized List<InetSocketAddress> takeDue(Set<InetSocketAddress> known) {
        candidates.removeIf(candidate -> {
            boolean met = candidate.attempts > 0 && !candidate.inProgress && known.contains(candidate.address);
            reached += met ? 1 : 0;
            return met;
        });
        List<InetSocketAddress> due = new ArrayList<>();
        long now = clock.nanoTime();
        for (Candidate candidate : candidates) {
            if (reached + inProgress >= wanted) {
                break;
            }
            if (!candidate.inProgress && now - candidate.dueNanos >= 0) {
                candidate.inProgress = true;
                candidate.attempts++;
                inProgress++;
                due.add(candidate.address);
            }
        }
        return due;
    }

    /**
     * Records the result of an attempt.
     *
     * @param address  address of the node
     * @param answered whether the node has answered
     */
    public synchronized void recordResult(InetSocketAddress address, boolean answered) {
        Candidate candidate = candidates.stream()
                .filter(other -> other.address.equals(address))
                .findFirst()
                .orElseThrow();
        inProgress--;
        candidate.inProgress = false;
        if (answered) {
            reached++;
        }
        if (answered || candidate.attempts >= MAX_ATTEMPTS) {
            candidates.remove(candidate);
            return;
        }
        double pauseNanos = FIRST_PAUSE_NANOS * Math.pow(PAUSE_GROWTH, candidate.attempts - 1);
        candidate.dueNanos = clock.nanoTime() + (long) pauseNanos;
    }

    /**
     * Returns whether no further attempt follows.
     *
     * @return {@code true} if enough nodes were reached or all were given up
     */
    public synchronized boolean isDone() {
        return candidates.isEmpty() || reached >= wanted;
    }

    private static final class Candidate {

        private final InetSocketAddress address;
        private int attempts;
        private boolean inProgress;
        private long dueNanos;

        Candidate(InetSocketAddress address, long dueNanos) {
            this.address = address;
            this.dueNanos = dueNanos;
        }
    }
}
