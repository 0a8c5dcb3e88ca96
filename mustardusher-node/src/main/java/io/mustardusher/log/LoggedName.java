package io.mustardusher.log;

/** Names in log lines that come from headers of callers and backend servers, which may be as long as a head. */
public final class LoggedName {

    /** Length to which names are cut, in characters. */
    static final int MAX_CHARS = 200;

    private LoggedName() {}

    /**
     * Cuts a name for the log.
     *
     * @param name name as received, or {@code null}
     * @return its first 200 characters, or {@code null}
     */
    public static String of(String name) {
        return name == null || name.length() <= MAX_CHARS ? name : name.substring(0, MAX_CHARS);
    }
}
