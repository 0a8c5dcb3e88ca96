package io.mustardusher.frame;

/**
 * A request or a reply between nodes.
 *
 * @param kind      kind of the request
 * @param reply     whether this is the reply to a request
 * @param requestId number that the sender of the request assigned to it, to match the reply
 * @param message   the message
 */
public record Frame(FrameKind kind, boolean reply, int requestId, Object message) {}
