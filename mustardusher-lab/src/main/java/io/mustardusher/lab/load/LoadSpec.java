package io.mustardusher.lab.load;

/**
 * A stream of calls to one service with exponentially distributed intervals.
 *
 * @param service        name of the service
 * @param perSecond      mean number of calls per second
 * @param writeShare     fraction of calls that are not idempotent and carry a key, between 0 and 1
 * @param answerBytes    length of the requested response bodies, in bytes
 * @param deadlineMillis time allowed for each call, in milliseconds
 * @param fromMillis     start, in milliseconds from the start of the load
 * @param toMillis       end, in milliseconds from the start of the load
 */
public record LoadSpec(
        String service,
        double perSecond,
        double writeShare,
        int answerBytes,
        long deadlineMillis,
        long fromMillis,
        long toMillis) {

    /**
     * Returns a copy of this stream with another start and end.
     *
     * @param newFromMillis start, in milliseconds from the start of the load
     * @param newToMillis   end, in milliseconds from the start of the load
     * @return the stream
     */
    public LoadSpec withTimes(long newFromMillis, long newToMillis) {
        return new LoadSpec(service, perSecond, writeShare, answerBytes, deadlineMillis, newFromMillis, newToMillis);
    }
}
