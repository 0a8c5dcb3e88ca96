package io.mustardusher.route;

/**
 * What an operator says of the requests under one prefix.
 *
 * @param name        name of the route, for logs
 * @param prefix      prefix of the paths; begins and ends with a slash
 * @param destination where the requests go
 * @param idempotent  whether a request may run more than once
 * @param rank        urgency; 0 is the most urgent
 * @param timeoutNanos longest time that a caller is kept waiting, in nanoseconds
 * @param targetNanos time within which an answer is of full use, in nanoseconds
 * @param maxSends    servers that one request may be sent to
 */
public record Route(
        String name,
        String prefix,
        Destination destination,
        boolean idempotent,
        int rank,
        long timeoutNanos,
        long targetNanos,
        int maxSends) {}
