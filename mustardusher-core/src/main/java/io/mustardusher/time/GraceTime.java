package io.mustardusher.time;

/**
 * Time in which a stopping node completes its calls. Once it has begun, a call is passed on only if its deadline lies
 * before the end, because it would be cut off otherwise; a caller who is told at once that the call has not run can use
 * another node. Thread-safe.
 */
public final class GraceTime {

    private volatile boolean begun;

    /** End of the grace time, in nanoseconds of the node's clock. Written before {@link #begun}. */
    private long endNanos;

    /**
     * Begins the grace time. Has no effect if it has begun.
     *
     * @param end end of the grace time, in nanoseconds of the node's clock
     */
    public synchronized void begin(long end) {
        if (!begun) {
            endNanos = end;
            begun = true;
        }
    }

    /**
     * Returns whether the grace time has begun.
     *
     * @return {@code true} if the node is stopping
     */
    public boolean hasBegun() {
        return begun;
    }

    /**
     * Returns whether a call may be passed on.
     *
     * @param deadlineNanos deadline of the call, in nanoseconds of the node's clock
     * @return {@code true} if the node is not stopping, or the call ends before the node does
     */
    public boolean permits(long deadlineNanos) {
        return !begun || deadlineNanos - endNanos <= 0;
    }
}
