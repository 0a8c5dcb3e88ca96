package io.mustardusher.frame;

import java.nio.ByteBuffer;

/**
 * A call from an entry to a gate, its answer, or a reference to a call. Not generated from a schema, because the
 * generator has no type for binary data.
 *
 * @param call number of the call, unique among all entries for as long as the gate remembers the call
 * @param head encoded headers; {@code null} in references, and in the answer of a gate that has not received the call
 * @param body body; empty if there is none, or the start time of the gate if it has not received the call
 */
public record CallMessage(long call, byte[] head, byte[] body) {

    private static final byte[] EMPTY = {};

    /**
     * Creates a message that refers to a call, without headers and body.
     *
     * @param call number of the call
     * @return the message
     */
    public static CallMessage referringTo(long call) {
        return new CallMessage(call, null, EMPTY);
    }

    /**
     * Creates the answer of a process that has not received a call and will not run it.
     *
     * @param call number of the call
     * @param boot start time of the process, in milliseconds since the Unix epoch
     * @return the message
     */
    public static CallMessage notReceived(long call, long boot) {
        return new CallMessage(
                call, null, ByteBuffer.allocate(Long.BYTES).putLong(boot).array());
    }

    /**
     * Creates a request for a part of a response.
     *
     * @param call   number of the call
     * @param offset position of the first byte of the part
     * @return the message
     */
    public static CallMessage part(long call, long offset) {
        return new CallMessage(
                call, null, ByteBuffer.allocate(Long.BYTES).putLong(offset).array());
    }

    /**
     * Returns the position of the part that this message requests.
     *
     * @return position of the first byte of the part, or -1 if this message requests no part
     */
    public long partOffset() {
        return body.length == Long.BYTES ? ByteBuffer.wrap(body).getLong() : -1;
    }

    /**
     * Returns whether this message confirms that a process has not received the call and will not run it. The answer of
     * a process with another start time, as after a restart, is no such confirmation.
     *
     * @param boot start time of the process, in milliseconds since the Unix epoch
     * @return {@code true} if the process with this start time has not received the call
     */
    public boolean confirmsNotReceivedBy(long boot) {
        return head == null
                && body.length == Long.BYTES
                && ByteBuffer.wrap(body).getLong() == boot;
    }
}
