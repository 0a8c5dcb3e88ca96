package io.mustardusher.instance;

/**
 * State of one process of a backend server, as announced by it. The instance name and the start time together identify
 * the process.
 *
 * @param instance    name of the server, which a restart may keep
 * @param startMillis start time of the process, in milliseconds since the Unix epoch; 0 if the server does not announce
 *                    it and takes a new name at each start
 * @param sequence    number of the announcement, which increases during the life of the process
 * @param phase       phase of the process
 */
public record InstanceState(String instance, long startMillis, long sequence, Phase phase) {

    /**
     * Returns whether this state and another one are of the same process.
     *
     * @param other the other state
     * @return {@code true} if the name and the start time are equal
     */
    public boolean isSameProcess(InstanceState other) {
        return startMillis == other.startMillis && instance.equals(other.instance);
    }

    /** Phases of a process, in the order in which it may pass through them. */
    public enum Phase {
        /** Accepts new calls. */
        SERVING,

        /** Completes the calls in flight and accepts no new ones. */
        DRAINING,

        /** Has deregistered. */
        GONE
    }
}
