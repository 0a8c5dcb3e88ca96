package io.mustardusher.log;

import org.jboss.logging.Logger;

/**
 * The events of {@link NodeLog} that are written for each call, without the cost of format strings. Their texts are
 * those of the events with the same names.
 */
public final class DecisionLog {

    /** Writes to the same logger as {@link NodeLog#DECISIONS}. */
    public static final DecisionLog INSTANCE = new DecisionLog(Logger.getLogger(NodeLog.DECISION_LOGGER));

    /** Initial capacity for the line about the end of a call, which suffices for most, in characters. */
    private static final int ENDED_CHARS = 320;

    private final Logger logger;

    /**
     * Creates a log.
     *
     * @param logger receives the events
     */
    DecisionLog(Logger logger) {
        this.logger = logger;
    }

    /**
     * Returns whether decisions are logged.
     *
     * @return {@code true} if they are
     */
    public boolean isEnabled() {
        return logger.isInfoEnabled();
    }

    /**
     * A call was routed to a backend server.
     *
     * @param call       identifier of the call
     * @param service    called service
     * @param node       node beside the chosen backend server
     * @param policy     routing policy
     * @param attempt    number of the attempt
     * @param micros     estimated time until the answer, in microseconds
     * @param candidates number of servers to choose from
     */
    public void routed(
            String call, String service, String node, String policy, int attempt, long micros, int candidates) {
        if (logger.isInfoEnabled()) {
            logger.info("MUSH2001: call " + LoggedName.of(call) + ": route " + service + " to " + node + " by " + policy
                    + ", attempt " + attempt + ", estimate " + micros + " us, of " + candidates);
        }
    }

    /**
     * A backend server answered a call.
     *
     * @param call    identifier of the call
     * @param server  node beside the server
     * @param status  HTTP status of the answer
     * @param attempt number of the attempt
     * @param micros  time since the call arrived, in microseconds
     */
    public void answered(String call, String server, int status, int attempt, long micros) {
        if (logger.isInfoEnabled()) {
            logger.info("MUSH2005: call " + LoggedName.of(call) + ": " + server + " answers " + status
                    + " after attempt " + attempt + ", " + micros + " us");
        }
    }

    /**
     * A call has ended at its entry.
     *
     * @param call     identifier of the call
     * @param kind     whether the call may run more than once
     * @param service  called service
     * @param attempts nodes to which the call was sent, with result and duration
     * @param given    status of the response for the caller
     * @param micros   time since the call arrived, in microseconds
     * @param source   where the response comes from
     */
    public void callEnded(
            String call, String kind, String service, String attempts, String given, long micros, String source) {
        if (logger.isInfoEnabled()) {
            // With the compiler that nodes use, a builder takes less time than a concatenation of so many parts.
            logger.info(new StringBuilder(ENDED_CHARS)
                    .append("MUSH2008: call ")
                    .append(LoggedName.of(call))
                    .append(": ")
                    .append(kind)
                    .append(" to ")
                    .append(service)
                    .append("; sent to ")
                    .append(attempts)
                    .append("; caller got ")
                    .append(given)
                    .append(" after ")
                    .append(micros)
                    .append(" us, from ")
                    .append(source)
                    .toString());
        }
    }

    /**
     * The gate refused a call.
     *
     * @param call    identifier of the call
     * @param service called service
     * @param code    number of the result code
     * @param busy    number of calls at the backend server
     * @param queued  number of calls in the queue
     * @param limit   maximum number of calls at the backend server
     */
    public void gateRefused(String call, String service, int code, int busy, int queued, int limit) {
        if (logger.isInfoEnabled()) {
            logger.info("MUSH2003: call " + LoggedName.of(call) + ": gate of " + service + " refuses with " + code
                    + "; busy " + busy + ", queued " + queued + ", limit " + limit);
        }
    }

    /**
     * A call was recognised as a nested call of a request at the backend server beside the node.
     *
     * @param call    identifier of the call
     * @param service called service
     * @param parent  route of the request that made the call
     */
    public void nestedCall(String call, String service, String parent) {
        if (logger.isInfoEnabled()) {
            logger.info("MUSH2021: call " + LoggedName.of(call) + ": nested call to " + service + " by a request of "
                    + parent);
        }
    }
}
