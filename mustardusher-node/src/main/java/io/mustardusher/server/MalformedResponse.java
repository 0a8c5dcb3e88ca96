package io.mustardusher.server;

/**
 * Event of a connection whose bytes are no response from some point on. What follows that point is not decoded.
 *
 * @param fault  part of the response that is malformed
 * @param syntax how the grammar is broken
 */
record MalformedResponse(ResponseFault fault, SyntaxFault syntax) {}
