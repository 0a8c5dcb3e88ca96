package io.mustardusher.server;

import java.util.Locale;

/** How the bytes of a response break the grammar of HTTP/1.1, RFC 9112. */
public enum SyntaxFault {
    /** The first line does not begin with a version of HTTP/1 and one space. */
    VERSION("the response does not begin with HTTP/1"),

    /** The status is not three digits from 100 to 599, followed by a space or the end of the line. */
    STATUS("the status is not three digits from 100 to 599"),

    /** The reason phrase contains a control character other than a tab. */
    REASON("the reason phrase contains a control character"),

    /** The server changes to another protocol, which is never asked for. */
    UPGRADE("the status announces a protocol that was not asked for"),

    /** A line begins with a blank, but does not plainly continue the value before. */
    FOLDED_LINE("a header line begins with a blank"),

    /** The name of a field is empty, contains something else than token characters, or no colon follows at once. */
    FIELD_NAME("the name of a header is not a token"),

    /** The value of a field contains a control character other than a tab. */
    FIELD_VALUE("the value of a header contains a control character"),

    /** The length of the content is stated twice or is no decimal number. */
    CONTENT_LENGTH("the content length is no number or is repeated"),

    /** The content is transferred in another way than in chunks alone. */
    TRANSFER_ENCODING("the transfer encoding is not chunked alone"),

    /** A chunk size is not a hexadecimal number, or something else than extensions follows it. */
    CHUNK_SIZE("the line of a chunk size is malformed"),

    /** A chunk is longer than its size. */
    CHUNK_END("a chunk is longer than its size"),

    /** A carriage return is not followed by a line feed. */
    LINE_END("a carriage return does not end a line");

    private final String description;

    SyntaxFault(String description) {
        this.description = description;
    }

    /**
     * Returns the label of the fault in metrics.
     *
     * @return the label
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Describes the fault for logs.
     *
     * @return the description
     */
    public String description() {
        return description;
    }
}
