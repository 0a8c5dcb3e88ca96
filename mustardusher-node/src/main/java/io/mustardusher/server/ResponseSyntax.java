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

    private State state = State.START;
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
            if (state.isOfContent) {
                next = state.skip(this, next, end);
                lineStart = next;
                continue;
            }
            int read = 0;
            int length = Math.min(block.length, end - next);
            bytes.getBytes(next, block, 0, length);
            while (read < length && fault == null && !state.isOfContent) {
                read = state.read(this, block, read, length);
                if (state.beginsLine && fault == null) {
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

    private State reject(SyntaxFault found) {
        fault = found;
        return state;
    }

    private State endResponse() {
        contentLength = -1;
        chunked = false;
        inTrailers = false;
        foldable = false;
        return State.START;
    }

    private State beginValue() {
        ofTransferEncoding = isNamed(TRANSFER_ENCODING);
        if (inTrailers || !ofTransferEncoding && !isNamed(CONTENT_LENGTH)) {
            foldable = !inTrailers;
            return State.FIELD_VALUE;
        }
        foldable = false;
        framingValue.setLength(0);
        return State.FRAMING_VALUE;
    }

    private void addToName(byte[] bytes, int from, int to) {
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

    private State addToFramingValue(byte read) {
        if (framingValue.length() == MAX_FRAMING_VALUE_BYTES) {
            return reject(framingFault());
        }
        framingValue.append((char) read);
        return State.FRAMING_VALUE;
    }

    private State endFramingValue(byte read) {
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

    private State endLine(byte read, SyntaxFault otherwise) {
        return switch (read) {
            case '\r' -> State.LINE_FEED;
            case '\n' -> State.FIELD_START;
            default -> reject(otherwise);
        };
    }

    private State endFields() {
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
            return State.CHUNK_START;
        }
        remaining = contentLength;
        return contentLength < 0 ? State.CONTENT_UNTIL_CLOSE : State.CONTENT;
    }

    private State addSizeDigit(byte digit) {
        remaining = remaining * HEXADECIMAL + Character.digit(digit, HEXADECIMAL);
        return remaining > Integer.MAX_VALUE ? reject(SyntaxFault.CHUNK_SIZE) : State.CHUNK_SIZE;
    }

    private State endChunkSize(byte read) {
        return switch (read) {
            case ';' -> State.EXTENSION_START;
            case ' ', '\t' -> State.BEFORE_EXTENSION;
            case '\r' -> State.CHUNK_LINE_FEED;
            default -> reject(SyntaxFault.CHUNK_SIZE);
        };
    }

    private State endChunkLine() {
        if (remaining > 0) {
            return State.CHUNK;
        }
        inTrailers = true;
        foldable = false;
        return State.FIELD_START;
    }

    private int skipRemaining(int from, int to) {
        int skipped = (int) Math.min(remaining, to - from);
        remaining -= skipped;
        return from + skipped;
    }

    private static int skipText(byte[] bytes, int from, int to) {
        int end = from;
        while (end < to && HttpGrammar.isText(bytes[end])) {
            end++;
        }
        return end;
    }

    private static int skipToken(byte[] bytes, int from, int to) {
        int end = from;
        while (end < to && HttpGrammar.isToken(bytes[end])) {
            end++;
        }
        return end;
    }

    private static boolean isBlank(byte read) {
        return read == ' ' || read == '\t';
    }

    /** What the next byte is part of. */
    private enum State {
        /** The first byte of a response. */
        START(true, false) {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                syntax.position = 0;
                return VERSION.next(syntax, read);
            }
        },

        /** The version up to its first digit. */
        VERSION {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                if (read != VERSION_PREFIX[syntax.position]) {
                    return syntax.reject(SyntaxFault.VERSION);
                }
                syntax.position++;
                return syntax.position == VERSION_PREFIX.length ? MINOR_VERSION : VERSION;
            }
        },

        /** The last digit of the version. */
        MINOR_VERSION {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                syntax.ofHttp10 = read == '0';
                return HttpGrammar.isDigit(read) ? VERSION_END : syntax.reject(SyntaxFault.VERSION);
            }
        },

        /** The space between version and status. */
        VERSION_END {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                syntax.position = 0;
                syntax.status = 0;
                return read == ' ' ? STATUS : syntax.reject(SyntaxFault.VERSION);
            }
        },

        /** The digits of the status. */
        STATUS {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                boolean first = syntax.position == 0;
                if (!HttpGrammar.isDigit(read) || first && (read < '1' || read > '5')) {
                    return syntax.reject(SyntaxFault.STATUS);
                }
                syntax.status = syntax.status * DECIMAL + read - '0';
                syntax.position++;
                return syntax.position == STATUS_DIGITS ? STATUS_END : STATUS;
            }
        },

        /** The byte behind the status. */
        STATUS_END {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return read == ' ' ? REASON : syntax.endLine(read, SyntaxFault.STATUS);
            }
        },

        /** The reason phrase. */
        REASON {
            @Override
            int read(ResponseSyntax syntax, byte[] bytes, int from, int to) {
                return readAt(syntax, bytes, skipText(bytes, from, to), to);
            }

            @Override
            State next(ResponseSyntax syntax, byte read) {
                return syntax.endLine(read, SyntaxFault.REASON);
            }
        },

        /** The line feed behind the carriage return that ends a status line or a field. */
        LINE_FEED {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return read == '\n' ? FIELD_START : syntax.reject(SyntaxFault.LINE_END);
            }
        },

        /** The first byte of a field, or of the line that ends the fields. */
        FIELD_START(true, false) {
            @Override
            int read(ResponseSyntax syntax, byte[] bytes, int from, int to) {
                syntax.nameLength = 0;
                return HttpGrammar.isToken(bytes[from])
                        ? FIELD_NAME.read(syntax, bytes, from, to)
                        : readAt(syntax, bytes, from, to);
            }

            @Override
            State next(ResponseSyntax syntax, byte read) {
                return switch (read) {
                    case '\r' -> LAST_LINE_FEED;
                    case '\n' -> syntax.endFields();
                    case ' ', '\t' -> syntax.foldable ? FOLD_START : syntax.reject(SyntaxFault.FOLDED_LINE);
                    default -> syntax.reject(SyntaxFault.FIELD_NAME);
                };
            }
        },

        /** The name of a field. */
        FIELD_NAME {
            @Override
            int read(ResponseSyntax syntax, byte[] bytes, int from, int to) {
                int end = skipToken(bytes, from, to);
                syntax.addToName(bytes, from, end);
                syntax.state = FIELD_NAME;
                return readAt(syntax, bytes, end, to);
            }

            @Override
            State next(ResponseSyntax syntax, byte read) {
                return read == ':' ? syntax.beginValue() : syntax.reject(SyntaxFault.FIELD_NAME);
            }
        },

        /** The value of a field. */
        FIELD_VALUE {
            @Override
            int read(ResponseSyntax syntax, byte[] bytes, int from, int to) {
                return readAt(syntax, bytes, skipText(bytes, from, to), to);
            }

            @Override
            State next(ResponseSyntax syntax, byte read) {
                return syntax.endLine(read, SyntaxFault.FIELD_VALUE);
            }
        },

        /** The value of a field that says where the response ends. */
        FRAMING_VALUE {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return HttpGrammar.isText(read) ? syntax.addToFramingValue(read) : syntax.endFramingValue(read);
            }
        },

        /** Blanks at the beginning of a line that continues a value. */
        FOLD_START {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                if (isBlank(read)) {
                    return FOLD_START;
                }
                return read != ':' && HttpGrammar.isText(read) ? FOLD : syntax.reject(SyntaxFault.FOLDED_LINE);
            }
        },

        /** A line that continues a value. */
        FOLD {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                if (read == ':') {
                    return syntax.reject(SyntaxFault.FOLDED_LINE);
                }
                return HttpGrammar.isText(read) ? FOLD : FIELD_VALUE.next(syntax, read);
            }
        },

        /** The line feed behind the carriage return that ends the fields. */
        LAST_LINE_FEED {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return read == '\n' ? syntax.endFields() : syntax.reject(SyntaxFault.LINE_END);
            }
        },

        /** Content of a stated length. */
        CONTENT(false, true) {
            @Override
            int skip(ResponseSyntax syntax, int from, int to) {
                int end = syntax.skipRemaining(from, to);
                syntax.state = syntax.remaining == 0 ? syntax.endResponse() : CONTENT;
                return end;
            }
        },

        /** Content that ends with the connection. */
        CONTENT_UNTIL_CLOSE(false, true) {
            @Override
            int skip(ResponseSyntax syntax, int from, int to) {
                return to;
            }
        },

        /** The first digit of a chunk size. */
        CHUNK_START(true, false) {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                syntax.remaining = 0;
                return isHexadecimal(read) ? syntax.addSizeDigit(read) : syntax.reject(SyntaxFault.CHUNK_SIZE);
            }
        },

        /** The digits of a chunk size. */
        CHUNK_SIZE {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return isHexadecimal(read) ? syntax.addSizeDigit(read) : syntax.endChunkSize(read);
            }
        },

        /** Blanks before the semicolon of a chunk extension. */
        BEFORE_EXTENSION {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return read == ';' || isBlank(read) ? syntax.endChunkSize(read) : syntax.reject(SyntaxFault.CHUNK_SIZE);
            }
        },

        /** Blanks before the name of a chunk extension, or its first character. */
        EXTENSION_START {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return isBlank(read) ? EXTENSION_START : EXTENSION_NAME.require(syntax, HttpGrammar.isToken(read));
            }
        },

        /** The name of a chunk extension. */
        EXTENSION_NAME {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                if (HttpGrammar.isToken(read)) {
                    return EXTENSION_NAME;
                }
                if (isBlank(read)) {
                    return EXTENSION_NAME_END;
                }
                return read == '=' ? EXTENSION_VALUE_START : syntax.endChunkSize(read);
            }
        },

        /** Blanks behind the name of a chunk extension. */
        EXTENSION_NAME_END {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return switch (read) {
                    case ' ', '\t' -> EXTENSION_NAME_END;
                    case '=' -> EXTENSION_VALUE_START;
                    default -> EXTENSION_START.require(syntax, read == ';');
                };
            }
        },

        /** Blanks before the value of a chunk extension, or its first character. */
        EXTENSION_VALUE_START {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return switch (read) {
                    case ' ', '\t' -> EXTENSION_VALUE_START;
                    case '"' -> QUOTED;
                    default -> EXTENSION_VALUE.require(syntax, HttpGrammar.isToken(read));
                };
            }
        },

        /** The value of a chunk extension. */
        EXTENSION_VALUE {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return HttpGrammar.isToken(read) ? EXTENSION_VALUE : syntax.endChunkSize(read);
            }
        },

        /** The value of a chunk extension in quotes. */
        QUOTED {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return switch (read) {
                    case '"' -> QUOTED_END;
                    case '\\' -> QUOTED_PAIR;
                    default -> QUOTED.require(syntax, HttpGrammar.isText(read));
                };
            }
        },

        /** The character behind a backslash. */
        QUOTED_PAIR {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return QUOTED.require(syntax, HttpGrammar.isText(read));
            }
        },

        /** The byte behind a value in quotes. */
        QUOTED_END {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return syntax.endChunkSize(read);
            }
        },

        /** The line feed that ends the line of a chunk size. */
        CHUNK_LINE_FEED {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return read == '\n' ? syntax.endChunkLine() : syntax.reject(SyntaxFault.CHUNK_SIZE);
            }
        },

        /** The content of a chunk. */
        CHUNK(false, true) {
            @Override
            int skip(ResponseSyntax syntax, int from, int to) {
                int end = syntax.skipRemaining(from, to);
                syntax.state = syntax.remaining == 0 ? CHUNK_END : CHUNK;
                return end;
            }
        },

        /** The carriage return behind the content of a chunk. */
        CHUNK_END {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return read == '\r' ? CHUNK_END_LINE_FEED : syntax.reject(SyntaxFault.CHUNK_END);
            }
        },

        /** The line feed behind the content of a chunk. */
        CHUNK_END_LINE_FEED {
            @Override
            State next(ResponseSyntax syntax, byte read) {
                return read == '\n' ? CHUNK_START : syntax.reject(SyntaxFault.CHUNK_END);
            }
        };

        /** Whether the byte is the first one of a line. */
        private final boolean beginsLine;

        /** Whether bytes are skipped, because content may consist of any. */
        private final boolean isOfContent;

        State() {
            this(false, false);
        }

        State(boolean beginsLine, boolean isOfContent) {
            this.beginsLine = beginsLine;
            this.isOfContent = isOfContent;
        }

        /**
         * Skips bytes, of which there is at least one.
         *
         * @param syntax check that is in this state
         * @param from   index of the next byte
         * @param to     index behind the last byte
         * @return index of the byte that is next then
         */
        int skip(ResponseSyntax syntax, int from, int to) {
            return from;
        }

        /**
         * Reads at least one byte.
         *
         * @param syntax check that is in this state
         * @param bytes  the bytes
         * @param from   index of the next byte
         * @param to     index behind the last byte
         * @return index behind the last byte that was read
         */
        int read(ResponseSyntax syntax, byte[] bytes, int from, int to) {
            return readAt(syntax, bytes, from, to);
        }

        /**
         * Returns the state behind a byte.
         *
         * @param syntax check that is in this state
         * @param read   the byte
         * @return the next state; any state if the byte is a fault
         */
        State next(ResponseSyntax syntax, byte read) {
            return this;
        }

        /**
         * Reads one byte, unless there are no more.
         *
         * @param syntax check that is in this state
         * @param bytes  the bytes
         * @param from   index of the byte
         * @param to     index behind the last byte
         * @return index behind the last byte that was read
         */
        final int readAt(ResponseSyntax syntax, byte[] bytes, int from, int to) {
            if (from == to) {
                return to;
            }
            syntax.state = next(syntax, bytes[from]);
            return from + 1;
        }

        /**
         * Returns this state if a byte of a chunk's line may lead to it.
         *
         * @param syntax check that has read the byte
         * @param valid  whether the byte is valid
         * @return this state
         */
        final State require(ResponseSyntax syntax, boolean valid) {
            return valid ? this : syntax.reject(SyntaxFault.CHUNK_SIZE);
        }

        private static boolean isHexadecimal(byte read) {
            return HttpGrammar.isDigit(read) || read >= 'a' && read <= 'f' || read >= 'A' && read <= 'F';
        }
    }
}
