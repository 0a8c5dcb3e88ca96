package io.mustardusher.server;

/** How a connection to a backend server ended. */
enum ConnectionEnd {
    /** The server ended its stream after the last byte. */
    END_OF_STREAM("the backend server closed the connection"),

    /** The connection was reset, or broke in another way, while bytes were read. */
    READ_FAILED("the connection to the backend server broke"),

    /** Bytes of a request could not be sent. What the server sent last may be lost with them. */
    WRITE_FAILED("the request could not be sent whole"),

    /** The bytes that arrived could not be matched to a request, or are no response. */
    GIVEN_UP("the response was given up"),

    /** This node closed the connection: the request has expired or was cancelled, or the connection is not needed. */
    CLOSED_HERE("the connection was closed");

    private final String description;

    ConnectionEnd(String description) {
        this.description = description;
    }

    /**
     * Returns whether a response that has neither a length nor chunks is complete.
     *
     * @return {@code true} if nothing can be missing at its end
     */
    boolean completesUnframedResponse() {
        return this == END_OF_STREAM;
    }

    /**
     * Describes the end for logs.
     *
     * @return the description
     */
    String description() {
        return description;
    }
}
