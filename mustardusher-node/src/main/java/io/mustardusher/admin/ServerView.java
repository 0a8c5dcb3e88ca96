package io.mustardusher.admin;

import com.fasterxml.jackson.annotation.JsonUnwrapped;

/**
 * State of a backend server as known to a routed node. The node has no load of servers that it may not choose because
 * their failure domain is evacuated, and learns only of the server beside it whether it is cold.
 *
 * @param service            name of its service
 * @param node               id of the node beside the server
 * @param domain             its failure domain
 * @param serving            whether it accepts new calls
 * @param evacuated          whether its failure domain is evacuated
 * @param load               its load; {@code null} if it may not be chosen
 * @param cold               whether it is cold, if that is known
 * @param coldCallsPerSecond rate of calls that it tolerates while it is cold, if that is known; 0 for no limit
 * @param coldRefused        number of calls for which the server beside the node had no room while it was cold
 */
public record ServerView(
        String service,
        String node,
        String domain,
        boolean serving,
        boolean evacuated,
        @JsonUnwrapped LoadView load,
        Boolean cold,
        Double coldCallsPerSecond,
        Long coldRefused) {

    /**
     * Load of a server as estimated by an entry.
     *
     * @param ejected        whether it is ejected as an outlier
     * @param failureRate    smoothed proportion of failed calls, from 0 to 1
     * @param inFlight       number of calls of this entry in flight at the server
     * @param busy           estimated number of calls at the server
     * @param estimateMicros estimated time to an answer, in microseconds
     * @param reportAgeMicros age of the last load report, in microseconds; -1 if there is none
     */
    public record LoadView(
            boolean ejected,
            double failureRate,
            int inFlight,
            double busy,
            long estimateMicros,
            long reportAgeMicros) {}
}
