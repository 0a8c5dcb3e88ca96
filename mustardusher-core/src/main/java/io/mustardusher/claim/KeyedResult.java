package io.mustardusher.claim;

import io.mustardusher.result.ResultCode;

/**
 * Result of a call with an idempotency key.
 *
 * @param code   result code; {@link ResultCode#OK} if the call ran
 * @param answer answer for the caller; {@code null} if there is none or it is no longer stored
 * @param <A>    type of answers
 */
public record KeyedResult<A>(ResultCode code, A answer) {}
