package io.mustardusher.server;

import io.mustardusher.call.HttpGrammar;

/** What the next byte of a connection is part of, for {@link ResponseSyntax}. */
enum SyntaxState {
    /** The first byte of a response. */
    START(true, false) {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            syntax.beginVersion();
            return VERSION.next(syntax, read);
        }
    },

    /** The version up to its first digit. */
    VERSION {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return syntax.matchVersion(read);
        }
    },

    /** The last digit of the version. */
    MINOR_VERSION {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return syntax.setMinorVersion(read);
        }
    },

    /** The space between version and status. */
    VERSION_END {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return read == ' ' ? syntax.beginStatus() : syntax.reject(SyntaxFault.VERSION);
        }
    },

    /** The digits of the status. */
    STATUS {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return syntax.addStatusDigit(read);
        }
    },

    /** The byte behind the status. */
    STATUS_END {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
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
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return syntax.endLine(read, SyntaxFault.REASON);
        }
    },

    /** The line feed behind the carriage return that ends a status line or a field. */
    LINE_FEED {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return read == '\n' ? FIELD_START : syntax.reject(SyntaxFault.LINE_END);
        }
    },

    /** The first byte of a field, or of the line that ends the fields. */
    FIELD_START(true, false) {
        @Override
        int read(ResponseSyntax syntax, byte[] bytes, int from, int to) {
            syntax.beginName();
            return HttpGrammar.isToken(bytes[from])
                    ? FIELD_NAME.read(syntax, bytes, from, to)
                    : readAt(syntax, bytes, from, to);
        }

        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return switch (read) {
                case '\r' -> LAST_LINE_FEED;
                case '\n' -> syntax.endFields();
                case ' ', '\t' -> syntax.isFoldable() ? FOLD_START : syntax.reject(SyntaxFault.FOLDED_LINE);
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
            syntax.enter(FIELD_NAME);
            return readAt(syntax, bytes, end, to);
        }

        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
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
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return syntax.endLine(read, SyntaxFault.FIELD_VALUE);
        }
    },

    /** The value of a field that says where the response ends. */
    FRAMING_VALUE {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return HttpGrammar.isText(read) ? syntax.addToFramingValue(read) : syntax.endFramingValue(read);
        }
    },

    /** Blanks at the beginning of a line that continues a value. */
    FOLD_START {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            if (isBlank(read)) {
                return FOLD_START;
            }
            return read != ':' && HttpGrammar.isText(read) ? FOLD : syntax.reject(SyntaxFault.FOLDED_LINE);
        }
    },

    /** A line that continues a value. */
    FOLD {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            if (read == ':') {
                return syntax.reject(SyntaxFault.FOLDED_LINE);
            }
            return HttpGrammar.isText(read) ? FOLD : FIELD_VALUE.next(syntax, read);
        }
    },

    /** The line feed behind the carriage return that ends the fields. */
    LAST_LINE_FEED {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return read == '\n' ? syntax.endFields() : syntax.reject(SyntaxFault.LINE_END);
        }
    },

    /** Content of a stated length. */
    CONTENT(false, true) {
        @Override
        int skip(ResponseSyntax syntax, int from, int to) {
            int end = syntax.skipRemaining(from, to);
            syntax.enter(syntax.hasRemaining() ? CONTENT : syntax.endResponse());
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
        SyntaxState next(ResponseSyntax syntax, byte read) {
            syntax.beginChunkSize();
            return isHexadecimal(read) ? syntax.addSizeDigit(read) : syntax.reject(SyntaxFault.CHUNK_SIZE);
        }
    },

    /** The digits of a chunk size. */
    CHUNK_SIZE {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return isHexadecimal(read) ? syntax.addSizeDigit(read) : syntax.endChunkSize(read);
        }
    },

    /** Blanks before the semicolon of a chunk extension. */
    BEFORE_EXTENSION {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return read == ';' || isBlank(read) ? syntax.endChunkSize(read) : syntax.reject(SyntaxFault.CHUNK_SIZE);
        }
    },

    /** Blanks before the name of a chunk extension, or its first character. */
    EXTENSION_START {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return isBlank(read) ? EXTENSION_START : EXTENSION_NAME.require(syntax, HttpGrammar.isToken(read));
        }
    },

    /** The name of a chunk extension. */
    EXTENSION_NAME {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
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
        SyntaxState next(ResponseSyntax syntax, byte read) {
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
        SyntaxState next(ResponseSyntax syntax, byte read) {
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
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return HttpGrammar.isToken(read) ? EXTENSION_VALUE : syntax.endChunkSize(read);
        }
    },

    /** The value of a chunk extension in quotes. */
    QUOTED {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
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
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return QUOTED.require(syntax, HttpGrammar.isText(read));
        }
    },

    /** The byte behind a value in quotes. */
    QUOTED_END {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return syntax.endChunkSize(read);
        }
    },

    /** The line feed that ends the line of a chunk size. */
    CHUNK_LINE_FEED {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return read == '\n' ? syntax.endChunkLine() : syntax.reject(SyntaxFault.CHUNK_SIZE);
        }
    },

    /** The content of a chunk. */
    CHUNK(false, true) {
        @Override
        int skip(ResponseSyntax syntax, int from, int to) {
            int end = syntax.skipRemaining(from, to);
            syntax.enter(syntax.hasRemaining() ? CHUNK : CHUNK_END);
            return end;
        }
    },

    /** The carriage return behind the content of a chunk. */
    CHUNK_END {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return read == '\r' ? CHUNK_END_LINE_FEED : syntax.reject(SyntaxFault.CHUNK_END);
        }
    },

    /** The line feed behind the content of a chunk. */
    CHUNK_END_LINE_FEED {
        @Override
        SyntaxState next(ResponseSyntax syntax, byte read) {
            return read == '\n' ? CHUNK_START : syntax.reject(SyntaxFault.CHUNK_END);
        }
    };

    /** Whether the byte is the first one of a line. */
    private final boolean beginsLine;

    /** Whether bytes are skipped, because content may consist of any. */
    private final boolean isOfContent;

    SyntaxState() {
        this(false, false);
    }

    SyntaxState(boolean beginsLine, boolean isOfContent) {
        this.beginsLine = beginsLine;
        this.isOfContent = isOfContent;
    }

    boolean beginsLine() {
        return beginsLine;
    }

    boolean isOfContent() {
        return isOfContent;
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
    SyntaxState next(ResponseSyntax syntax, byte read) {
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
        syntax.enter(next(syntax, bytes[from]));
        return from + 1;
    }

    /**
     * Returns this state if a byte of a chunk's line may lead to it.
     *
     * @param syntax check that has read the byte
     * @param valid  whether the byte is valid
     * @return this state
     */
    final SyntaxState require(ResponseSyntax syntax, boolean valid) {
        return valid ? this : syntax.reject(SyntaxFault.CHUNK_SIZE);
    }

    private static boolean isHexadecimal(byte read) {
        return HttpGrammar.isDigit(read) || read >= 'a' && read <= 'f' || read >= 'A' && read <= 'F';
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
}
