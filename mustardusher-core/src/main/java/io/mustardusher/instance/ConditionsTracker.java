package io.mustardusher.instance;

import java.util.Objects;
import java.util.Optional;

/**
 * Tracks the conditions that the current instance of a backend server states in its answers. An instance that is
 * leaving never returns. A limit ends with an answer without one, unless the call was sent before the limit was stated:
 * answers on different connections may overtake each other. Before the instance has answered this node, a limit that it
 * stated to another node is in force. Thread-safe.
 */
public final class ConditionsTracker {

    private String instance;

    private ServerConditions current = ServerConditions.NONE;

    /** Whether the current instance has answered a call of this node. */
    private boolean answered;

    /** Time at which the current limit was stated, in nanoseconds. */
    private long limitedNanos;

    /**
     * Sets the current instance. Nothing is known of the conditions of a new one.
     *
     * @param newInstance identifier of the instance; {@code null} if it has none
     */
    public synchronized void setInstance(String newInstance) {
        if (!Objects.equals(instance, newInstance)) {
            instance = newInstance;
            answered = false;
            current = ServerConditions.NONE;
        }
    }

    /**
     * Records the conditions stated in an answer.
     *
     * @param answering identifier of the instance that answered
     * @param stated    the conditions; {@link ServerConditions#NONE} if the answer states none
     * @param sentNanos time at which the call was sent to the server, in nanoseconds
     * @param now       current time, in nanoseconds
     * @return {@code true} if the conditions have changed
     */
    public synchronized boolean recordAnswer(String answering, ServerConditions stated, long sentNanos, long now) {
        if (!Objects.equals(instance, answering)) {
            return false;
        }
        answered = true;
        boolean outdated = current.isLimited() && !stated.isLimited() && sentNanos - limitedNanos < 0;
        double limit = outdated ? current.maxCallsPerSecond() : stated.maxCallsPerSecond();
        if (stated.isLimited()) {
            limitedNanos = now;
        }
        return replace(new ServerConditions(limit, current.leaving() || stated.leaving()));
    }

    /**
     * Records conditions that another node received in an answer.
     *
     * @param received the conditions and the instance that stated them
     * @param now      current time, in nanoseconds
     * @return {@code true} if the conditions have changed
     */
    public synchronized boolean recordHint(InstanceConditions received, long now) {
        if (!Objects.equals(instance, received.instance())) {
            return false;
        }
        ServerConditions hinted = received.conditions();
        double limit = current.maxCallsPerSecond();
        if (!answered && hinted.maxCallsPerSecond() < limit) {
            limit = hinted.maxCallsPerSecond();
            limitedNanos = now;
        }
        return replace(new ServerConditions(limit, current.leaving() || hinted.leaving()));
    }

    /**
     * Returns the conditions for other nodes.
     *
     * @return the conditions and the instance that stated them, or empty if there are none
     */
    public synchronized Optional<InstanceConditions> toHint() {
        return current.equals(ServerConditions.NONE)
                ? Optional.empty()
                : Optional.of(new InstanceConditions(instance, current));
    }

    /**
     * Returns the conditions of the current instance.
     *
     * @return the conditions
     */
    public synchronized ServerConditions current() {
        return current;
    }

    private boolean replace(ServerConditions updated) {
        boolean changed = !updated.equals(current);
        current = updated;
        return changed;
    }
}
