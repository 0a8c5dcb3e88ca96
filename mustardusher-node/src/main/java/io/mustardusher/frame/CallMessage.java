package io.mustardusher.frame;

/**
 * A call from an entry to a gate, its answer, or a question about a call. Not generated from a schema, because the
 * generator
 * knows no bytes.
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
}
