package io.mustardusher.routing;

import io.mustardusher.time.Clock;

/**
 * Time that large answers of one server take on the way to one entry, learned from their transfers, and the bytes of
 * answers that are expected from it. Other entries share the server's link, so that their transfers show as a lower
 * rate. Thread-safe.
 */
public final class TransferRate {

    /** Weight that remains of earlier transfers after one of {@link #REFERENCE_BYTES}. */
    private static final double REMAINING_WEIGHT = 0.8;

    /** Number of bytes after which earlier transfers count {@link #REMAINING_WEIGHT}. */
    private static final double REFERENCE_BYTES = 64_000;

    /**
     * Time without a transfer after which the learned time counts half, in nanoseconds, so that a server that was
     * avoided because its link was busy is tried again.
     */
    private static final double HALF_LIFE_NANOS = 10_000.0 * Clock.NANOS_PER_MILLI;

    private double weightedBytes;
    private double weightedNanos;
    private long lastTransferNanos;

    /** Bytes of the answers that are expected. */
    private double expectedBytes;

    /**
     * Records that bytes arrived.
     *
     * @param bytes number of bytes
     * @param nanos time in which they arrived while the transfer did not wait for anything else, in nanoseconds
     * @param now   current time, in nanoseconds
     */
    public synchronized void recordTransfer(long bytes, long nanos, long now) {
        double remaining = Math.pow(REMAINING_WEIGHT, bytes / REFERENCE_BYTES);
        weightedBytes = weightedBytes * remaining + bytes;
        weightedNanos = weightedNanos * remaining + nanos;
        lastTransferNanos = now;
    }

    /**
     * Records that a call was sent whose answer is expected to be large.
     *
     * @param bytes expected size of the answer, in bytes; 0 for a small one
     */
    public synchronized void recordCallStart(double bytes) {
        expectedBytes += bytes;
    }

    /**
     * Records that such a call has ended.
     *
     * @param bytes the size that was recorded at its start, in bytes
     */
    public synchronized void recordCallEnd(double bytes) {
        expectedBytes -= bytes;
    }

    /**
     * Estimates when a further answer has arrived. Answers that are expected already are transferred before it, also
     * while its call is being processed.
     *
     * @param responseNanos estimated time until the transfer of the answer can begin, in nanoseconds
     * @param bytes         expected size of the answer, in bytes
     * @param now           current time, in nanoseconds
     * @return time in nanoseconds; the response time before the first transfer
     */
    public synchronized double arrivalNanos(double responseNanos, double bytes, long now) {
        if (weightedBytes == 0) {
            return responseNanos;
        }
        double fading = Math.pow(0.5, (now - lastTransferNanos) / HALF_LIFE_NANOS);
        double nanosPerByte = fading * weightedNanos / weightedBytes;
        return Math.max(responseNanos, expectedBytes * nanosPerByte) + bytes * nanosPerByte;
    }
}
