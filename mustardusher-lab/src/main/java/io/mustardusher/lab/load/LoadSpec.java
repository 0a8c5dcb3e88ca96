package io.mustardusher.lab.load;

/**
 * A stream of calls to one service.
 *
 * @param service        the service
 * @param perSecond      mean rate of calls
 * @param writeShare     share of calls that are not idempotent and carry a key
 * @param answerBytes    length of answers, in bytes
 * @param deadlineMillis deadline, in milliseconds
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
     * Returns this stream at another time.
     *
     * @param newFromMillis start, in milliseconds from the start of the load
     * @param newToMillis   end, in milliseconds from the start of the load
     * @return the stream
     */
    public LoadSpec withTimes(long newFromMillis, long newToMillis) {
        return new LoadSpec(service, perSecond, writeShare, answerBytes, deadlineMillis, newFromMillis, newToMillis);
    }
}
