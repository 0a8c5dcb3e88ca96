package io.mustardusher.route;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes      maximum size of the header block, in bytes
 * @param maxBodyBytes        maximum size of the body, in bytes
 * @param headerTimeoutMillis maximum time to receive the header block, in milliseconds
 * @param idleTimeoutMillis   time after which an idle connection is closed, in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Default limits: headers of 16 KiB, bodies of 64 MiB, a header timeout of 3 s and an idle timeout of 15 s. */
    public static final RequestLimits DEFAULT = new RequestLimits(16 << 10, 64L << 20, 3_000, 15_000);

    /** No limits besides those of the listener. */
    public static final RequestLimits NONE = new RequestLimits(Integer.MAX_VALUE, Long.MAX_VALUE, 0, 0);
}
