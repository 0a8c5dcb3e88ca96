package io.mustardusher.instance;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Optional;
import java.util.stream.Stream;

import io.mustardusher.time.Clock;

/**
 * Tracks the state of the backend server beside a node. A process that started later replaces an earlier one, in
 * whatever order their announcements arrive. Within one process, the sequence number increases and the phase never
 * reverts. A process with an earlier start time replaces a silent one only if it keeps announcing itself: it is then no
 * late announcement, but the wall clock was set back before the process started. The same holds for a process that was
 * replaced by another one with the same start time: the announcement of the other one was late. A process that is known
 * to be leaving from before a restart of the node never accepts new calls again.
 */
public final class InstanceTracker {

    /**
     * Time without announcements after which a process is replaced by another one with the same start time, in
     * nanoseconds: twice the usual announcement interval of 1.5 s.
     */
    private static final long REPLACEMENT_TIMEOUT_NANOS = 3_000 * Clock.NANOS_PER_MILLI;

    /** Time for which a process has to announce itself to prove that it runs, in nanoseconds. */
    private static final long PROOF_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Highest sequence number that shows that a process has just started. */
    private static final long MAX_INITIAL_SEQUENCE = 3;

    /** Maximum number of replaced instances whose late announcements are recognized. */
    private static final int MAX_REPLACED = 16;

    private final Clock clock;

    /** Last states of replaced instances, the latest last. */
    private final Deque<InstanceState> replaced = new ArrayDeque<>();

    private InstanceState current;
    private long updatedNanos;

    /**
     * First of the latest announcements of a process that replaces the current one only if it proves to run; {@code
     * null} if there is none.
     */
    private InstanceState candidate;

    private long candidateSinceNanos;

    /**
     * Creates a tracker without a state.
     *
     * @param clock source of time
     */
    public InstanceTracker(Clock clock) {
        this.clock = clock;
    }

    /**
     * Updates the current state from an announcement, unless the announcement is outdated. The phase of a process does
     * not revert.
     *
     * @param announced the announced state
     * @return {@code true} if the state was updated
     */
    public synchronized boolean update(InstanceState announced) {
        if (!supersedesCurrent(announced)) {
            boolean leaving = announced.phase() != InstanceState.Phase.SERVING;
            if (leaving && (current == null || !current.isSameProcess(announced))) {
                recordLeaving(announced);
            }
            return false;
        }
        boolean sameProcess = current != null && current.isSameProcess(announced);
        Optional<InstanceState> last = sameProcess ? Optional.of(current) : lastStateIfReplaced(announced);
        replaced.removeIf(announced::isSameProcess);
        if (current != null && !current.instance().equals(announced.instance())) {
            addReplaced(current);
        }
        updatedNanos = clock.nanoTime();
        candidate = null;
        current = last.filter(state -> announced.phase().compareTo(state.phase()) < 0)
                .map(state -> new InstanceState(
                        announced.instance(), announced.startMillis(), announced.sequence(), state.phase()))
                .orElse(announced);
        return true;
    }

    /**
     * Handles the statement of a process that it is leaving.
     *
     * @param instance name of the server
     * @return {@code true} if the current process accepted new calls until now
     */
    public synchronized boolean drain(String instance) {
        boolean serving = current != null
                && current.instance().equals(instance)
                && current.phase() == InstanceState.Phase.SERVING;
        if (serving) {
            current = new InstanceState(
                    instance, current.startMillis(), current.sequence(), InstanceState.Phase.DRAINING);
        }
        return serving;
    }

    /**
     * Handles the deregistration of a process.
     *
     * @param instance    name of the server
     * @param startMillis start time of the process, in milliseconds since the Unix epoch, or empty if it is not stated
     * @return {@code true} if the current process is gone
     */
    public synchronized boolean deregister(String instance, Optional<Long> startMillis) {
        boolean isCurrent = current != null && current.instance().equals(instance);
        if (isCurrent && startMillis.map(start -> start < current.startMillis()).orElse(false)) {
            return false;
        }
        if (isCurrent) {
            long start = startMillis.orElse(current.startMillis());
            current = new InstanceState(instance, start, Long.MAX_VALUE, InstanceState.Phase.GONE);
            return true;
        }
        long start = startMillis.or(() -> lastStart(instance)).orElse(0L);
        InstanceState gone = new InstanceState(instance, start, Long.MAX_VALUE, InstanceState.Phase.GONE);
        if (current == null) {
            current = gone;
        } else {
            recordLeaving(gone);
        }
        return false;
    }

    /**
     * Handles the departure of a process that was stated before this tracker was created.
     *
     * @param instance    name of the server
     * @param startMillis start time of the process, in milliseconds since the Unix epoch; 0 if it is unknown
     * @return {@code true} if the current process accepted new calls until now
     */
    public synchronized boolean restoreDeparture(String instance, long startMillis) {
        InstanceState gone = new InstanceState(instance, startMillis, Long.MAX_VALUE, InstanceState.Phase.GONE);
        // The start is unknown if the state comes from a probe.
        boolean isCurrent =
                current != null && current.instance().equals(instance) && current.startMillis() <= startMillis;
        if (!isCurrent) {
            recordLeaving(gone);
            return false;
        }
        boolean serving = current.phase() == InstanceState.Phase.SERVING;
        current = gone;
        return serving;
    }

    /**
     * Returns whether a process has left or is leaving.
     *
     * @param instance name of the server
     * @return {@code true} if the latest known process of that name is
     */
    public synchronized boolean isLeaving(String instance) {
        return stateOf(instance)
                .filter(state -> state.phase() != InstanceState.Phase.SERVING)
                .isPresent();
    }

    /**
     * Returns the start time of the latest known process of a server.
     *
     * @param instance name of the server
     * @return start time, in milliseconds since the Unix epoch; 0 if it is unknown
     */
    public synchronized long startMillis(String instance) {
        return stateOf(instance).map(InstanceState::startMillis).orElse(0L);
    }

    private Optional<InstanceState> stateOf(String instance) {
        return Stream.concat(replaced.stream(), Stream.ofNullable(current))
                .filter(state -> state.instance().equals(instance))
                .max(Comparator.comparingLong(InstanceState::startMillis));
    }

    /**
     * Returns the current state.
     *
     * @return the state, or empty before the first announcement or deregistration
     */
    public synchronized Optional<InstanceState> current() {
        return Optional.ofNullable(current);
    }

    // A replaced process may return, but not to a phase before the one that was confirmed to it.
    private void recordLeaving(InstanceState state) {
        Optional<InstanceState> last = lastStateIfReplaced(state);
        replaced.removeIf(state::isSameProcess);
        boolean known = last.filter(earlier ->
                        earlier.phase().compareTo(state.phase()) >= 0 && earlier.sequence() >= state.sequence())
                .isPresent();
        addReplaced(known ? last.get() : state);
    }

    private void addReplaced(InstanceState state) {
        replaced.addLast(state);
        if (replaced.size() > MAX_REPLACED) {
            replaced.removeFirst();
        }
    }

    private Optional<Long> lastStart(String instance) {
        return replaced.stream()
                .filter(state -> state.instance().equals(instance))
                .map(InstanceState::startMillis)
                .max(Long::compare);
    }

    private boolean isCurrentSilent() {
        return clock.nanoTime() - updatedNanos > REPLACEMENT_TIMEOUT_NANOS;
    }

    // Late announcements alone prove nothing: they end within seconds, and those of a running process go on.
    private boolean isProvenToRun(InstanceState announced) {
        long now = clock.nanoTime();
        if (candidate == null || !candidate.isSameProcess(announced)) {
            candidate = announced;
            candidateSinceNanos = now;
            return false;
        }
        return isCurrentSilent()
                && announced.sequence() > candidate.sequence()
                && now - candidateSinceNanos >= PROOF_NANOS;
    }

    private Optional<InstanceState> lastStateIfReplaced(InstanceState announced) {
        return replaced.stream().filter(announced::isSameProcess).findFirst();
    }

    private boolean supersedesCurrent(InstanceState announced) {
        Optional<InstanceState> last = lastStateIfReplaced(announced);
        if (last.filter(state -> announced.sequence() <= state.sequence()).isPresent()) {
            return false;
        }
        if (current == null) {
            return true;
        }
        if (current.isSameProcess(announced)) {
            return announced.sequence() > current.sequence();
        }
        if (announced.startMillis() != current.startMillis()) {
            return announced.startMillis() > current.startMillis() || isProvenToRun(announced);
        }
        if (last.isPresent()) {
            return isProvenToRun(announced);
        }
        return isCurrentSilent()
                || current.phase() == InstanceState.Phase.GONE
                || announced.sequence() <= MAX_INITIAL_SEQUENCE;
    }
}
