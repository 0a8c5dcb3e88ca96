package io.mustardusher.frame;

import java.nio.ByteBuffer;

/**
 * A call from an entry to a gate, its answer, or a question about a call. Not generated from a schema, because the
 * generator knows no bytes.
 *
 * @param call number of the call, unique among entries for as long as it is remembered
 * @param head packed headers; {@code null} in questions, and in the answer of a gate that does not have the call
 * @param body body, perhaps empty
 */
public record CallMessage(long call, byte[] head, byte[] body) {

    private static final byte[] NOTHING = {};

    /**
     * Creates a message without headers.
     *
     * @param call number of the call
     * @return the message
     */
    public static CallMessage about(long call) {
        return new CallMessage(call, null, NOTHING);
    }

    /**
     * Creates the answer about a call that a process has not seen and will not run.
     *
     * @param call number of the call
     * @param boot start of the process
     * @return the message
     */
    public static CallMessage neverCame(long call, long boot) {
        return new CallMessage(
                call, null, ByteBuffer.allocate(Long.BYTES).putLong(boot).array());
    }

    /**
     * Tells whether this says that a start of a process has not seen the call. Another start knows nothing of it.
     *
     * @param boot start of the process
     * @return {@code true} if it does
     */
    public boolean neverCameTo(long boot) {
        return head == null
                && body.length == Long.BYTES
                && ByteBuffer.wrap(body).getLong() == boot;
    }
}
