package io.mustardusher.route;

/**
 * Limits on what a caller may send.
 *
 * @param maxHeaderBytes      largest header block, in bytes
 * @param maxBodyBytes        largest body, in bytes
 * @param headerTimeoutMillis time allowed for the header block, in milliseconds
 * @param idleTimeoutMillis   time for which an idle connection stays open, in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Limits in force before an operator sets any: 16 KiB of headers, 64 MiB of body, 3 s and 15 s. */
    public static final RequestLimits DEFAULT = new RequestLimits(16 << 10, 64L << 20, 3_000, 15_000);

    /** No limits beside those of the listener. */
    public static final RequestLimits NONE = new RequestLimits(Integer.MAX_VALUE, Long.MAX_VALUE, 0, 0);
}
