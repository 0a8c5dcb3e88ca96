package io.mustardusher.instance;

/**
 * One announcement of a backend server.
 *
 * @param instance name of the server; a restart may keep it
 * @param born     start of the server's process, in milliseconds since the epoch, which with the name tells one start;
 *     0 from servers that do not say and take a new name for each start
 * @param sequence number of the announcement, rising within one start
 * @param phase    what the server says of itself
 */
public record Sighting(String instance, long born, long sequence, Phase phase) {

    /**
     * Tells whether two announcements come from the same start of a server.
     *
     * @param other the other announcement
     * @return {@code true} if they do
     */
    public boolean isSameStart(Sighting other) {
        return born == other.born && instance.equals(other.instance);
    }

    /** What a server says of itself, in the order in which it may change within one start. */
    public enum Phase {
        /** It takes work. */
        SERVING,

        /** It finishes its work and takes no more. */
        DRAINING,

        /** It is gone. */
        GONE
    }
}
