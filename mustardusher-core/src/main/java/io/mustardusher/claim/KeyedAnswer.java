package io.mustardusher.claim;

import io.mustardusher.result.ResultCode;

/**
 * What became of a call with a key.
 *
 * @param code   the code; {@link ResultCode#OK} if it ran
 * @param answer the answer; {@code null} if there is none or it is no longer kept
 * @param <A>    type of answers
 */
public record KeyedAnswer<A>(ResultCode code, A answer) {}
