package io.mustardusher.server;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;

import io.mustardusher.call.HttpGrammar;
import io.netty.buffer.ByteBuf;
import io.netty.util.AsciiString;

/**
 * Checks the bytes of a connection's responses against the grammar of RFC 9112 as they arrive. Codecs forgive what the
 * grammar does not allow, such as a blank in the name of a header, and what they hand over does not show it any more.
 *
 * <p>Of the forms that the RFC lets recipients accept, these are accepted: a line feed without a carriage return at the
 * end of a status line or a field, a status line that ends with the status, and a value of a header that continues on
 * the next line, unless that line is blank or has a colon, so that it may be meant for a header.
 */
final class ResponseSyntax {

    private static final byte[] VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final AsciiString CONTENT_LENGTH = AsciiString.cached("content-length");
    private static final AsciiString TRANSFER_ENCODING = AsciiString.cached("transfer-encoding");
    private static final AsciiString CHUNKED = AsciiString.cached("chunked");

    /** Number of bytes that are read at a time; few heads are longer than two of them. */
    private static final int BLOCK_BYTES = 256;

    /** Maximum length of a value that says where a response ends, in bytes. */
    private static final int MAX_FRAMING_VALUE_BYTES = 256;

    /** Maximum number of digits of a content length; all such numbers fit into a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private static final int STATUS_DIGITS = 3;
    private static final int DECIMAL = 10;
    private static final int HEXADECIMAL = 16;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Whether each outstanding request has the method HEAD, in the order of the requests. */
    private final Queue<Boolean> requests = new ArrayDeque<>();

    /** Bytes that are being read: copying them takes less time than reading them one by one from their buffer. */
    private final byte[] block = new byte[BLOCK_BYTES];

    private SyntaxState state = SyntaxState.START;
    private SyntaxFault fault;

    /** Number of bytes that were read of the version or of the status. */
    private int position;

    private boolean ofHttp10;
    private int status;

    /** First bytes of the name of the current header, as many as the longest name has that the check knows. */
    private final byte[] name = new byte[TRANSFER_ENCODING.length()];

    private int nameLength;

    /** Value of a header that says where the response ends. */
    private final StringBuilder framingValue = new StringBuilder();

    /** Whether that value is one of {@link #TRANSFER_ENCODING}. */
    private boolean ofTransferEncoding;

    /** Stated length of the content, in bytes; negative if there is none. */
    private long contentLength = -1;

    private boolean chunked;
    private boolean inTrailers;

    /** Whether the next line may continue the value before. */
    private boolean foldable;

    /** Bytes that are outstanding of the content or of the current chunk. */
    private long remaining;

    /**
     * Notes that a request is sent.
     *
     * @param toHead whether its method is HEAD, so that its response ends with the header block
     */
    void onRequest(boolean toHead) {
        requests.add(toHead);
    }

    /**
     * Checks the next bytes of the connection.
     *
     * @param bytes the bytes; they are not consumed
     * @return number of bytes that may be decoded: all of them, or those before the line with the first fault
     */
    int check(ByteBuf bytes) {
        int start = bytes.readerIndex();
        int end = bytes.writerIndex();
        int lineStart = start;
        int next = start;
        while (next < end && fault == null) {
            if (state.isOfContent()) {
                next = state.skip(this, next, end);
                lineStart = next;
                continue;
            }
            int read = 0;
            int length = Math.min(block.length, end - next);
            bytes.getBytes(next, block, 0, length);
            while (read < length && fault == null && !state.isOfContent()) {
                read = state.read(this, block, read, length);
                if (state.beginsLine() && fault == null) {
                    lineStart = next + read;
                }
            }
            next += read;
        }
        return (fault == null ? end : lineStart) - start;
    }

    /**
     * Returns how the grammar was broken. What follows belongs to no response.
     *
     * @return the fault, or {@code null} if there is none
     */
    MalformedResponse fault() {
        if (fault == null) {
            return null;
        }
        boolean inBody = inTrailers || fault == SyntaxFault.CHUNK_SIZE || fault == SyntaxFault.CHUNK_END;
        return new MalformedResponse(inBody ? ResponseFault.MALFORMED_BODY : ResponseFault.MALFORMED_HEAD, fault);
    }

    // The methods below are the steps that the states take; those that return a state go on to it.

    void enter(SyntaxState next) {
        state = next;
    }

    SyntaxState reject(SyntaxFault found) {
        fault = found;
        return state;
    }

    void beginVersion() {
        position = 0;
    }

    SyntaxState matchVersion(byte read) {
        if (read != VERSION_PREFIX[position]) {
            return reject(SyntaxFault.VERSION);
        }
        position++;
        return position == VERSION_PREFIX.length ? SyntaxState.MINOR_VERSION : SyntaxState.VERSION;
    }

    SyntaxState setMinorVersion(byte read) {
        ofHttp10 = read == '0';
        return HttpGrammar.isDigit(read) ? SyntaxState.VERSION_END : reject(SyntaxFault.VERSION);
    }

    SyntaxState beginStatus() {
        position = 0;
        status = 0;
        return SyntaxState.STATUS;
    }

    SyntaxState addStatusDigit(byte read) {
        boolean first = position == 0;
        if (!HttpGrammar.isDigit(read) || first && (read < '1' || read > '5')) {
            return reject(SyntaxFault.STATUS);
        }
        status = status * DECIMAL + read - '0';
        position++;
        return position == STATUS_DIGITS ? SyntaxState.STATUS_END : SyntaxState.STATUS;
    }

    void beginName() {
        nameLength = 0;
    }

    boolean isFoldable() {
        return foldable;
    }

    SyntaxState endResponse() {
        contentLength = -1;
        chunked = false;
        inTrailers = false;
        foldable = false;
        return SyntaxState.START;
    }

    SyntaxState beginValue() {
        ofTransferEncoding = isNamed(TRANSFER_ENCODING);
        if (inTrailers || !ofTransferEncoding && !isNamed(CONTENT_LENGTH)) {
            foldable = !inTrailers;
            return SyntaxState.FIELD_VALUE;
        }
        foldable = false;
        framingValue.setLength(0);
        return SyntaxState.FRAMING_VALUE;
    }

    void addToName(byte[] bytes, int from, int to) {
        int kept = Math.min(to - from, name.length - nameLength);
        if (kept > 0) {
            System.arraycopy(bytes, from, name, nameLength, kept);
        }
        nameLength += to - from;
    }

    private boolean isNamed(AsciiString expected) {
        return nameLength == expected.length()
                && expected.contentEqualsIgnoreCase(new AsciiString(name, 0, nameLength, false));
    }

    SyntaxState addToFramingValue(byte read) {
        if (framingValue.length() == MAX_FRAMING_VALUE_BYTES) {
            return reject(framingFault());
        }
        framingValue.append((char) read);
        return SyntaxState.FRAMING_VALUE;
    }

    SyntaxState endFramingValue(byte read) {
        String text = framingValue.toString().strip();
        boolean valid = ofTransferEncoding ? setTransferEncoding(text) : setContentLength(text);
        return valid ? endLine(read, SyntaxFault.FIELD_VALUE) : reject(framingFault());
    }

    // RFC 9112, section 6.1: the framing of a chunked response of HTTP/1.0 is to be treated as faulty.
    private boolean setTransferEncoding(String text) {
        boolean repeated = chunked;
        chunked = CHUNKED.contentEqualsIgnoreCase(text);
        return chunked && !repeated && !ofHttp10;
    }

    private boolean setContentLength(String text) {
        if (contentLength >= 0 || text.isEmpty() || text.length() > MAX_LENGTH_DIGITS) {
            return false;
        }
        contentLength = 0;
        for (int i = 0; i < text.length(); i++) {
            if (!HttpGrammar.isDigit(text.charAt(i))) {
                return false;
            }
            contentLength = contentLength * DECIMAL + text.charAt(i) - '0';
        }
        return true;
    }

    private SyntaxFault framingFault() {
        return ofTransferEncoding ? SyntaxFault.TRANSFER_ENCODING : SyntaxFault.CONTENT_LENGTH;
    }

    SyntaxState endLine(byte read, SyntaxFault otherwise) {
        return switch (read) {
            case '\r' -> SyntaxState.LINE_FEED;
            case '\n' -> SyntaxState.FIELD_START;
            default -> reject(otherwise);
        };
    }

    SyntaxState endFields() {
        if (inTrailers) {
            return endResponse();
        }
        if (status == SWITCHING_PROTOCOLS) {
            return reject(SyntaxFault.UPGRADE);
        }
        if (status < FIRST_FINAL_STATUS) {
            return endResponse();
        }
        boolean toHead = !requests.isEmpty() && requests.remove();
        boolean withoutContent = status == NO_CONTENT || status == NOT_MODIFIED;
        if (toHead || withoutContent || !chunked && contentLength == 0) {
            return endResponse();
        }
        if (chunked) {
            return SyntaxState.CHUNK_START;
        }
        remaining = contentLength;
        return contentLength < 0 ? SyntaxState.CONTENT_UNTIL_CLOSE : SyntaxState.CONTENT;
    }

    void beginChunkSize() {
        remaining = 0;
    }

    SyntaxState addSizeDigit(byte digit) {
        remaining = remaining * HEXADECIMAL + Character.digit(digit, HEXADECIMAL);
        return remaining > Integer.MAX_VALUE ? reject(SyntaxFault.CHUNK_SIZE) : SyntaxState.CHUNK_SIZE;
    }

    SyntaxState endChunkSize(byte read) {
        return switch (read) {
            case ';' -> SyntaxState.EXTENSION_START;
            case ' ', '\t' -> SyntaxState.BEFORE_EXTENSION;
            case '\r' -> SyntaxState.CHUNK_LINE_FEED;
            default -> reject(SyntaxFault.CHUNK_SIZE);
        };
    }

    SyntaxState endChunkLine() {
        if (remaining > 0) {
            return SyntaxState.CHUNK;
        }
        inTrailers = true;
        foldable = false;
        return SyntaxState.FIELD_START;
    }

    boolean hasRemaining() {
        return remaining > 0;
    }

    int skipRemaining(int from, int to) {
        int skipped = (int) Math.min(remaining, to - from);
        remaining -= skipped;
        return from + skipped;
    }
}
