package io.mustardusher.route;

/**
 * Configuration of the requests whose path starts with a prefix.
 *
 * @param name               name of the route, for logs and metrics
 * @param prefix             prefix of the paths; starts and ends with a slash
 * @param destination        service or services that receive the requests
 * @param idempotent         whether a request may run more than once
 * @param priority           priority of the requests; 0 is the highest
 * @param timeoutNanos       maximum time until the caller is answered, in nanoseconds
 * @param targetLatencyNanos time within which an answer has its full value, in nanoseconds
 * @param maxAttempts        maximum number of backend servers that a request may be sent to
 * @param isPublic           whether a request needs no key of a client account
 */
public record Route(
        String name,
        String prefix,
        Destination destination,
        boolean idempotent,
        int priority,
        long timeoutNanos,
        long targetLatencyNanos,
        int maxAttempts,
        boolean isPublic) {

    /**
     * Returns whether a text is a prefix of paths.
     *
     * @param text the text
     * @return {@code true} if it starts and ends with a slash
     */
    public static boolean isPrefix(String text) {
        return text.startsWith("/") && text.endsWith("/");
    }
}
