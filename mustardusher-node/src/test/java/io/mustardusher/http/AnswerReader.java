package io.mustardusher.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntPredicate;

/** Reads the answers that a caller has received on one connection. */
public final class AnswerReader {

    private static final String HEAD_END = "\r\n\r\n";
    private static final String LENGTH = "\r\ncontent-length: ";

    private static final int NO_CONTENT = 204;

    private AnswerReader() {}

    /**
     * Reads all complete answers. Fails on bytes that are no answer.
     *
     * @param text   what was received
     * @param toHead whether the request of a number, counted from 0, had the method HEAD
     * @return the answers, interim ones included
     */
    public static List<Answer> read(String text, IntPredicate toHead) {
        List<Answer> answers = new ArrayList<>();
        int finals = 0;
        int at = 0;
        while (true) {
            int headEnd = text.indexOf(HEAD_END, at);
            if (headEnd < 0) {
                return answers;
            }
            String head = text.substring(at, headEnd + 2).toLowerCase(Locale.ROOT);
            if (!head.matches("(?s)http/1\\.1 [1-5]\\d\\d [^\\r\\n]*\\r\\n.*")) {
                throw new AssertionError("no answer: " + head);
            }
            int status = Integer.parseInt(head.substring(9, 12));
            int length = 0;
            if (status >= 200 && status != NO_CONTENT && !toHead.test(finals)) {
                int field = head.indexOf(LENGTH);
                if (field < 0) {
                    throw new AssertionError("answer without length: " + head);
                }
                int start = field + LENGTH.length();
                length = Integer.parseInt(head.substring(start, head.indexOf('\r', start)));
            }
            finals += status >= 200 ? 1 : 0;
            int bodyStart = headEnd + HEAD_END.length();
            if (bodyStart + length > text.length()) {
                return answers;
            }
            boolean closes = head.contains("\r\nconnection: close\r\n");
            answers.add(new Answer(status, text.substring(bodyStart, bodyStart + length), closes));
            at = bodyStart + length;
        }
    }

    /**
     * An answer.
     *
     * @param status status
     * @param body   body; empty for an answer to HEAD
     * @param closes whether the connection closes after it
     */
    public record Answer(int status, String body, boolean closes) {

        /** Returns whether further answers to the same request follow. */
        public boolean isInterim() {
            return status < 200;
        }
    }
}
