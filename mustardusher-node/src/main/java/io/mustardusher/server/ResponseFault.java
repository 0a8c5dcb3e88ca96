package io.mustardusher.server;

/** Why a response of a backend server was given up and its connection closed. */
public enum ResponseFault {
    /** The bytes are no response, another one begins within a line, or a line or the block is longer than allowed. */
    MALFORMED_HEAD("malformed_head", "the head is no response or too long"),

    /** More informational responses than allowed precede the response. */
    ENDLESS_INTERIM("endless_interim", "too many informational responses"),

    /** A chunk size, a chunk extension or a trailer is malformed or longer than allowed. */
    MALFORMED_BODY("malformed_body", "the body is malformed"),

    /** The body is longer than one response, or all responses together, may be. */
    BODY_TOO_LONG("body_too_long", "the body is too long"),

    /**
     * The response names a request that its connection has not carried, or precedes the response to HEAD, so that what
     * follows may be misread.
     */
    MISMATCHED("mismatched", "the response belongs to another request"),

    /** The content contains another response, so that the server did not send all of it. */
    MIXED_CONTENT("mixed_content", "the content contains another response"),

    /** The response to another request is longer than what is read to get past it. */
    ENDLESS_MISMATCH("endless_mismatch", "the response to another request has no end");

    private final String label;
    private final String description;

    ResponseFault(String label, String description) {
        this.label = label;
        this.description = description;
    }

    /**
     * Returns the label of the fault in metrics.
     *
     * @return the label
     */
    public String label() {
        return label;
    }

    /**
     * Describes the fault for logs.
     *
     * @return the description
     */
    String description() {
        return description;
    }
}
