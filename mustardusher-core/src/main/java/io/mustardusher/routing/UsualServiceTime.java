package io.mustardusher.routing;

/**
 * The usual service time of a service: the average of what its servers report after their slow start. A starting server
 * that already reports it is no longer slow. Thread-safe.
 */
public final class UsualServiceTime {

    /** Weight of a new report in the average. */
    private static final double SMOOTHING_FACTOR = 0.05;

    /** Ratio to the average up to which a service time is usual; a cold server takes twice as long. */
    private static final double MAX_RATIO = 1.25;

    private volatile boolean enabled;

    private double averageNanos;

    /**
     * Creates an instance without an average.
     *
     * @param enabled whether service times are compared; if not, the slow start depends on time only
     */
    public UsualServiceTime(boolean enabled) {
        this.enabled = enabled;
    }

    /**
     * Sets whether service times are compared.
     *
     * @param value {@code true} if they are
     */
    public void setEnabled(boolean value) {
        enabled = value;
    }

    /**
     * Records the service time of a server that has finished its slow start.
     *
     * @param serviceNanos smoothed service time, in nanoseconds
     */
    void record(double serviceNanos) {
        if (enabled) {
            add(serviceNanos);
        }
    }

    private synchronized void add(double serviceNanos) {
        averageNanos =
                averageNanos == 0 ? serviceNanos : averageNanos + SMOOTHING_FACTOR * (serviceNanos - averageNanos);
    }

    /**
     * Returns whether a service time is usual.
     *
     * @param serviceNanos smoothed service time of a server, in nanoseconds; 0 if it has not been measured
     * @return {@code true} if it is at most a little above the average
     */
    boolean isUsual(double serviceNanos) {
        return enabled && serviceNanos > 0 && serviceNanos <= MAX_RATIO * average();
    }

    private synchronized double average() {
        return averageNanos;
    }
}
