package io.mustardusher.ctl;

/** Exit codes of {@code musherctl}. */
final class ExitStatus {

    /** The command succeeded. */
    static final int OK = 0;

    /** The node rejected the request, the command failed locally, or the logs do not contain the call. */
    static final int REFUSED = 1;

    /** The command line is invalid. */
    static final int USAGE = 2;

    /** It is unknown whether the change took effect. */
    static final int UNRESOLVED = 3;

    /** None of the configured nodes answered. */
    static final int NO_NODE = 4;

    private ExitStatus() {}
}
