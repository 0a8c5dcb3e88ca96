package io.mustardusher.admission;

/**
 * Decides about calls at a gate that has not measured a service time yet. After a loss of power all gates start so, and
 * the callers who were waiting return together. Not thread-safe.
 */
final class UnmeasuredServer {

    /**
     * Assumed service time as a share of the time in which a call is to be answered. Usual service times are a fifth to
     * a half of it, and a server that has just started may take twice as long.
     */
    private static final double SERVICE_SHARE_OF_TARGET = 0.5;

    /** Time from which there is expected to be room for a further refused call, in nanoseconds. */
    private long nextRoomNanos = Long.MIN_VALUE;

    /**
     * Returns how many calls may wait so that each is expected to be answered by its target.
     *
     * @param limit number of usable slots
     * @return number of calls
     */
    static int queueCapacity(int limit) {
        return (int) (limit * (1 / SERVICE_SHARE_OF_TARGET - 1));
    }

    /**
     * Returns the time until there is room for a refused call. Each refused call gets a later time, because callers who
     * return together would be refused again.
     *
     * @param limit       number of usable slots
     * @param targetNanos time in which the call is to be answered, in nanoseconds
     * @param now         current time, in nanoseconds
     * @return time in nanoseconds
     */
    long roomDelayNanos(int limit, long targetNanos, long now) {
        long serviceNanos = (long) (SERVICE_SHARE_OF_TARGET * targetNanos);
        nextRoomNanos = Math.max(nextRoomNanos, now) + serviceNanos / limit;
        return nextRoomNanos - now;
    }
}
