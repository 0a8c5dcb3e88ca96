package io.mustardusher.route;

/**
 * What the configuration states of the servers of a service that have just started.
 *
 * @param callsPerSecond rate of calls that a cold server tolerates; 0 if servers do not become cold
 * @param durationNanos  time for which a server is cold after its start, in nanoseconds
 */
public record ColdStart(double callsPerSecond, long durationNanos) {

    /** Servers do not become cold. */
    public static final ColdStart NONE = new ColdStart(0, 0);

    /**
     * Returns whether servers become cold.
     *
     * @return {@code true} if they do
     */
    public boolean isPresent() {
        return callsPerSecond > 0;
    }
}
