package io.mustardusher.call;

/** Parts of the grammar of HTTP, RFC 9110, section 5, that answers are checked by before anything in them is used. */
public final class HttpGrammar {

    private static final int DELETE = 0x7f;
    private static final boolean[] TOKEN = new boolean[DELETE];
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;
    private static final int STATUS_DIGITS = 3;

    static {
        for (int sign : "!#$%&'*+-.^_`|~".toCharArray()) {
            TOKEN[sign] = true;
        }
        for (int digit = '0'; digit <= '9'; digit++) {
            TOKEN[digit] = true;
        }
        for (int letter = 'a'; letter <= 'z'; letter++) {
            TOKEN[letter] = true;
            TOKEN[letter - 'a' + 'A'] = true;
        }
    }

    private HttpGrammar() {}

    /**
     * Returns whether a character may be part of a token, such as the name of a header.
     *
     * @param read the character, or a byte
     * @return {@code true} if it may be
     */
    public static boolean isToken(int read) {
        return read >= 0 && read < TOKEN.length && TOKEN[read];
    }

    /**
     * Returns whether a character may be part of the value of a header or of a reason phrase: a tab, a space, a visible
     * character, or one that ASCII does not define.
     *
     * @param read the character, or a byte
     * @return {@code true} if it may be
     */
    public static boolean isText(int read) {
        return read >= ' ' && read != DELETE || read == '\t' || read < 0;
    }

    /**
     * Returns whether a character is a decimal digit.
     *
     * @param read the character, or a byte
     * @return {@code true} if it is
     */
    public static boolean isDigit(int read) {
        return read >= '0' && read <= '9';
    }

    /**
     * Returns whether a status ends an exchange.
     *
     * @param code the status
     * @return {@code true} if it is the status of a final response
     */
    public static boolean isFinalStatus(int code) {
        return code >= FIRST_FINAL_STATUS && code <= LAST_STATUS;
    }

    /**
     * Requires the status of a final response.
     *
     * @param status the status
     * @throws IllegalArgumentException if it is not one
     */
    static void requireFinalStatus(String status) {
        if (status == null
                || status.length() != STATUS_DIGITS
                || !status.chars().allMatch(HttpGrammar::isDigit)
                || !isFinalStatus(Integer.parseInt(status))) {
            throw new IllegalArgumentException("the status is not that of a final response");
        }
    }

    /**
     * Requires the name of a header.
     *
     * @param name the name
     * @throws IllegalArgumentException if it is not one
     */
    static void requireName(CharSequence name) {
        boolean token = name.length() > 0;
        for (int i = 0; i < name.length() && token; i++) {
            token = isToken(name.charAt(i));
        }
        if (!token) {
            throw new IllegalArgumentException("the name of a header is not a token");
        }
    }

    /**
     * Requires the value of a header.
     *
     * @param value the value
     * @throws IllegalArgumentException if it is not one
     */
    static void requireValue(String value) {
        for (int i = 0; i < value.length(); i++) {
            if (!isText(value.charAt(i))) {
                throw new IllegalArgumentException("the value of a header contains a control character");
            }
        }
    }
}
