package io.mustardusher.frame;

/**
 * One frame.
 *
 * @param kind    kind of the question
 * @param reply   whether this is the answer
 * @param number  number that the asking side gave to the question
 * @param message the message
 */
public record Frame(FrameKind kind, boolean reply, int number, Object message) {}
